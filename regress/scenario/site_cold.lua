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

-- Requests that nobody has read the answers of yet, oldest first.
local open, answers = {}, {}

local function read_oldest()
	local o = table.remove(open, 1)
	local st = tonumber((read_all(o.conn) or ""):match("^HTTP/1.1 (%d+)"))
	hang_up(o.conn)
	local key = o.kind .. " " .. (st or 0)
	answers[key] = (answers[key] or 0) + 1
end

local function ask_unread(h, kind, path, more)
	local c = dial(s.hosts[h].callers)
	s.asked = s.asked + 1
	send(c, string.format("GET %s HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: q%d\r\nX-Deadline-Ms: 1000\r\n%s" ..
	    "Connection: close\r\n\r\n", path, s.asked, more or ""))
	table.insert(open, { conn = c, kind = kind })
	if #open > 300 then
		read_oldest()
	end
end

local function press(ms)
	local till, n = now_ms() + ms, 0
	while now_ms() < till do
		n = n + 1
		local h = s.order[n % #s.order + 1]
		ask_unread(h, "any", "/any/" .. n)
		ask_unread(h, "key", "/k/" .. n, string.format(
		    "X-Shard-Key: %d\r\n", n * 5003 % 65536))
		sleep_ms(6)
	end
end

-- The most requests that ran at a target in a second between two moments.
local function worst(id, from, to)
	local all, most = {}, 0
	for l in read_file(id .. ".journal"):gmatch("[^\n]+") do
		local at = l:match("^run %S+ (%d+)")
		at = at and tonumber(at) / 1000
		if at and at >= from and at < to then
			table.insert(all, at)
		end
	end
	local first = 1
	for i, at in ipairs(all) do
		while all[first] < at - 1000 do
			first = first + 1
		end
		most = math.max(most, i - first + 1)
	end
	return most
end

local function kept(ids, from, to)
	for _, id in ipairs(ids) do
		local n = worst(id, from, to)
		check(n <= MOST, "%s got %d in a second, %.0f allowed", id, n,
		    MOST)
	end
end

press(1500)
check(worst("i-1", 0, now_ms()) > MOST, "too little load")
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
check(worst("i-2", at + COLD + 1000, now_ms()) > RATE, "not used again")
check(worst("i-6", at + COLD + 1000, now_ms()) > 0, "no keys again")
while #open > 0 do
	read_oldest()
end
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
