-- More silent connections than the host has descriptors for, at the addresses
-- for other hosts: no descriptor is left for targets and the store.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, LIMIT, DESCRIPTORS_MAX = 600, 400, 300
local SAMPLES = 20
local s = standard_site { hosts = 1, descriptors = LIMIT }
for _, door in ipairs({ "peers", "tunnel" }) do
	local crowd = open_crowd(s.hosts.h1[door], CLIENTS, function() end)
	for _ = 1, SAMPLES do
		local n = descriptors(s, "h1")
		check(n < DESCRIPTORS_MAX, "%s: %d descriptors", door, n)
		sleep_ms(50)
	end
	s:check_crowd(crowd, door)
	say("%s: descriptors left, an ordinary request served", door)
end
s:stop_all()
s:journals_ok()
