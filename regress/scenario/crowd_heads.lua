-- More clients than the host has descriptors for that never end the head of a
-- request: no descriptor is left for targets and the store.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, LIMIT, DESCRIPTORS_MAX = 600, 400, 300
local ROUNDS, PAUSE_MS = 6, 2000
local s = standard_site { hosts = 1, descriptors = LIMIT }

-- Registers a target and waits until the host sends requests to it, which
-- takes a read of the store.
local function await_new_target(what, each)
	local t = s:add_server("plain", "south")
	await(what .. ": a new target used", 20000, function()
		each()
		s:request("h1", "/any/1")
		return #s:arrivals(t.id) > 0
	end)
end

local forms = {
	{ "a byte at a time", "G" },
	{ "that stop", "GET " },
}
for _, form in ipairs(forms) do
	local name, first = form[1], form[2]
	local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
		send(c, first)
	end)
	local function more()
		if name == "a byte at a time" then
			for _, c in ipairs(crowd) do
				send(c, "x")
			end
		end
	end
	for _ = 1, ROUNDS do
		sleep_ms(PAUSE_MS)
		more()
		local n = descriptors(s, "h1")
		check(n < DESCRIPTORS_MAX, "heads %s: %d descriptors", name, n)
	end
	await_new_target(name, more)
	s:check_crowd(crowd, name, more)
	say("heads %s: descriptors left, an ordinary request served", name)
end
s:stop_all()
s:journals_ok()
