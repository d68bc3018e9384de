-- A target is paused (SIGSTOP) until its keys have moved, and resumes with a
-- grant renewal and a request still in its socket.  The renewal has expired by
-- the target's clock, and the request's fence is not its own any more: the
-- target must serve nothing until it gets a new grant.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "300", "-d", "8" }
f:await_load()
f:pause(f.targets.t1.pid)
f:await_drained("lookup", "t1")
f:resume(f.targets.t1.pid)
await("t1 owns keys again", 10000, function()
	return f:owners("lookup"):find("t1 ")
end)
local s = l:finish()
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
f:stop_all()
f:journals_ok()
say("a paused target resumed, one owner throughout")
