-- A target announces in its answers that it leaves, does not get its entry
-- written, and the controller is killed.  The next controller learns it from
-- the hosts, and moves the target's keys.
dofile("regress/scenario/lib_site.lua")
local DRAIN = 2000
local s = standard_site { keyed = 4, plain = 2 }
local sent, n = {}, 0
local function send_key()
	n = n + 1
	local h = s.order[n % #s.order + 1]
	if not s.hosts[h].dead then
		local key = n * 5003 % 65536
		s:request_traced(sent, h, "/k/" .. key,
		    { "X-Shard-Key: " .. key })
	end
end
local first = await("a controller", 8000, function()
	return s:controller()
end)
local from = now_ms()
s:server_fault("i-3", "leaving=1")
while now_ms() < from + 100 do
	send_key()
end
s:kill_host(first)
await("another controller", 9000, function()
	send_key()
	local c = s:controller()
	return c and c ~= first
end)
s:start_host(first)
s:await_keys()
s:check_drained("i-3", sent, from, DRAIN)
check(#s:arrivals("i-3") > 0, "the target was never used")
s:stop_all()
s:journals_ok()
say("no request sent late, and the keys served by others")
