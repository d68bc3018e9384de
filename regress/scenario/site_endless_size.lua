-- A target sends the extension of a chunk's size without end.  It is read until
-- the request's deadline, and no other target serves the request.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 2, hosts = 1 }
for i = 1, 40 do
	s:request("h1", "/any/" .. i)
end
s:server_fault("i-1", "endless=size")
for i = 1, 6 do
	local st = s:request("h1", "/any/e" .. i)
	check(st == 200, "request %d: %d", i, st)
end
check(s:metric("h1", "answers_stopped") > 0, "not counted")
s:stop_all()
s:journals_ok()
say("served by another target")
