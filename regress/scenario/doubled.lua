-- The network between hosts delivers each frame twice: requests, answers,
-- leases and views.  A caller gets its own answer, once.  A reservation runs
-- once; a lookup may run twice, and its second answer is dropped.  The loss of
-- the controller is handled as without duplicates.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } }, wires = "double" }
local r = { name = "reserve", class = "reserve", shards = 32, cells = { {
	dcs = { "aarhus" }, targets = { f:add_target("r1", "aarhus"),
	    f:add_target("r2", "aarhus") } } } }
f:put_entry(r)
f:await_served("reserve")
local ctl = f:await_standbys("aarhus")
local rest = {}
for _, n in ipairs(f.order) do
	rest[n] = n ~= ctl or nil
end
local l = f:load { "-r", "200", "-d", "6", only = rest }
local c = f:load { "-r", "50", "-d", "6", "-c", "-s", "reserve", only = rest }
f:await_load(next(rest))
f:kill_host(ctl)
local s, t = l:finish(), c:finish()
check(s.wrong + s.lost + s.bad == 0, "lookups answered wrongly or lost")
check(t.wrong + t.lost + t.bad == 0, "reservations answered wrongly or lost")
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
check(f:metric(next(rest), "answer_late") > 0, "no duplicate answer was dropped")
f:stop_all()
f:journals_ok()
say("each caller got its own answer, each reservation ran once")
