-- A target announces in its answers that it leaves while the store is away, so
-- that no entry says so.  Hosts went on sending it requests.
dofile("regress/scenario/lib_site.lua")
local DRAIN, OUTAGE = 2000, 6000
local s = standard_site { keyed = 4, plain = 2 }
local sent, failed, slowest = {}, 0, 0
s:fault("down=1")
sleep_ms(500)
local from = now_ms()
s:server_fault("i-1", "leaving=1")
s:server_fault("i-3", "leaving=1")
local n = 0
while now_ms() < from + OUTAGE do
	n = n + 1
	local h = s.order[n % #s.order + 1]
	local st = s:request_traced(sent, h, "/any/" .. n)
	failed = failed + (st == 200 and 0 or 1)
	local key = n * 5003 % 65536
	local st2, header, took = s:request_traced(sent, h, "/k/" .. key,
	    { "X-Shard-Key: " .. key })
	check(st2 == 200 or header:match("Retry%-After"), "no Retry-After")
	slowest = math.max(slowest, st2 == 200 and 0 or took)
end
check(failed == 0, "%d failed while other targets have capacity", failed)
check(slowest < 500, "a refusal took %.0f ms", slowest)
s:check_drained("i-1", sent, from, DRAIN)
s:check_drained("i-3", sent, from, DRAIN)
s:fault("down=0")
s:drain("i-1")
s:drain("i-3")
s:await_keys()
s:stop_all()
s:journals_ok()
say("no request sent late, and the keys served again")
