-- Many clients that each send all but the end of a small body and stay.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE = 2000, 65536
local s = standard_site { hosts = 1 }
local bytes = post_head("/any/1", "Content-Length: " .. SIZE .. "\r\n") ..
    ("x"):rep(SIZE - 1)
local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
	send(c, bytes)
end)
s:check_crowd(crowd, "beside the crowd")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request served")
