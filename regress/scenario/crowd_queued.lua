-- Clients whose large bodies are whole, to targets that take long: requests
-- that wait or are being sent take the host's memory.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE, WORK_MS = 60, 8 * MB, 300
local s = standard_site { hosts = 1, work = WORK_MS }
s:limit_bodies(SIZE)
local body = ("x"):rep(SIZE)
local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
	send(c, post_head("/any/1", "Content-Length: " .. SIZE .. "\r\n"))
	send(c, body)
end)
s:check_crowd(crowd, "beside the crowd")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request served")
