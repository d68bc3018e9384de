-- A target announces in its answers that it leaves, and does not get its entry
-- written.  The controller learns it from the answers: no request fails, and
-- the target's keys move to others in time.
dofile("regress/scenario/lib_site.lua")
local DRAIN = 2000
local s = standard_site { keyed = 4, plain = 2 }
local sent, failed = {}, 0
local from = now_ms()
s:server_fault("i-1", "leaving=1")
s:server_fault("i-3", "leaving=1")
local n = 0
while now_ms() < from + 2 * DRAIN do
	n = n + 1
	local h = s.order[n % #s.order + 1]
	local st = s:request_traced(sent, h, "/any/" .. n)
	local key = n * 5003 % 65536
	local st2 = s:request_traced(sent, h, "/k/" .. key,
	    { "X-Shard-Key: " .. key })
	failed = failed + (st == 200 and 0 or 1) + (st2 == 200 and 0 or 1)
end
check(failed == 0, "%d requests failed", failed)
s:check_drained("i-1", sent, from, DRAIN)
s:check_drained("i-3", sent, from, DRAIN)
s:stop_all()
s:journals_ok()
say("no request failed, none was sent late")
