-- The controller is killed under load, and it dispatches for a target too.  A
-- standby takes the record over once it has lapsed, hears the other hosts,
-- leaves them what they have, and gives the dead one's targets away after a
-- whole host lease.  Keys of other hosts' targets are served throughout.
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
