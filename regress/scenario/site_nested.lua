-- A value nested deeper than JSON libraries read, in one object of the store,
-- hides the others of its kind from all hosts.
dofile("regress/scenario/lib_site.lua")
local NEW_TARGET_MS = 4000 -- config_apply, and 2 s
local s = standard_site { bounds = "evacuate = 2s" }
local function check_served(what)
	s:restart_all()
	s:await_ready()
	s:await_keys()
	local r = s:load(1500)
	check(r.any + r.once + r.key == 0, "%s: failed: %d %d %d (%s)", what,
	    r.any, r.once, r.key, r.last)
end

-- A watch brings each of them, then a list after a restart.
for _, depth in ipairs({ 1000, 5000, 50000 }) do
	local value = '"@nested ' .. depth .. '"'
	s:write_object("servers", "x-spec-" .. depth, value)
	s:write_object("servers", "x-status-" .. depth, "{}", value)
	s:check_new_target(NEW_TARGET_MS)
	check_served("targets, " .. depth)
end
say("targets served and found")
s:write_object("config", "x-1", '"@nested 5000"')
s:configure({ route("r4", "/new/", "safe", "plain"),
    table.unpack(s.routes) })
await("the new route in force", 2000, function()
	return s:request("h1", "/new/1") == 200
end)
s:write_object("evacuations", "x-1", '"@nested 5000"')
s:write_object("evacuations", ("x"):rep(90), "{}")
await("the object without a usable name logged", 3000, function()
	for _, n in ipairs(s.order) do
		if read_file(n .. ".log"):match("1 objects of evacuations") then
			return true
		end
	end
end)
s:evacuate("north", true)
sleep_ms(2100)
local from = now_ms()
local r = s:load(1000)
check(r.any + r.once + r.key == 0, "evacuated: failed: %d %d %d (%s)", r.any,
    r.once, r.key, r.last)
check(s:count_runs("north", from, now_ms()) == 0,
    "evacuation not followed")
s:evacuate("north", false)
check_served("configuration and evacuations")
say("configuration and evacuations followed")
-- The product's own objects: their values hold, whatever stands beside them.
for _, name in ipairs({ "gspar-control/main", "gspar-owners/keyed" }) do
	local st = http("PUT", "http://" .. s.store .. "/objects/" .. name,
	    '{"status":"@nested 5000"}')
	check(st == 200, "%s not written: %d", name, st)
end
check_served("own objects")
s:stop_all()
s:journals_ok()
s:fences_ok()
say("own objects read")
