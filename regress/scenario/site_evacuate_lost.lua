-- Hosts that lose the store or the controller must still send nothing to an
-- evacuated data centre.
dofile("regress/scenario/lib_site.lua")
local EVACUATE = 5000
local s = standard_site { hosts = 5, plain = 4, keyed = 4, store_wires = true,
    bounds = "evacuate = 5s" }

local function check_none_sent(dc, from)
	check(s:count_runs(dc, from + EVACUATE, now_ms()) == 0,
	    "%d requests sent to %s",
	    s:count_runs(dc, from + EVACUATE, now_ms()), dc)
end

-- The controller is killed at the same moment, and two other hosts do not reach
-- the store.
local first = s:controller()
local cut = {}
for _, n in ipairs(s.order) do
	if n ~= first and #cut < 2 then
		table.insert(cut, n)
		s:cut_store(n, true)
	end
end
local from = s:evacuate("north", true)
s:kill_host(first)
s:load(2000)
s:start_host(first)
s:load(from + EVACUATE + 2000 - now_ms())
check_none_sent("north", from)
say("evacuation kept when the controller is lost")

-- All hosts restart and read the store.
for _, n in ipairs(cut) do
	s:cut_store(n, false)
end
s:restart_all()
local started = now_ms()
await("all ready", 12000, function()
	for _, n in ipairs(s.order) do
		if not s:is_ready(n) then
			return false
		end
	end
	return true
end)
s:await_keys()
s:load(1000)
check(s:count_runs("north", started, now_ms()) == 0,
    "requests sent after the restart")
say("evacuation kept when all hosts restart")

-- The store goes away once hosts have read the evacuation, and returns without
-- its history.
from = s:evacuate("south", true)
s:evacuate("north", false)
s:load(1500)
s:fault("down=1")
s:load(from + EVACUATE + 1500 - now_ms())
check_none_sent("south", from)
s:fault("compact=1")
s:fault("down=0")
s:load(2500)
check_none_sent("south", from)
say("evacuation kept during and after an outage of the store")

-- A cancelled evacuation takes effect although the store was away just before
-- and has lost its history.
s:fault("down=1")
sleep_ms(300)
s:fault("down=0")
s:evacuate("south", false)
s:fault("compact=1")
from = now_ms()
s:load(6000)
check(s:count_runs("south", from, now_ms()) > 20, "not used again")
s:stop_all()
say("cancelled evacuation takes effect")
