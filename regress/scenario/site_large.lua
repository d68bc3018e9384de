-- The configuration grows by 4,300 routes, 750 KB, while small hosts have links
-- of 10 Mbit/s, of which callers take a fifth.  Users saw new routes served by
-- the old rules seconds after the bound: the controller sent a host the whole
-- configuration again at each report, five times a second; the copies filled
-- the links, heartbeats waited behind them, connections were closed with a copy
-- half sent, and reads of the store, too slow on full links, were aborted and
-- started over.  Each host must have each version 2 s after the store took it,
-- and no host may lose contact with the controller meanwhile.
dofile("regress/scenario/lib_site.lua")
local LINK, BOUND, ROUTES = 1000000, 2000, 4300
local s = standard_site { hosts = 5, links = { h2 = LINK, h3 = LINK,
    h4 = LINK, h5 = LINK }, size = { h2 = "cores = 0.1\nlink_mbps = 10",
    h3 = "cores = 0.1\nlink_mbps = 10", h4 = "cores = 0.1\nlink_mbps = 10",
    h5 = "cores = 0.1\nlink_mbps = 10" } }
await("control at the large host", 10000, function()
	return s:controller() == "h1"
end)

-- Counts the lines in the hosts' logs that match a pattern.
local function logged(what)
	local n = 0
	for _, h in ipairs(s.order) do
		for _ in read_file(h .. ".log"):gmatch(what) do
			n = n + 1
		end
	end
	return n
end

-- Writes routes and checks that each host serves the last of them in time.
local function grow(routes, prefix)
	table.insert(routes, route("new" .. prefix, "/" .. prefix .. "/", "safe",
	    "plain"))
	s:configure(routes)
	local acked = now_ms()
	sleep_ms(BOUND)
	for _, n in ipairs(s.order) do
		local st = s:request(n, "/" .. prefix .. "/1")
		check(st == 200, "%s lacks route %s after %d ms: %d", n, prefix,
		    math.floor(now_ms() - acked), st)
	end
end

local lost = logged("Following the store; last heartbeat from controller")
local routes = s:many_routes(ROUTES)
grow(routes, "first")
say("many more routes are in force")
grow(routes, "second")
say("one more route is in force")
check(logged("Following the store; last heartbeat from controller") == lost,
    "hosts lost contact with the controller")
check(s:controller() == "h1", "control moved to another host")
s:stop_all()
