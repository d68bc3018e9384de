-- The name of an object in the store holds a character that URLs give a
-- meaning, and ends a page of a list: hosts never learn of what follows.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { bounds = "evacuate = 2s" }
local names = { "&", "&a", "#", "#a", "%41", "%zz", "+", "a b", " ", "a&b",
    "a#b", "a+b", "a%20b", "a/b", "a?b", "a=b&after=zz", "i-1&x", "i-2 ", "i-3#1",
    "\u{e9}", "j&", "k#", "l+", "m ", "n%" }
for _, n in ipairs(names) do
	s:write_object("servers", n, '"@nested 5000"')
	s:write_object("config", n, "{}")
	s:write_object("evacuations", n, "null")
end
for _, size in ipairs({ 1, 2, 5 }) do
	s:fault("page=" .. size)
	s:restart_all()
	s:await_ready()
	s:await_keys()
	local r = s:load(2000)
	check(r.any + r.once + r.key == 0, "pages of %d: failed: %d %d %d (%s)",
	    size, r.any, r.once, r.key, r.last)
	s:check_new_target(4000)
end
say("served with pages of 1, 2 and 5")
s:evacuate("north", true)
sleep_ms(2100)
s:restart_all()
s:await_ready()
sleep_ms(2100)
local from = now_ms()
s:load(1000)
check(s:count_runs("north", from, now_ms()) == 0, "evacuation not followed")
s:stop_all()
s:journals_ok()
say("evacuation followed")
