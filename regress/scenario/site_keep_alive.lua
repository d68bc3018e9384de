-- Where targets have admission hosts, a connection that has been idle for as long
-- as its target allows is used again: a request that may run once must not close
-- those that requests which may be repeated are to use.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 2, plain = 1, keyed = 1,
    bounds = "[routing]\nadmission = always\n[bounds]" }
for _, id in ipairs(s.sorder) do
	s:server_fault(id, "keep_alive=10")
end

local function opened()
	return s:metric("h1", "target_connections")
end

-- Idle longer than a request that may run once allows, and shorter than one that
-- may be repeated does.
local IDLE = 5000
check(s:request_key("h1", 700) == 200, "key not served")
check(s:request("h1", "/once/1", nil, "POST", "x") == 200, "not served")
sleep_ms(IDLE)
local before = opened()
check(s:request("h1", "/once/2", nil, "POST", "x") == 200, "not served")
check(opened() == before + 1, "%d connections opened for a request that may " ..
    "run once, 1 expected", opened() - before)
check(s:request_key("h1", 700) == 200, "key not served")
check(opened() == before + 1, "an idle connection was not used again")
s:stop_all()
s:journals_ok()
say("idle connections used again")
