-- Cold targets get more from all hosts together than they bear.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 6, plain = 4, keyed = 4,
    bounds = "evacuate = 5s" }
-- A target is cold for so many ms, and gets in some second at most so many.
local COLD, RATE = 3000, 3
local MOST = 1.5 * RATE + 8
-- Hosts hear that a target is cold within so many ms.
local TOLD = 600
local cold = '"cold_start":"3s","cold_per_s":' .. RATE
s:configure(nil, { '"plain":{"max_conns":100,' .. cold .. "}",
    '"keyed":{"max_conns":100,"sharded":true,"warmup":"3s",' .. cold .. "}" })
s:await_keys()

local function press(ms)
	local till, n = now_ms() + ms, 0
	while now_ms() < till do
		n = n + 1
		local h = s.order[n % #s.order + 1]
		s:send_unread(h, "any", "/any/" .. n)
		s:send_unread(h, "key", "/k/" .. n, string.format(
		    "X-Shard-Key: %d\r\n", n * 5003 % 65536))
		sleep_ms(6)
	end
end

local function kept(ids, from, to)
	for _, id in ipairs(ids) do
		local n = s:worst_second(id, from, to)
		check(n <= MOST, "%s got %d in a second, %.0f allowed", id, n,
		    MOST)
	end
end

-- A busy machine presses more slowly: wait until the load would exceed it.
await("load enough", 20000, function()
	press(500)
	return s:worst_second("i-1", 0, now_ms()) > MOST
end)
local at = s:chill("i-1", COLD)
s:chill("i-5", COLD)
press(COLD + 500)
kept({ "i-1", "i-5" }, at + TOLD, at + COLD)
say("cold in place")

local new = s:add_server("plain", "south", {})
-- An entry that is new says how long its target is cold.
at = s:chill(new.id, COLD)
press(COLD + 500)
kept({ new.id }, at + TOLD, at + COLD)
say("cold and new")

s:evacuate("north", true)
press(2000)
at = s:evacuate("north", false)
press(COLD + 4000)
kept({ "i-2", "i-4", "i-6", "i-8" }, at, at + COLD)
check(s:worst_second("i-2", at + COLD + 1000, now_ms()) > RATE, "not used again")
check(s:worst_second("i-6", at + COLD + 1000, now_ms()) > 0, "no keys again")
while #s.open > 0 do
	s:read_unread()
end
local answers = s.answers
local good, bad = 0, 0
for k, n in pairs(answers) do
	if k:match("any") then
		good, bad = good + (k:match("200") and n or 0),
		    bad + (k:match("200") and 0 or n)
	end
end
check(bad * 200 <= good, "%d of %d without a key refused", bad, good)
check((answers["key 503"] or 0) * 8 <= answers["key 200"],
    "%d of %d for keys refused", answers["key 503"] or 0,
    answers["key 200"])
s:stop_all()
say("cold after an evacuation")
