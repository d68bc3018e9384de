-- A data centre is evacuated: its targets get no new requests from the bound
-- on, other targets serve, and it is used again once the evacuation is
-- cancelled.  With all data centres evacuated, requests are refused at once.
dofile("regress/scenario/lib_site.lua")
local EVACUATE = 5000
local s = standard_site { hosts = 4, plain = 4, keyed = 4,
    bounds = "evacuate = 5s" }

-- Sends load until `ms` after `from`; returns the counts of failures.
local function load_until(from, ms)
	local r = s:load(from + ms - now_ms())
	check(r.any + r.once == 0,
	    "%d + %d refused though other targets have capacity",
	    r.any, r.once)
	check(r.key <= r.requests // 100,
	    "%d of %d keyed requests refused", r.key, r.requests)
	return r
end

local from = s:evacuate("north", true)
load_until(from, EVACUATE + 2000)
check(s:count_runs("north", from + EVACUATE, now_ms()) == 0,
    "%d requests sent to an evacuated data centre",
    s:count_runs("north", from + EVACUATE, now_ms()))
s:await_keys()
say("nothing is sent to an evacuated data centre, others serve")

from = s:evacuate("north", false)
load_until(from, 6000)
check(s:count_runs("north", from, now_ms()) > 20, "not used again")
say("it is used again")

s:evacuate("south", true)
s:evacuate("south", false)
from = now_ms()
load_until(from, EVACUATE + 500)
check(s:count_runs("south", from + EVACUATE, now_ms()) > 0, "not used again")
say("a data centre stays in use if its evacuation is cancelled at once")

s:evacuate("south", true)
from = s:evacuate("north", true)
sleep_ms(math.ceil(from + EVACUATE - now_ms()))
for n = 1, 40 do
	local h, at = s.order[n % #s.order + 1], now_ms()
	local st, _, headers = s:request(h, "/any/" .. n)
	local st2, _, headers2 = s:request_key(h, n * 1601)
	check(st == 503 and st2 == 503, "answered %d and %d", st, st2)
	check(headers:match("Retry%-After") and headers2:match("Retry%-After"),
	    "no Retry-After")
	check(now_ms() - at < 500, "refused after %.0f ms", now_ms() - at)
end
check(s:count_runs("north", from + EVACUATE, now_ms()) +
    s:count_runs("south", from + EVACUATE, now_ms()) == 0,
    "requests sent to evacuated data centres")
say("with all data centres evacuated, requests are refused at once")
s:evacuate("south", false)
s:evacuate("north", false)
s:await_keys()
s:stop_all()
say("requests are served again")
