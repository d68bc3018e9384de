-- Measures the control traffic of moves: one of four targets is killed and
-- comes back, is given shards again for 20 s, one or two at a time, and then
-- leaves.  ARG is "HOSTS SHARDS".  Bytes are payload, for each host other than
-- the sender.
local hosts, shards = ARG:match("(%d+) (%d+)")
hosts, shards = tonumber(hosts), tonumber(shards)
local f = standard_fleet { dcs = { { "aarhus", hosts, 4 } },
	entry = { shards = shards } }
local function sent()
	local n = 0
	for _, h in ipairs(f.order) do
		n = n + f:metric(h, "control_bytes")
	end
	return n
end
local function settle()
	sleep_ms(1500)
end
settle()
local from, at = sent(), now_ms()
settle()
local idle = (sent() - from) / (now_ms() - at)
f:kill_target("t1")
f:await_drained("lookup", "t1", 20000)
f:start_target("t1")
settle()
from, at = sent(), now_ms()
sleep_ms(20000)
local refill = sent() - from - idle * (now_ms() - at)
local e = f.entries.lookup
from, at = sent(), now_ms()
e.cells[1].targets[1].leaving = true
f:put_entry(e)
f:await_drained("lookup", "t1", 20000)
settle()
local extra = sent() - from - idle * (now_ms() - at)
say("hosts %d shards %d: %.0f B/s a host at rest, %.0f B/s a host more while " ..
    "filling up, %.0f B a host for a drain", hosts, shards,
    idle * 1000 / hosts, refill / 20 / (hosts - 1), extra / (hosts - 1))
f:stop_all()
