-- Clients whose large bodies are whole, to targets that take long: requests
-- that wait or are being sent take the host's memory.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE, WORK_MS = 60, 8 * MB, 300
local s = standard_site { hosts = 1, work = WORK_MS }
s:configure(nil, nil, '"max_header_bytes":16384,"max_body_bytes":' .. SIZE ..
    ',"header_timeout":"3000ms","idle_timeout":"15000ms"')
await("the limit in force", 5000, function()
	return s:request("h1", "/any/1", nil, "POST", ("x"):rep(MB)) == 200
end)
local body = ("x"):rep(SIZE)
local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
	send(c, post_head("/any/1", "Content-Length: " .. SIZE .. "\r\n"))
	send(c, body)
end)
s:await_ordinary("h1", "beside the crowd")
check_host(s, "h1", "beside the crowd")
hang_up_all(crowd)
s:await_ordinary("h1", "afterwards")
check_host(s, "h1", "afterwards")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request served")
