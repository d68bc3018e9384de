-- The controller, which also dispatches for a target, is killed under load.  A
-- standby takes control once the control record has lapsed, collects the other
-- hosts' state and leaves their duties as they are.  It reassigns the targets
-- of the dead host after a whole host lease.  Keys of the other hosts' targets
-- are served throughout.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local before = f:owners("lookup")
local ctl = f:controller("aarhus")
local l = f:load { "-r", "300", "-d", "7" }
f:await_load()
f:kill_host(ctl)
local s = l:finish()
check(s.ok > 1200, "served: %d", s.ok)
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
local new = f:controller("aarhus")
check(new and new ~= ctl, "no new controller")
check(f:owners("lookup", new) == before, "shards moved")
f:stop_all()
f:journals_ok()
say("a lost controller replaced within 3 s, no shard moved")
