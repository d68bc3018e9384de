-- Targets send answers without end: a body without a length or in chunks, or
-- header lines.  The host's memory grows until the deadlines, its other callers
-- wait, and no request is served by another target.
dofile("regress/scenario/lib_site.lua")
local MEMORY_MB = 120 -- of the smallest machines
local AIM_MS = 300    -- target_latency of the routes
local s = standard_site { plain = 4, hosts = 2 }

local function fault(ids, q)
	for _, id in ipairs(ids) do
		s:server_fault(id, q)
	end
end

-- Sends requests through h1 for `ms`, one to the faulty targets and one to
-- others at a time.  Returns the number of the former and of those served, and
-- the longest time of the latter.
local function load(ms)
	local till, n, longest = now_ms() + ms, 0, 0
	s.answers = {}
	while now_ms() < till do
		n = n + 1
		s:send_async("h1", "any", "/any/" .. n)
		local from = now_ms()
		local st = s:request_key("h1", n * 5003 % 65536)
		check(st == 200, "request to another target: %d", st)
		longest = math.max(longest, now_ms() - from)
		await("a pause", 1000, function()
			return now_ms() > from + 20
		end)
	end
	while #s.pending > 0 do
		s:read_oldest()
	end
	return n, s.answers["any 200"] or 0, longest
end

for _, how in ipairs({ "plain", "chunks", "head" }) do
	fault({ "i-1", "i-2", "i-3", "i-4" }, "endless=" .. how)
	local n, served, longest = load(1500)
	check(n > 10 and served == 0, "%d of %d served", served, n)
	check(longest < AIM_MS, "others waited %.0f ms", longest)
	fault({ "i-2", "i-3", "i-4" }, "endless=")
	await("the other targets used again", 5000, function()
		local sent, ok = load(200)
		return ok == sent
	end)
	n, served, longest = load(3000)
	check(served > n * 0.9, "only %d of %d served beside one target that " ..
	    "sends %s without end", served, n, how)
	check(longest < AIM_MS, "others waited %.0f ms", longest)
	fault({ "i-1" }, "endless=")
end
local peak = s:peak_memory("h1")
check(peak < MEMORY_MB, "%.0f MB", peak)
check(s:metric("h1", "answers_stopped") > 0, "not counted")
s:stop_all()
s:journals_ok()
say("memory bounded, requests served by others")
