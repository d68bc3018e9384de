-- Invalid frames between hosts: a frame that is malformed, too long, of an
-- unknown kind or sent before the hello closes its connection with a logged
-- reason.  Other connections and the requests on them are not affected.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local p = f.hosts.aarhus1.peers

-- A hello frame: version 2, host "ghost".
local hello = "\0\0\0\11\10\9\8\2\18\5ghost"
raw(p, "\255\255\255\255", false)
raw(p, "\0\0\0\4\255\255\255\255", false)
raw(p, "\0\0\0\0", false)
raw(p, "\0\0\0\4\82\2\8\1", false)
raw(p, hello .. "\0\0\0\3\250\1\0", false)
check(f:metric("aarhus1", "peer_bad_frames") == 5, "bad frames counted: %d",
    f:metric("aarhus1", "peer_bad_frames"))
for i = 1, 20 do
	check(f:get("aarhus1", "lookup", "k" .. i) == 200, "other requests fail")
end
f:stop_all()
say("five bad connections closed, others served")
