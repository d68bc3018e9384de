-- Clients at the address of other hosts that send most of a large frame, from a
-- host that nobody knows, and stay.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, FRAME, SENT = 40, 16 * MB, 3700000
local s = standard_site { hosts = 1 }
local before = descriptors(s, "h1")
local bytes = string.pack(">I4", FRAME) .. ("x"):rep(SENT)
local crowd = open_crowd(s.hosts.h1.peers, CLIENTS, function(c)
	send(c, bytes)
end)
s:await_ordinary("h1", "beside the crowd")
check_host(s, "h1", "beside the crowd")
await("connections ended", 20000, function()
	return descriptors(s, "h1") < before + CLIENTS / 2
end)
hang_up_all(crowd)
s:await_ordinary("h1", "afterwards")
check_host(s, "h1", "afterwards")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request served")
