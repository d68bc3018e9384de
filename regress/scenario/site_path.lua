-- The whole request path on the platform of objects: a caller sends to any
-- host, a target answers, and the answer comes back complete with its
-- signature.  Each key is served by one target, the same through every host.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()

for _, n in ipairs(s.order) do
	local st, body, headers, id = s:request(n, "/any/x%2fy?q=1&r=%20")
	check(st == 200, "%s answered %d", n, st)
	check(body:match("^i%-%d+ /any/x%%?2?f?/?y " .. id), "body: %s", body)
	check(headers:match("X%-Response%-Signature: i%-%d"),
	    "answer without a signature")
	st, body = s:request(n, "/once/1", { "Content-Type: text/plain" }, "POST",
	    "some text")
	check(st == 200 and body:match("some text"), "%d %s", st, body)
	check(s:request(n, "/none/") == 404, "no 404 for a path without a route")
	check(s:request(n, "/k/5", { "X-Shard-Key: x" }) == 400,
	    "a key that is not a number was not refused")
	check(s:request(n, "/k/5", { "X-Shard-Key: 70000" }) ~= 200,
	    "a key out of range was served")
end
say("complete answers through every host")
for key = 17, 65535, 4001 do
	local first
	for _, n in ipairs(s.order) do
		local st, body = s:request_key(n, key)
		check(st == 200, "key %d through %s: %d", key, n, st)
		local owner = body:match("^(%S+)")
		first = first or owner
		check(owner == first, "two owners: %s and %s", owner, first)
	end
end
say("one owner for each key")
check(s:metric("h1", "caller_requests") > 0, "no counters")
local _, text = http("GET", "http://" .. s.hosts.h1.admin .. "/metrics")
check(text:match('gspar_request_seconds_bucket{le="0.1"} %d'), "no histogram")
s:stop_all()
s:journals_ok()
say("stopped cleanly")
