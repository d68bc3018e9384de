-- Guards against hosts that go on with their part of the retry budget after
-- other hosts were added: no keys move, so that no owners are sent.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 3 }
local function runs()
	return s:server_fault("i-1", "fail=1") + s:server_fault("i-2", "fail=1") +
	    s:server_fault("i-3", "fail=1")
end
local function requests(n)
	for i = 1, n do
		for _, h in ipairs(s.order) do
			s:request(h, "/any/" .. i)
		end
	end
	return n * #s.order
end
for i = 4, 6 do
	s:add_host("h" .. i, "south")
	s:start_host("h" .. i)
end
for _, n in ipairs(s.order) do
	await(n .. " ready", 8000, function()
		return s:is_ready(n)
	end)
end
-- Earns retries that nothing uses.
requests(120)
local before, from = runs(), now_ms()
local sent = requests(40)
local retries, took = runs() - before - sent, now_ms() - from
check(took < 10000, "the requests took %.0f ms: the test shows nothing", took)
check(retries <= 0.2 * sent + 60, "%d retries of %d requests by six hosts",
    retries, sent)
check(retries >= 0.2 * sent, "too few retries: %d of %d", retries, sent)
s:stop_all()
say("retries stay within the budget of all hosts")
