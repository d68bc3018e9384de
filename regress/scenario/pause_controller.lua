-- The controller is paused in the middle of a move and wakes as though
-- nothing had happened.  A standby has taken over and claimed the assignments
-- by then, so whatever the old one writes is refused by its version, and what
-- it tells hosts is refused by its term.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local ctl = f:controller("aarhus")
local l = f:load { "-r", "300", "-d", "9" }
f:await_load()
local e = f.entries.lookup
f.targets.t1.leaving = true
f:put_entry(e)
await("the move begun", 3000, function()
	return f:owners("lookup"):find("t1") and
	    f:status(ctl).catalogue.lookup == e.version
end)
f:freeze(f.hosts[ctl].pid)
f.hosts[ctl].dead = true
await("another controller", 5000, function()
	return f:controller("aarhus")
end)
f:thaw(f.hosts[ctl].pid)
f.hosts[ctl].dead = nil
f:await_drained("lookup", "t1", 5000)
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("a paused controller woke, one owner throughout")
