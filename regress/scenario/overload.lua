-- Callers send twice and five times what the targets can serve.  What cannot be
-- served in time is refused at once with Retry-After, what is served is served
-- soon, and the targets stay busy.  No request is held until its deadline.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } },
	target = { slots = 2, work = 10 } }
sleep_ms(500)
for _, times in ipairs { 2, 5 } do
	-- 2 targets with 2 slots and 10 ms a request: 400 a second.
	local l = f:load { "-r", tostring(400 * times), "-d", "4", "-q",
		"-D", "400" }
	local s = l:finish()
	local rate = s.ok / 4
	check(rate > 400 * 0.6, "%dx: %d served a second", times, rate)
	check(s.unknown < s.ok * 0.02, "%dx: %d with unknown outcome", times, s.unknown)
	check(s.p99 < 250, "%dx: p99 of served %.0f ms", times, s.p99)
	check(s.not_run > 0, "%dx: nothing refused", times)
	say("%dx: goodput, refusals and p99 within bounds", times)
end
f:stop_all()
f:journals_ok()
