-- Callers keep idle connections to a host open and send a request on them while
-- the host stops.  Each request must be served, or its connection closed before
-- a byte of it was read: then any caller may safely send it to another host.  A
-- refusal would be a failed request in a planned stop.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local h = f.hosts.aarhus1
local REQUEST = "GET /v1/lookup/key-1 HTTP/1.1\r\nHost: x\r\n\r\n"
local idle = {}
for i = 1, 400 do
	idle[i] = dial(h.callers)
	send(idle[i], REQUEST)
	check(answer(idle[i], 2000) == 200, "not served before the stop")
end
f:term_host("aarhus1")
await("listener closed", 8000, function()
	local c = dial(h.callers)
	if c then
		hang_up(c)
	end
	return not c
end)
local outcomes = { [200] = 0, closed = 0 }
for i = 1, #idle do
	send(idle[i], REQUEST)
	local st, why = answer(idle[i], 2000)
	local what = st == 0 and why or st
	outcomes[what] = (outcomes[what] or 0) + 1
	sleep_ms(1)
end
for what, n in pairs(outcomes) do
	check(what == 200 or what == "closed", "%d were %s", n, what)
end
check(outcomes[200] > 20 and outcomes.closed > 20, "served %d, closed %d",
    outcomes[200], outcomes.closed)
say("each request served, or its connection closed before it was read")
check(wait(h.pid) == 0, "aarhus1 did not exit with 0")
h.dead = true
f:stop_all()
f:journals_ok()
