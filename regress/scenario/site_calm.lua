-- After a long idle time all hosts send to a cold target at the same moment.
-- The target got more than its cold rate when hosts had forgotten the hosts
-- that share the rate.
dofile("regress/scenario/lib_site.lua")
local HOSTS, RATE, COLD = 14, 1, 16000
local MAX_PER_SECOND = 1.5 * RATE + 8
-- Idle time in ms after which hosts forgot hosts that nobody had named.
local IDLE = 31000
local s = standard_site { hosts = HOSTS, plain = 2 }
s:configure(nil, { '"plain":{"max_conns":100,"cold_start":"3s",' ..
    '"cold_per_s":' .. RATE .. "}", '"keyed":{"max_conns":100,' ..
    '"sharded":true,"warmup":"3s"}' })
sleep_ms(IDLE)
-- Makes the controller broadcast the owners again, and with them the number of
-- hosts.
s:drain("i-3")
sleep_ms(3000)

s:set_cold("i-2", COLD)
local from = s:set_cold("i-1", COLD)
local till = from + COLD
local n = 0
while now_ms() < till do
	n = n + 1
	s:send_async(s.order[n % HOSTS + 1], "any", "/any/" .. n, nil, 100)
	sleep_ms(3)
end
local most, all = s:max_per_second("i-1", from + 600, till)
check(all > 0, "nothing was sent to it")
check(most <= MAX_PER_SECOND, "%d in one second, %.0f allowed", most,
    MAX_PER_SECOND)
while #s.pending > 0 do
	s:read_oldest()
end
s:stop_all()
say("the rate of a cold target is kept after a long idle time")
