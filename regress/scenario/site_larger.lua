-- A small host starts alone and takes control; then two large hosts and a
-- fourth one join.  The small host is overloaded by so many and hands control
-- over to a large standby.  Every key keeps its owner, and no request is
-- refused.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1, size = { h1 = "cores = 0.1\nlink_mbps = 0.4" } }
check(s:controller() == "h1", "h1 is not the controller")
s:add_host("h2", "north")
s:add_host("h3", "south")
s:add_host("h4", "north")
for _, n in ipairs { "h2", "h3", "h4" } do
	s:start_host(n)
	s:await_ready(n)
end
s:await_keys()
local r = { any = 0, once = 0, key = 0 }
await("control at a large host", 10000, function()
	local l = s:load(200)
	for k in pairs(r) do
		r[k] = r[k] + l[k]
	end
	return s:controller() ~= "h1" and s:controller()
end)
check(s:controller() ~= "", "control is vacant")
local l = s:load(1500)
check(r.any + r.once + r.key + l.any + l.once + l.key == 0,
    "failed: %d %d %d, then %d %d %d", r.any, r.once, r.key, l.any, l.once,
    l.key)
say("control moved to a large host, no request failed")
s:stop_all()
s:journals_ok()
