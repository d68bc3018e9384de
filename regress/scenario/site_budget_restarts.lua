-- Guards against a retry budget that grows with restarts of hosts: all targets
-- fail while all hosts are killed and start again within the budget's window.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 3 }
-- Earns retries that nothing uses.
s:request_each(120)
local before, from = s:fail_plain(), now_ms()
local sent = s:request_each(60)
for _ = 1, 3 do
	s:restart_all()
	s:await_ready()
	sent = sent + s:request_each(10)
end
local retries, took = s:fail_plain() - before - sent, now_ms() - from
check(took < 10000, "the requests took %.0f ms: the test shows nothing", took)
check(retries <= 0.2 * sent + 60,
    "%d retries of %d requests, with hosts started three times", retries, sent)
check(retries >= 0.1 * sent, "too few retries: %d of %d", retries, sent)
s:stop_all()
say("retries stay within the budget of all hosts")
