-- A target is full for a moment and refuses a request that may run only once;
-- the request has not run.  A target with a long queue also resets new
-- connections.  Retried on a new connection, the request got a reset, after
-- which its outcome is unknown, and its caller had to be told that it may have
-- run; on the open connection it is served.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1, plain = 1, keyed = 1 }
local function send_once(i)
	return (s:request("h1", "/once/" .. i, nil, "POST", "b"))
end
for i = 1, 5 do
	check(send_once(i) == 200, "not served before the faults")
end
-- Retries are earned by requests.
s:load(7000)
for i = 6, 25 do
	s:server_fault("i-1", "refuse=1&reset_new=1")
	local st = send_once(i)
	s:server_fault("i-1", "refuse=0&reset_new=0")
	check(st == 200, "request %d: %d", i, st)
end
say("refused once, served on the same connection")
s:stop_all()
s:journals_ok()
