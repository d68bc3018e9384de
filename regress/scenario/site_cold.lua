-- All hosts together must not send a cold target more than its cold rate: a
-- target in use that becomes cold, a new one, and all targets of a data centre
-- whose evacuation ends.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 6, plain = 4, keyed = 4,
    bounds = "evacuate = 5s" }
-- How long a target is cold, in ms, and its rate per second meanwhile; the
-- requests that it may get in any one second.
local COLD, RATE = 3000, 3
local MAX_PER_SECOND = 1.5 * RATE + 8
-- Time in ms within which hosts learn that a target is cold.
local PROPAGATION = 600
local cold = '"cold_start":"3s","cold_per_s":' .. RATE
s:configure(nil, { '"plain":{"max_conns":100,' .. cold .. "}",
    '"keyed":{"max_conns":100,"sharded":true,"warmup":"3s",' .. cold .. "}" })
s:await_keys()

local function send_load(ms)
	local till, n = now_ms() + ms, 0
	while now_ms() < till do
		n = n + 1
		local h = s.order[n % #s.order + 1]
		s:send_async(h, "any", "/any/" .. n)
		s:send_async(h, "key", "/k/" .. n, string.format(
		    "X-Shard-Key: %d\r\n", n * 5003 % 65536))
		sleep_ms(6)
	end
end

local function check_rate(ids, from, to)
	for _, id in ipairs(ids) do
		local n = s:max_per_second(id, from, to)
		check(n <= MAX_PER_SECOND,
		    "%s got %d in a second, %.0f allowed", id, n,
		    MAX_PER_SECOND)
	end
end

-- A busy machine sends more slowly: wait until the load would exceed the rate.
await("load above the rate", 20000, function()
	send_load(500)
	return s:max_per_second("i-1", 0, now_ms()) > MAX_PER_SECOND
end)
local at = s:set_cold("i-1", COLD)
s:set_cold("i-5", COLD)
send_load(COLD + 500)
check_rate({ "i-1", "i-5" }, at + PROPAGATION, at + COLD)
say("rate kept for cold targets")

local new = s:add_server("plain", "south", {})
-- A new entry tells how long its target is cold.
at = s:set_cold(new.id, COLD)
send_load(COLD + 500)
check_rate({ new.id }, at + PROPAGATION, at + COLD)
say("rate kept for a new cold target")

s:evacuate("north", true)
send_load(2000)
at = s:evacuate("north", false)
send_load(COLD + 4000)
check_rate({ "i-2", "i-4", "i-6", "i-8" }, at, at + COLD)
check(s:max_per_second("i-2", at + COLD + 1000, now_ms()) > RATE,
    "not used again after the evacuation")
check(s:max_per_second("i-6", at + COLD + 1000, now_ms()) > 0,
    "got no keys after the evacuation")
while #s.pending > 0 do
	s:read_oldest()
end
local answers = s.answers
local good, bad = 0, 0
for k, n in pairs(answers) do
	if k:match("any") then
		good, bad = good + (k:match("200") and n or 0),
		    bad + (k:match("200") and 0 or n)
	end
end
check(bad * 200 <= good, "%d of %d requests without a key refused", bad, good)
check((answers["key 503"] or 0) * 8 <= answers["key 200"],
    "%d of %d keyed requests refused", answers["key 503"] or 0,
    answers["key 200"])
s:stop_all()
say("rate kept for cold targets after an evacuation")
