-- A page of a list has no usable name, or does not lead on: the list counts as
-- complete without what follows, or the page is read again without a pause.
dofile("regress/scenario/lib_site.lua")
local FEEDS, RETRIES_PER_S = 2, 10
local s = standard_site {}
for i = 1, 7 do
	s:write_object("servers", ("0"):rep(90) .. i, "{}")
	s:write_object("servers", "j" .. ("&"):rep(90) .. i, "{}")
end
s:fault("page=3")
for _ = 1, 2 do
	s:restart_all()
	s:await_ready()
	s:await_keys()
	local r = s:load(1500)
	check(r.any + r.once + r.key == 0, "failed: %d %d %d (%s)", r.any,
	    r.once, r.key, r.last)
	s:check_all_used(4000)
	s:check_new_target(4000)
end
local logs = ""
for _, n in ipairs(s.order) do
	logs = logs .. read_file(n .. ".log")
end
check(logs:match("3 objects of servers, after '0+3', have no usable name"),
    "names that are too long are not logged")
say("names that are too long fill pages")

local function reads()
	local _, text = http("GET", "http://" .. s.platctl .. "/")
	return tonumber(text:match("reads (%d+)"))
end
s:fault("first_only=1")
s:restart_all()
sleep_ms(500)
local before, from = reads(), now_ms()
sleep_ms(2000)
local most = #s.order * FEEDS * RETRIES_PER_S * (now_ms() - from) / 1000
check(reads() - before <= most, "%d reads in 2 s", reads() - before)
s:fault("first_only=0")
s:await_ready()
s:await_keys()
s:stop_all()
s:journals_ok()
say("a page that does not lead on is read with pauses")
