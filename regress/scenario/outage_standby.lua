-- A standby dies while the platform is down.  Its promise is missing, so the
-- controller cannot know that nobody took over: it stops renewing and its
-- keys are not served until the platform is back.  Callers are told so at
-- once, with when to come back; there are never two owners.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local ctl, _, n = f:await_standbys("aarhus")
f:fault("down=1")
f:kill_host(n)
await("control stopped", 4000, function()
	return not f:controller("aarhus")
end)
await("refused at once", 3000, function()
	local from = now_ms()
	local st, body, heads = f:get(ctl, "lookup", "key-1",
	    { "Gspar-Deadline-Ms: 5000" })
	return st == 503 and json(body).outcome == "not_run" and
	    heads:find("Retry%-After") and now_ms() - from < 1500
end)
f:fault("down=0")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("stopped safely, healed with the platform")
