-- A target of each service dies.  What was under way there is unknown to its
-- callers, what comes after is served by others; the dead one's keys are
-- served again once its last grant has run out.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 4 }
local refused = {}
local died
local r = s:load(2500, function(n)
	if n == 30 then
		s:kill_server("i-1")
		s:kill_server("i-4")
		died = now_ms()
	end
end)
check(r.any <= 2 and r.once <= 3, "others failed: %d any, %d once", r.any,
    r.once)
s:await_keys(6000)
check(now_ms() - died < 7000, "keys without owner for %.0f ms",
    now_ms() - died)
local again = s:load(1500)
check(again.any + again.once + again.key == 0, "failed later")
s:stop_all()
s:journals_ok(r.runs)
say("served again, none ran twice")
