-- Four clients that send all but the last byte of bodies as large as is allowed
-- unless a configuration says otherwise: more than a machine's memory.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE = 4, 64 * MB
local s = standard_site { hosts = 1 }
s:configure({ route("r1", "/any/", "safe", "plain", { timeout = "20s" }) }, nil,
    '"max_header_bytes":16384,"max_body_bytes":' .. SIZE ..
    ',"header_timeout":"3000ms","idle_timeout":"15000ms"')
local body = ("x"):rep(SIZE)
local nposts = 0
local function post(c, n)
	nposts = nposts + 1
	send(c, "POST /any/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " ..
	    "large-" .. nposts .. "\r\nX-Deadline-Ms: 20000\r\nContent-Length: " .. SIZE ..
	    "\r\n\r\n")
	send(c, n == SIZE and body or body:sub(1, n))
end
await("the limit in force", 5000, function()
	return s:request("h1", "/any/1", nil, "POST", ("x"):rep(MB)) == 200
end)
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
s:await_ordinary("h1", "beside the crowd")
hang_up_all(crowd)
s:await_ordinary("h1", "afterwards")
check_alone("afterwards")
check_host(s, "h1", "all")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request and one at the limit served")
