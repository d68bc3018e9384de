-- Callers that send slowly: one stops within its header, one within its body,
-- one sends byte by byte.  Each gets 408 within seconds, its request does not
-- run and its connection is closed; another caller is served meanwhile.
local f = standard_fleet { dcs = { { "aarhus", 1, 1 } } }
local h = f.hosts.aarhus1.callers
local post = "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n"
local slow = {
	{ "stops in its header", post },
	{ "stops in its body", post .. "Content-Length: 500\r\n\r\nhalf" },
	{ "byte by byte", post .. "Content-Length: 5000\r\n\r\n" },
}
local bad = f:metric("aarhus1", "caller_bad")
for _, s in ipairs(slow) do
	s.conn = dial(h)
	send(s.conn, s[2])
end
local from = now_ms()
await("slow callers refused", 9000, function()
	check(f:get("aarhus1", "lookup", "key-1") == 200, "another caller's request failed")
	return not send(slow[3].conn, "b") or
	    f:metric("aarhus1", "caller_bad") >= bad + 3
end)
check(now_ms() - from < 8500, "refused too late")
for _, s in ipairs(slow) do
	local text = read_all(s.conn)
	local j = json(text:match("\r\n\r\n(.*)$") or "") or {}
	say("%s: %s code %s %s", s[1], text:match("^HTTP/1.1 (%d+)") or "closed",
	    text:match("Gspar%-Error: (%d+)") or "-", j.outcome or "-")
	hang_up(s.conn)
end
check(f:metric("aarhus1", "caller_bad") == bad + 3, "slow callers not counted once each")
f:stop_all()
