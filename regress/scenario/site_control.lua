-- The host that controls dies, and its successor is stopped for three seconds
-- and wakes.  Grants go on in time for no key to lose its owner, and the one
-- that wakes gives no order on what it believed before.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 4 }
local first = s:controller()
local r = s:load(3500, function(n)
	if n == 20 then
		s:kill_host(first)
	end
end)
check(r.any + r.once <= 2, "failed: %d any, %d once", r.any, r.once)
check(r.key <= 2, "keyed failed: %d of %d", r.key, r.asked // 3)
local second = s:controller()
check(second ~= first, "nobody took control")
say("control taken over")
kill(s.hosts[second].pid, 19)
s.hosts[second].dead = true
r = s:load(3000)
kill(s.hosts[second].pid, 18)
s.hosts[second].dead = nil
check(s:controller() ~= second, "nobody took control from the stopped one")
s:await_keys(5000)
local again = s:load(1500)
check(again.any + again.once + again.key == 0, "failed: %d %d %d", again.any,
    again.once, again.key)
s:stop_all()
s:journals_ok(r.runs)
say("one owner for each key all along")
