-- A body that arrives evenly for longer than a head may take: the client is
-- refused as too slow though it is never idle.
dofile("regress/scenario/lib_site.lua")
local SIZE, PIECES, PAUSE_MS = 800000, 50, 160
local s = standard_site { hosts = 1 }
s:configure(nil, nil, '"max_header_bytes":16384,"max_body_bytes":1048576,' ..
    '"header_timeout":"3000ms","idle_timeout":"3000ms"')
local piece = ("x"):rep(SIZE // PIECES)
await("the limit in force", 5000, function()
	return s:request("h1", "/any/1", nil, "POST", ("x"):rep(SIZE)) == 200
end)
local c = dial(s.hosts.h1.callers)
send(c, "POST /any/even HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: even\r\n" ..
    "X-Deadline-Ms: 1400\r\nContent-Length: " .. SIZE .. "\r\n\r\n")
for _ = 1, PIECES do
	sleep_ms(PAUSE_MS)
	send(c, piece)
end
local st = answer(c, 5000)
hang_up(c)
check(st == 200, "answered %d", st)
s:stop_all()
s:journals_ok()
say("served")
