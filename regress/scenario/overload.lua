-- Twice and five times what the targets can do.  What cannot be served in time
-- is refused at once with when to come back; what is served is served soon;
-- the targets stay busy.  Nothing is held back until its deadline.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } },
	target = { slots = 2, work = 10 } }
sleep_ms(500)
for _, times in ipairs { 2, 5 } do
	-- 2 targets with 2 slots of 10 ms: 400 a second.
	local l = f:load { "-r", tostring(400 * times), "-d", "4", "-q",
		"-D", "400" }
	local s = l:finish()
	local rate = s.ok / 4
	check(rate > 400 * 0.6, "%dx: served %d a second", times, rate)
	check(s.unknown < s.ok * 0.02, "%dx: unknown %d", times, s.unknown)
	check(s.p99 < 250, "%dx: p99 of served %.0f ms", times, s.p99)
	check(s.not_run > 0, "%dx: nothing refused", times)
	say("%dx: goodput, refusals and p99 within bounds", times)
end
f:stop_all()
f:journals_ok()
