-- Replies of the platform are lost after its writes took effect: renewals of
-- control, takeovers and assignments.  Each write is read back and recognised
-- by its id.  No write is taken as failed, and none is done twice.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "200", "-d", "9" }
f:await_load()
for i = 1, 3 do
	f:fault("lose=1&path=control/")
	await("a write", 2000, function()
		return f:calls().put > 0
	end)
end
f:fault("lose=1&path=assign/")
f:kill_target("t1")
f:await_drained("lookup", "t1")
f:fault("lose=3&path=")
local ctl = f:controller("aarhus")
f:kill_host(ctl)
await("another controller", 5000, function()
	return f:controller("aarhus")
end)
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("lost replies resolved, one owner throughout")
