-- One target of each service is killed.  The outcome of its requests in flight
-- is unknown to their callers; later requests are served by other targets, and
-- its keys once its last grant has expired.
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
check(r.any <= 2 and r.once <= 3,
    "requests without a key failed: %d any, %d once", r.any, r.once)
s:await_keys(6000)
check(now_ms() - died < 7000, "keys without an owner for %.0f ms",
    now_ms() - died)
local later = s:load(1500)
check(later.any + later.once + later.key == 0, "failed later")
s:stop_all()
s:journals_ok(r.refused)
say("keys served again, no request ran twice")
