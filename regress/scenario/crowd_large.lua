-- Four clients that send all but the last byte of bodies as large as is allowed
-- unless a configuration says otherwise: more than a machine's memory.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE = 4, 64 * MB
local s = standard_site { hosts = 1 }
s:limit_bodies(SIZE,
    { route("r1", "/any/", "safe", "plain", { timeout = "20s" }) })
local body = ("x"):rep(SIZE)
local nposts = 0
local function post(c, n)
	nposts = nposts + 1
	send(c, "POST /any/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " ..
	    "large-" .. nposts .. "\r\nX-Deadline-Ms: 20000\r\n" ..
	    "Content-Length: " .. SIZE .. "\r\n\r\n")
	send(c, n == SIZE and body or body:sub(1, n))
end
local function check_alone(what)
	local c = dial(s.hosts.h1.callers)
	post(c, SIZE)
	local st = answer(c, 20000)
	hang_up(c)
	check(st == 200, "%s: one request at the limit: %d", what, st)
end
check_alone("before")
local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
	post(c, SIZE - 1)
end)
s:check_crowd(crowd, "beside the crowd")
check_alone("afterwards")
check_host(s, "h1", "all")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request and one at the limit served")
