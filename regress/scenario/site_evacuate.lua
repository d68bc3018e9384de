-- Targets of an evacuated data centre get new requests.
dofile("regress/scenario/lib_site.lua")
local EVACUATE = 5000
local s = standard_site { hosts = 4, plain = 4, keyed = 4,
    bounds = "evacuate = 5s" }

-- Loads until a time after a moment; what failed.
local function load_until(from, ms)
	local r = s:load(from + ms - now_ms())
	check(r.any + r.once == 0, "%d + %d refused though others have room",
	    r.any, r.once)
	check(r.key <= r.asked // 100, "%d of %d for keys refused", r.key,
	    r.asked)
	return r
end

local from = s:evacuate("north", true)
load_until(from, EVACUATE + 2000)
check(s:ran_in("north", from + EVACUATE, now_ms()) == 0,
    "sent %d to an evacuated data centre",
    s:ran_in("north", from + EVACUATE, now_ms()))
s:await_keys()
say("nothing is sent to an evacuated data centre, others serve")

from = s:evacuate("north", false)
load_until(from, 6000)
check(s:ran_in("north", from, now_ms()) > 20, "not used again")
say("it is used again")

s:evacuate("south", true)
s:evacuate("south", false)
from = now_ms()
load_until(from, EVACUATE + 500)
check(s:ran_in("south", from + EVACUATE, now_ms()) > 0, "not used again")
say("one that is taken back at once is used on")

s:evacuate("south", true)
from = s:evacuate("north", true)
sleep_ms(math.ceil(from + EVACUATE - now_ms()))
for n = 1, 40 do
	local h, at = s.order[n % #s.order + 1], now_ms()
	local st, _, head = s:ask(h, "/any/" .. n)
	local st2, _, head2 = s:ask_key(h, n * 1601)
	check(st == 503 and st2 == 503, "answered %d and %d", st, st2)
	check(head:match("Retry%-After") and head2:match("Retry%-After"),
	    "no time to come back")
	check(now_ms() - at < 500, "refused after %.0f ms", now_ms() - at)
end
check(s:ran_in("north", from + EVACUATE, now_ms()) +
    s:ran_in("south", from + EVACUATE, now_ms()) == 0, "still sent")
say("with all of them evacuated, requests are refused at once")
s:evacuate("south", false)
s:evacuate("north", false)
s:await_keys()
s:stop_all()
say("and served again")
