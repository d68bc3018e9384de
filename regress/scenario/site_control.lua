-- The controller is killed; its successor is paused for three seconds and
-- resumes.  Grants are renewed in time, so no key loses its owner, and the
-- resumed host sends no orders based on its outdated state.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 4 }
local first = s:controller()
local r = s:load(3500, function(n)
	if n == 20 then
		s:kill_host(first)
	end
end)
check(r.any + r.once <= 2, "requests failed: %d any, %d once", r.any, r.once)
check(r.key <= 2, "keyed requests failed: %d of %d", r.key, r.requests // 3)
local second = s:controller()
check(second ~= first, "no host took control")
say("control taken over")
kill(s.hosts[second].pid, 19)
s.hosts[second].dead = true
r = s:load(3000)
kill(s.hosts[second].pid, 18)
s.hosts[second].dead = nil
check(s:controller() ~= second, "no host took control from the paused one")
s:await_keys(5000)
local later = s:load(1500)
check(later.any + later.once + later.key == 0, "failed: %d %d %d", later.any,
    later.once, later.key)
s:stop_all()
s:journals_ok(r.refused)
say("each key had one owner throughout")
