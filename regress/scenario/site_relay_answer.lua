-- The relaying host stops while it passes on an answer that has no length: the
-- part that has come is taken for the whole answer.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { sources = true, hosts = 4, plain = 2 }
local function fault_both(q)
	s:server_fault("i-1", q)
	s:server_fault("i-2", q)
end
-- Sends a request that may run once; returns the connection and the relaying
-- host, once a target runs it.
local function begin(id)
	local c = dial(s.hosts.h1.callers)
	send(c, "POST /once/" .. id .. " HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: " .. id .. "\r\nX-Deadline-Ms: 1400\r\n" ..
	    "Content-Length: 4\r\n\r\nbody")
	await("the request at its target", 2000, function()
		return (read_file("i-1.journal") .. read_file("i-2.journal"))
		    :find("run %S+ %d+ " .. id)
	end)
	return c, s:relay_of("h1")
end
s:cut_targets({ "h1" })
await("a relaying host", 3000, function()
	s:request("h1", "/any/x")
	return s:relay_of("h1")
end)
fault_both("halt=200")
local st, body = answer((begin("whole")), 3000)
check(st == 200 and body:match("body\n$"), "not whole: %s %s", st, body)
fault_both("halt=1000")
local c, n = begin("part")
kill(s.hosts[n].pid, 15)
s.hosts[n].dead = true
st, body = answer(c, 3000)
check(st == 502, "not cut short: %s %s", st, body)
check(wait(s.hosts[n].pid) == 0, "%s did not stop well", n)
s:stop_all()
s:journals_ok()
say("no part of an answer was taken for a whole one")
