-- Bad input at the caller's door: each gets a clear 4xx with a numbered code,
-- nothing reaches a target, and other callers are served as before.
local f = standard_fleet { dcs = { { "aarhus", 1, 1 } }, entry = { body = 100 } }
local h = f.hosts.aarhus1.callers

local function ask(what, method, path, body, heads)
	local st, text, hd = http(method, "http://" .. h .. path, body, heads)
	local j = json(text) or {}
	say("%s: %d code %s %s", what, st, hd:match("Gspar%-Error: (%d+)") or "-",
	    j.outcome or "-")
end
ask("unknown service", "GET", "/v1/nothing/key")
ask("no such path", "GET", "/v2/lookup/key")
ask("empty key", "GET", "/v1/lookup/")
ask("no key", "GET", "/v1/lookup")
ask("over-long key", "GET", "/v1/lookup/" .. ("k"):rep(600))
ask("badly written key", "GET", "/v1/lookup/a%zz")
ask("key with NUL", "GET", "/v1/lookup/a%00b")
ask("method", "DELETE", "/v1/lookup/key")
ask("body over the limit", "POST", "/v1/lookup/key", ("b"):rep(101))
ask("body at the limit", "POST", "/v1/lookup/key", ("b"):rep(100))
ask("deadline of words", "GET", "/v1/lookup/key", nil, { "Gspar-Deadline-Ms: soon" })
ask("deadline of nought", "GET", "/v1/lookup/key", nil, { "Gspar-Deadline-Ms: 0" })

local function first(what, bytes)
	local bad = f:metric("aarhus1", "caller_bad")
	local text = raw(h, bytes)
	check(f:metric("aarhus1", "caller_bad") == bad + 1, "%s: not counted",
	    what)
	say("%s: %s", what, text:match("^HTTP/1.1 (%d+)") or "closed")
end
first("head too large", "GET /v1/lookup/key HTTP/1.1\r\nHost: x\r\nX: " ..
    ("x"):rep(100000) .. "\r\n\r\n")
first("broken chunking", "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n" ..
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nzz\r\nbody\r\n0\r\n\r\n")
first("chunks over the limit", "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n" ..
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n80\r\n" ..
    ("b"):rep(128) .. "\r\n0\r\n\r\n")
raw(h, "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", true)
-- The longest key and rest, each byte of the key written as three.
local _, long = http("GET", "http://" .. h .. "/v1/lookup/" ..
    ("%C3"):rep(512) .. "/" .. ("r"):rep(1000) .. "?size=7")
check(long:sub(-8) == "\n.......", "the end of a long request was lost")
say("longest key and rest: passed on whole")
local _, load = http("GET", "http://" .. f.targets.t1.addr .. "/load")
local before = json(load).ran
ask("a good request after all that", "GET", "/v1/lookup/key")
_, load = http("GET", "http://" .. f.targets.t1.addr .. "/load")
check(json(load).ran == before + 1, "something else reached the target")
check(f:metric("aarhus1", "caller_bad") > 10, "not counted")
f:stop_all()
