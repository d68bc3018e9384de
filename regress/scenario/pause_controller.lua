-- The controller is paused (SIGSTOP) during a move, and resumes.  By then a
-- standby has taken control and claimed the assignments: the platform must
-- refuse the old controller's writes by their version, and the hosts must
-- refuse its messages by their term.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local ctl = f:controller("aarhus")
local l = f:load { "-r", "300", "-d", "9" }
f:await_load()
local e = f.entries.lookup
f.targets.t1.leaving = true
f:put_entry(e)
await("the start of the move", 3000, function()
	return f:owners("lookup"):find("t1") and
	    f:status(ctl).catalogue.lookup == e.version
end)
f:pause(f.hosts[ctl].pid)
f.hosts[ctl].dead = true
await("another controller", 5000, function()
	return f:controller("aarhus")
end)
f:resume(f.hosts[ctl].pid)
f.hosts[ctl].dead = nil
f:await_drained("lookup", "t1", 5000)
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("a paused controller resumed, one owner throughout")
