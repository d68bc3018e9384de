-- A data centre is cut off from the others and from the platform.  The cell
-- spans both data centres, so its keys may move: the cut-off hosts lose their
-- leases and stop, their targets' grants lapse, and the other data centre
-- serves the keys within 3 s.  At no time do both serve a key.
local f = standard_fleet { dcs = { { "falaj", 3, 2 }, { "souq", 2, 2 } },
	wires = true, one_cell = true }
-- The harder case: the controller is in the data centre that is cut off, where
-- another host could be its standby.
await("a controller in falaj", 20000, function()
	local n = f:controller("falaj+souq")
	if n and f.hosts[n].dc == "souq" then
		f:stop_host(n)
		f:restart_host(n)
		f:await_served("lookup")
	end
	return n and f.hosts[n].dc == "falaj"
end)
await("a standby in souq", 5000, function()
	for _, n in ipairs { "souq1", "souq2" } do
		if f:status(n).cells[1].role == "standby" then
			return true
		end
	end
end)
local l = f:load { "-r", "200", "-d", "8",
	only = { souq1 = true, souq2 = true } }
f:await_load("souq1")
f:cut_dc("falaj", true)
local s = l:finish()
check(s.wrong == 0, "wrong answers")
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
check(not f:owners("lookup", "souq1"):find("t[12]"), "cut-off targets own keys")
say("keys of the cut-off data centre served elsewhere within 3 s")
f:cut_dc("falaj", false)
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("healed, one owner throughout")
