-- A target is killed under load.  Callers of its keys are told at once that
-- their request did not run or may have run, and when to retry; other callers
-- are not affected.  Its grant lapses, its dispatcher reports it and the
-- controller assigns its shards to other targets: the keys are served again
-- within 3 s.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "300", "-d", "6" }
f:await_load()
f:kill_target("t1")
local s = l:finish()
check(s.ok > 1200, "served: %d", s.ok)
check(failures(s) > 0, "no caller saw the loss: the test shows nothing")
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
check(f:owners("lookup"):find("t1") == nil, "t1 still owns keys")
f:journals_ok()
say("keys of a killed target served again within 3 s")

-- It restarts without state and owns shards again.
f:start_target("t1")
await("t1 owns keys again", 10000, function()
	return f:owners("lookup"):find("t1 ")
end)
f:stop_all()
f:journals_ok()
say("a restarted target owns keys again, one owner throughout")
