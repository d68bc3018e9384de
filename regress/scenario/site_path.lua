-- The whole path on the platform of objects: a caller asks any host, a target
-- answers, the answer comes back whole with its signature.  Keys are served by
-- one target each, the same through every host.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()

for _, n in ipairs(s.order) do
	local st, body, head, id = s:ask(n, "/any/x%2fy?q=1&r=%20")
	check(st == 200, "%s answered %d", n, st)
	check(body:match("^i%-%d+ /any/x%%?2?f?/?y " .. id), "body: %s", body)
	check(head:match("X%-Response%-Signature: i%-%d"), "no signature")
	st, body = s:ask(n, "/once/1", { "Content-Type: text/plain" }, "POST",
	    "some text")
	check(st == 200 and body:match("some text"), "%d %s", st, body)
	check(s:ask(n, "/none/") == 404, "no route is no 404")
	check(s:ask(n, "/k/5", { "X-Shard-Key: x" }) == 400, "bad key")
	check(s:ask(n, "/k/5", { "X-Shard-Key: 70000" }) ~= 200, "far key")
end
say("answers whole, through every host")
for key = 17, 65535, 4001 do
	local first
	for _, n in ipairs(s.order) do
		local st, body = s:ask_key(n, key)
		check(st == 200, "key %d through %s: %d", key, n, st)
		local who = body:match("^(%S+)")
		first = first or who
		check(who == first, "two owners: %s and %s", who, first)
	end
end
say("one owner for each key")
check(s:metric("h1", "caller_requests") > 0, "no counters")
local _, text = http("GET", "http://" .. s.hosts.h1.admin .. "/metrics")
check(text:match('gspar_request_seconds_bucket{le="0.1"} %d'), "no histogram")
s:stop_all()
s:journals_ok()
say("stopped in order")
