-- A target is full for a moment and refuses a stamp, truly: it has not run.  A
-- target with a long queue also resets new connections.  Sent once more on a
-- new one, the stamp got a reset, which promises nothing, and its caller had to
-- be told that it may have run; on the connection that stands it is served.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1, plain = 1, keyed = 1 }
local function stamp(i)
	return (s:ask("h1", "/once/" .. i, nil, "POST", "b"))
end
for i = 1, 5 do
	check(stamp(i) == 200, "not served before")
end
for i = 6, 25 do
	s:server_fault("i-1", "refuse=1&reset_new=1")
	local st = stamp(i)
	s:server_fault("i-1", "refuse=0&reset_new=0")
	check(st == 200, "stamp %d: %d", i, st)
end
say("refused once, served on the same connection")
s:stop_all()
s:journals_ok()
