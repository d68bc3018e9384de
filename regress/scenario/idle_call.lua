-- Callers keep connections open that have been idle since before a host began
-- to stop, and send on them in its last moments.  Each request is served whole,
-- or its connection is closed before a byte of it was read, after which any
-- caller may send it elsewhere: refused, it would have failed in a planned stop.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local h = f.hosts.aarhus1
local ASK = "GET /v1/lookup/key-1 HTTP/1.1\r\nHost: x\r\n\r\n"
local idle = {}
for i = 1, 400 do
	idle[i] = dial(h.callers)
	send(idle[i], ASK)
	check(answer(idle[i], 2000) == 200, "not served before the stop")
end
f:term_host("aarhus1")
await("door closed", 8000, function()
	local c = dial(h.callers)
	if c then
		hang_up(c)
	end
	return not c
end)
local seen = { [200] = 0, closed = 0 }
for i = 1, #idle do
	send(idle[i], ASK)
	local st, why = answer(idle[i], 2000)
	local what = st == 0 and why or st
	seen[what] = (seen[what] or 0) + 1
	sleep_ms(1)
end
for what, n in pairs(seen) do
	check(what == 200 or what == "closed", "%d were %s", n, what)
end
check(seen[200] > 20 and seen.closed > 20, "served %d, closed %d", seen[200],
    seen.closed)
say("served whole or closed unread")
check(wait(h.pid) == 0, "aarhus1 did not stop well")
h.dead = true
f:stop_all()
f:journals_ok()
