-- Invalid caller requests: each gets a 4xx with a numbered code, none reaches a
-- target, and other callers are served as before.
local f = standard_fleet { dcs = { { "aarhus", 1, 1 } }, entry = { body = 100 } }
local h = f.hosts.aarhus1.callers

local function request(what, method, path, body, headers)
	local st, text, reply_headers = http(method, "http://" .. h .. path,
	    body, headers)
	local j = json(text) or {}
	say("%s: %d code %s %s", what, st,
	    reply_headers:match("Gspar%-Error: (%d+)") or "-", j.outcome or "-")
end
request("unknown service", "GET", "/v1/nothing/key")
request("no such path", "GET", "/v2/lookup/key")
request("empty key", "GET", "/v1/lookup/")
request("no key", "GET", "/v1/lookup")
request("over-long key", "GET", "/v1/lookup/" .. ("k"):rep(600))
request("malformed key", "GET", "/v1/lookup/a%zz")
request("key with NUL", "GET", "/v1/lookup/a%00b")
request("method", "DELETE", "/v1/lookup/key")
request("body over the limit", "POST", "/v1/lookup/key", ("b"):rep(101))
request("body at the limit", "POST", "/v1/lookup/key", ("b"):rep(100))
request("non-numeric deadline", "GET", "/v1/lookup/key", nil, { "Gspar-Deadline-Ms: soon" })
request("zero deadline", "GET", "/v1/lookup/key", nil, { "Gspar-Deadline-Ms: 0" })

local function raw_request(what, bytes)
	local bad = f:metric("aarhus1", "caller_bad")
	local text = raw(h, bytes)
	check(f:metric("aarhus1", "caller_bad") == bad + 1, "%s: not counted",
	    what)
	say("%s: %s", what, text:match("^HTTP/1.1 (%d+)") or "closed")
end
raw_request("header too large", "GET /v1/lookup/key HTTP/1.1\r\nHost: x\r\nX: " ..
    ("x"):rep(100000) .. "\r\n\r\n")
raw_request("malformed chunk", "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n" ..
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\nzz\r\nbody\r\n0\r\n\r\n")
raw_request("chunked body over the limit", "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n" ..
    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n80\r\n" ..
    ("b"):rep(128) .. "\r\n0\r\n\r\n")
raw_request("two lengths", "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\n" ..
    "Content-Length: 0\r\nContent-Length: 37\r\n\r\n" ..
    "GET /v1/lookup/key HTTP/1.1\r\nHost: x\r\n\r\n")
raw_request("carriage return in a value", "GET /v1/lookup/key HTTP/1.1\r\n" ..
    "Host: x\r\nIdempotency-Key: a\rGspar-Fence: 1\r\n\r\n")
raw(h, "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", true)
-- The longest key and rest of a path, each byte of the key percent-encoded as three.
local _, long = http("GET", "http://" .. h .. "/v1/lookup/" ..
    ("%C3"):rep(512) .. "/" .. ("r"):rep(1000) .. "?size=7")
check(long:sub(-8) == "\n.......", "the end of a long request is missing")
say("longest key and rest of the path: forwarded whole")
local _, load = http("GET", "http://" .. f.targets.t1.addr .. "/load")
local before = json(load).ran
request("a valid request afterwards", "GET", "/v1/lookup/key")
_, load = http("GET", "http://" .. f.targets.t1.addr .. "/load")
check(json(load).ran == before + 1, "an invalid request reached the target")
check(f:metric("aarhus1", "caller_bad") > 10, "invalid requests not counted")
f:stop_all()
