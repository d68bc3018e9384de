-- A target ends its answer within its head, and a relaying host passes it on: the
-- caller gets an empty body as a whole answer.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { sources = true, hosts = 3, plain = 2 }
s:cut_targets({ "h1" })
await("a relaying host", 3000, function()
	s:request("h1", "/any/x")
	return s:relay_of("h1")
end)
for _, id in ipairs({ "i-1", "i-2" }) do
	s:server_fault(id, "cut_head=4")
end
for i = 1, 3 do
	local st = s:request("h1", "/once/" .. i, nil, "POST", "body")
	check(st == 502, "answer ended within its head: %d", st)
end
check(s:relay_of("h1"), "not through another host")
for _, id in ipairs({ "i-1", "i-2" }) do
	s:server_fault(id, "cut_head=0")
end
local st, body = s:request("h1", "/once/9", nil, "POST", "body")
check(st == 200 and body:match("body\n$"), "a whole answer: %d %s", st, body)
s:heal_targets()
s:stop_all()
s:journals_ok()
say("no answer that ended within its head was taken for a whole one")
