-- Guards against hosts that go on with their part of the retry budget after
-- other hosts were added: no keys move, so that no owners are sent.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 3 }
for i = 4, 6 do
	s:add_host("h" .. i, "south")
	s:start_host("h" .. i)
end
s:await_ready()
-- Earns retries that nothing uses.
s:request_each(120)
local before, from = s:fail_plain(), now_ms()
local sent = s:request_each(40)
local retries, took = s:fail_plain() - before - sent, now_ms() - from
check(took < 10000, "the requests took %.0f ms: the test shows nothing", took)
check(retries <= 0.2 * sent + 60, "%d retries of %d requests by six hosts",
    retries, sent)
check(retries >= 0.2 * sent, "too few retries: %d of %d", retries, sent)
s:stop_all()
say("retries stay within the budget of all hosts")
