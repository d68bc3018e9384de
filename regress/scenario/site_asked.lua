-- A host behind a link of 150 KB/s is cut off from the store when the
-- configuration grows by 4,300 routes.  It hears of the new version from the
-- controller, cannot read it, and must be told it by the controller: 1 s on
-- that link.  Its callers got the old routes for good, because a connection on
-- which 0.7 s pass without an answer was taken for silent and closed with the
-- copy half sent, over and over.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 3, links = { h3 = 150000 },
    size = { h3 = "cores = 0.1\nlink_mbps = 1.2" } }
await("control elsewhere", 10000, function()
	return s:controller() ~= "h3" and s:controller()
end)
http("POST", "http://" .. s.hosts.h3.link .. "/fault?cut=h3", "")
local routes = s:many_routes(4300)
table.insert(routes, route("late", "/late/", "safe", "plain"))
s:configure(routes)
await("h3 has the new route", 9000, function()
	return s:ask("h3", "/late/1") == 200
end)
say("a host without a way to the store has the new configuration")
s:stop_all()
