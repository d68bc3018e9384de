-- A caller connects to a host that stops, and sends its request only after the
-- host has closed its listening socket.  As the connection was accepted, the
-- request must be served and the connection then closed: refusing it would fail
-- a caller in a planned stop.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local h = f.hosts.aarhus1
local early = dial(h.callers)
f:term_host("aarhus1")
local late
await("listener closed", 8000, function()
	local c = dial(h.callers)
	if not c then
		return true
	end
	if late then
		hang_up(late)
	end
	late = c
end)
local function request(what, c)
	send(c, "GET /v1/lookup/key-1 HTTP/1.1\r\nHost: x\r\n\r\n")
	local text = read_all(c)
	say("%s: %s, %s", what, text:match("^HTTP/1.1 (%d+)") or "cut off",
	    text:match("Connection: (%a+)") or "kept open")
end
request("connected before the stop", early)
request("connected last", late)
check(wait(h.pid) == 0, "aarhus1 did not exit with 0")
h.dead = true
f:stop_all()
f:journals_ok()
