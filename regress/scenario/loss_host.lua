-- A host that dispatches for a target is killed under load.  The requests that
-- it held are lost: idempotent ones are retried, callers of the others get an
-- error.  Once its lease has lapsed even with the largest clock error, another
-- host dispatches for the target.  Its keys are served again within 3 s, and no
-- shard moves.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local before = f:owners("lookup")
local l = f:load { "-r", "300", "-d", "6" }
f:await_load()
f:kill_host((f:plain_dispatcher("aarhus")))
local s = l:finish()
check(s.ok > 1000, "served: %d", s.ok)
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
local live
for _, n in ipairs(f.order) do
	live = not f.hosts[n].dead and n or live
end
check(f:owners("lookup", live) == before, "shards moved")
f:stop_all()
f:journals_ok()
say("a lost host's targets served again within 3 s, no shard moved")
