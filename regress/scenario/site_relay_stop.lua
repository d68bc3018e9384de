-- A relaying host stops and resets requests of other hosts at which targets are
-- at work.
dofile("regress/scenario/lib_site.lua")
local LONG_MS = 3800 -- longer than a stop without callers takes
local s = standard_site { sources = true, hosts = 4, plain = 2 }
s:configure({ route("r2", "/once/", "unsafe", "plain", { timeout = "6s" }),
    route("r1", "/any/", "safe", "plain"), route("r3", "/k/", "safe", "keyed") })
s:cut_targets({ "h1" })
local n = await("a relaying host", 3000, function()
	s:request("h1", "/any/x")
	return s:relay_of("h1")
end)
for _, id in ipairs({ "i-1", "i-2" }) do
	s:server_fault(id, "work=" .. LONG_MS)
end
local c = dial(s.hosts.h1.callers)
send(c, "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: long\r\n" ..
    "X-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody")
await("the request at its target", 2000, function()
	return (read_file("i-1.journal") .. read_file("i-2.journal"))
	    :find("run %S+ %d+ long")
end)
check(s:relay_of("h1") == n, "sent through another host")
kill(s.hosts[n].pid, 15)
s.hosts[n].dead = true
local st, body = answer(c, 6000)
check(st == 200 and body:match("body\n$"), "not answered: %s %s", st, body)
check(wait(s.hosts[n].pid) == 0, "%s did not stop well", n)
s:heal_targets()
s:stop_all()
s:journals_ok()
say("a request was answered through a host that stopped")
