-- The configuration changes: routes are added and removed, a route moves to
-- another service, a traffic split is set.  Each change is in force on every
-- host within two seconds, and no host ever returns to an older version.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
s:add_server("other", "south")
local old = s.routes
s:configure({ old[1], old[2], old[3], route("r4", "/new/", "safe", "plain"),
    route("r5", "/any/deep/", "safe", "other") }, { s.services[1],
    s.services[2], '"other":{"max_conns":50}' })
sleep_ms(2000)
for _, n in ipairs(s.order) do
	check(s:request(n, "/new/1") == 200, "%s lacks the new route", n)
	local _, body = s:request(n, "/any/deep/1")
	check(body:match("^i%-7 "), "%s sends it to %s", n, body)
end
say("in force on every host")
s:configure({ old[1], old[2], old[3] })
sleep_ms(2000)
for _, n in ipairs(s.order) do
	check(s:request(n, "/new/1") == 404, "%s still has the removed route", n)
end
say("a removed route is refused")
-- A host that starts again must not serve by an older version.
local late = s:controller() == "h3" and "h2" or "h3"
s:kill_host(late)
s:start_host(late)
s:await_ready(late, 5000)
check(s:request(late, "/new/1") == 404,
    "a restarted host serves by an older version")
s:configure({ route("r1", "/any/", "safe", nil, { split =
    '"traffic_split":[{"service":"plain","weight":75},' ..
    '{"service":"other","weight":25}]' }), old[2], old[3] })
sleep_ms(2000)
local other = 0
for i = 1, 200 do
	local _, body = s:request("h1", "/any/" .. i)
	other = other + (body:match("^i%-7 ") and 1 or 0)
end
check(other >= 46 and other <= 54,
    "%d of 200 requests went to a service of weight 25", other)
say("the traffic split is kept")
s:stop_all()
