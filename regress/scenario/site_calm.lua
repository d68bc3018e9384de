-- After a long calm all hosts send to a cold target in the same moment.
dofile("regress/scenario/lib_site.lua")
local HOSTS, RATE, COLD = 14, 1, 16000
local MOST = 1.5 * RATE + 8
-- Hosts were forgotten that nobody had named for so many ms.
local CALM = 31000
local s = standard_site { hosts = HOSTS, plain = 2 }
s:configure(nil, { '"plain":{"max_conns":100,"cold_start":"3s",' ..
    '"cold_per_s":' .. RATE .. "}", '"keyed":{"max_conns":100,' ..
    '"sharded":true,"warmup":"3s"}' })
sleep_ms(CALM)
-- Who owns which keys is told anew, and with that how many hosts there are.
s:drain("i-3")
sleep_ms(3000)

s:chill("i-2", COLD)
local from = s:chill("i-1", COLD)
local till = from + COLD
local n = 0
while now_ms() < till do
	n = n + 1
	s:send_unread(s.order[n % HOSTS + 1], "any", "/any/" .. n, nil, 100)
	sleep_ms(3)
end
local most, all = s:worst_second("i-1", from + 600, till)
check(all > 0, "nothing was sent to it")
check(most <= MOST, "%d in one second, %.0f allowed", most, MOST)
while #s.open > 0 do
	s:read_unread()
end
s:stop_all()
say("each host has its turn after a long calm")
