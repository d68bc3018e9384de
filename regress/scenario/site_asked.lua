-- A host behind a link of 150 KB/s is cut off from the store when the
-- configuration grows by 4,300 routes.  It learns of the new version from the
-- controller, cannot read it, and must get a copy from the controller, which
-- takes 1 s on that link.  The host used to serve the old routes forever: a
-- connection without an answer for 0.7 s was considered dead and closed with
-- the copy half sent, over and over.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 3, links = { h3 = 150000 },
    size = { h3 = "cores = 0.1\nlink_mbps = 1.2" } }
await("control at another host", 10000, function()
	return s:controller() ~= "h3" and s:controller()
end)
http("POST", "http://" .. s.hosts.h3.link .. "/fault?cut=h3", "")
local routes = s:many_routes(4300)
table.insert(routes, route("late", "/late/", "safe", "plain"))
s:configure(routes)
await("h3 has the new route", 9000, function()
	return s:request("h3", "/late/1") == 200
end)
say("a host cut off from the store has the new configuration")
s:stop_all()
