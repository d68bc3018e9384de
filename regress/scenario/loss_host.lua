-- An entry host that dispatches for a target is killed under load.  Requests
-- it held are lost: idempotent ones are sent again, the rest are told so.
-- Once its lease has surely lapsed another host dispatches for the target,
-- which keeps its shards: within 3 s, and no shard moves.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local before = f:owners("lookup")
local l = f:load { "-r", "300", "-d", "6" }
f:await_load()
f:kill_host((f:plain_dispatcher("aarhus")))
local s = l:finish()
check(s.ok > 1000, "served: %d", s.ok)
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
local from
for _, n in ipairs(f.order) do
	from = not f.hosts[n].dead and n or from
end
check(f:owners("lookup", from) == before, "shards moved")
f:stop_all()
f:journals_ok()
say("a lost host's targets served again within 3 s, no shard moved")
