-- Clients that hold all connections of the readiness probe's address or of the
-- metrics' and never end their requests: the load balancer takes the host for
-- lost.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS = 40
local s = standard_site { hosts = 1 }
local function probed()
	return s:is_ready("h1")
end
local function measured()
	return http("GET", "http://" .. s.hosts.h1.admin .. "/metrics", nil,
	    nil, 500) == 200
end
for _, door in ipairs({ { "ready", probed }, { "admin", measured } }) do
	local crowd = open_crowd(s.hosts.h1[door[1]], CLIENTS, function(c)
		send(c, "GET /")
	end)
	await(door[1] .. " answered", 20000, function()
		for _, c in ipairs(crowd) do
			send(c, "x")
		end
		return door[2]()
	end)
	check_host(s, "h1", door[1])
	hang_up_all(crowd)
	say("%s: answered", door[1])
end
s:await_ordinary("h1", "afterwards")
s:stop_all()
s:journals_ok()
