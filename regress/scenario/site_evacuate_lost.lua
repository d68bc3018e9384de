-- Hosts that lose the store or their controller send to an evacuated data centre.
dofile("regress/scenario/lib_site.lua")
local EVACUATE = 5000
local s = standard_site { hosts = 5, plain = 4, keyed = 4, store_wires = true,
    bounds = "evacuate = 5s" }

local function nothing_sent(dc, from)
	check(s:ran_in(dc, from + EVACUATE, now_ms()) == 0,
	    "%d sent to %s", s:ran_in(dc, from + EVACUATE, now_ms()), dc)
end

-- The controller ends in the same moment, a third do not reach the store.
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
nothing_sent("north", from)
say("kept when the controller is lost")

-- All hosts start anew, and read the store.
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
check(s:ran_in("north", started, now_ms()) == 0, "sent after a start")
say("kept when all hosts start anew")

-- The store goes once it has been read, is back without its history.
from = s:evacuate("south", true)
s:evacuate("north", false)
s:load(1500)
s:fault("down=1")
s:load(from + EVACUATE + 1500 - now_ms())
nothing_sent("south", from)
s:fault("compact=1")
s:fault("down=0")
s:load(2500)
nothing_sent("south", from)
say("kept while the store is away, and after")

-- What was taken back while it was away is served again.
s:fault("down=1")
sleep_ms(300)
s:fault("down=0")
s:evacuate("south", false)
s:fault("compact=1")
from = now_ms()
s:load(6000)
check(s:ran_in("south", from, now_ms()) > 20, "not used again")
s:stop_all()
say("taken back")
