-- A standby is lost while the platform is down.  Without its promise the
-- controller cannot know that nobody took over, so it stops renewing and its
-- keys are not served until the platform is back.  Callers are refused at once
-- with Retry-After, and no key ever has two owners.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local ctl, _, standby = f:await_standbys("aarhus")
f:fault("down=1")
f:kill_host(standby)
await("no host in control", 4000, function()
	return not f:controller("aarhus")
end)
await("refused at once", 3000, function()
	local from = now_ms()
	local st, body, headers = f:get(ctl, "lookup", "key-1",
	    { "Gspar-Deadline-Ms: 5000" })
	return st == 503 and json(body).outcome == "not_run" and
	    headers:find("Retry%-After") and now_ms() - from < 1500
end)
f:fault("down=0")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("stopped safely, served again once the platform was back")
