-- A relaying host resets a connection of another host that still reads an answer,
-- as the target has closed or the other host has sent more.
dofile("regress/scenario/lib_site.lua")
dofile("regress/scenario/lib_unread.lua")
local s = standard_site { hosts = 2, plain = 1, slots = 60 }
s:server_fault("i-1", "work=" .. WORK_MS .. "&size=" .. ANSWER_SIZE)
local nrequests = 0
local function get(lines)
	nrequests = nrequests + 1
	return "GET /any/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: t" ..
	    nrequests .. "\r\n" .. lines .. "\r\n"
end
-- Sends a request through a tunnel, as a host that is cut off does.
local function open_tunnel(what, lines, more)
	local r = open_slow(s.hosts.h1.tunnel, what, "CONNECT " ..
	    s.servers["i-1"].addr .. " HTTP/1.1\r\nHost: x\r\n\r\n", more)
	await("a tunnel", 2000, function()
		return (read_some(r.conn, 1000) or "") ~= ""
	end)
	send(r.conn, get(lines))
	return r
end
local CLOSE = "Connection: close\r\n"
local all = { open_tunnel("slow host", CLOSE, {}),
    open_tunnel("sent later", CLOSE, { later = get("") }),
    open_tunnel("sent all the time", CLOSE, { trickle = "x" }) }
read_slowly(all)
check_whole(all)
say("the target closes in order: answers whole")

-- The target is killed with unread bytes, which resets its connection, when it
-- has sent a whole answer.
local r = open_tunnel("reset by the target", "", {})
await("an answer", 2000, function()
	return has_bytes(r.conn)
end)
s:server_fault("i-1", "work=5000")
send(r.conn, get(""))
await("the next request", 2000, function()
	return read_file("i-1.journal"):find(" t" .. nrequests .. " ")
end)
send(r.conn, "x")
sleep_ms(50)
s:kill_server("i-1")
read_slowly({ r })
check(r.ended == "reset", "the reset is not passed on")
check_whole({ r })
say("the target resets its connection behind the answer: answer whole")
s:stop_all()
s:journals_ok()
