-- A host relays connections to anybody or anywhere, or to a host that is cut off
-- too.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { sources = true, hosts = 2 }
local function ask(n, text)
	return raw(s.hosts[n].tunnel, text):match("^HTTP/1.1 (%d+)") or "none"
end
local function connect(n, addr)
	return ask(n, "CONNECT " .. addr .. " HTTP/1.1\r\nHost: x\r\n\r\n")
end
check(connect("h1", s.store) == "502", "relays to what is no target")
check(connect("h1", s.hosts.h2.admin) == "502", "relays to a host")
check(connect("h1", "a.example:80") == "400", "takes names")
check(ask("h1", "GET / HTTP/1.1\r\n\r\n") == "400", "takes other methods")
check(ask("h1", string.rep("x", 600)) == "400", "takes long heads")
-- Bytes in both directions, up to the end of the answer.
local t = s.servers["i-1"]
local c = dial(s.hosts.h1.tunnel)
send(c, "CONNECT " .. t.addr .. " HTTP/1.1\r\nHost: x\r\n\r\n")
sleep_ms(50)
send(c, "GET /_fault HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
local text = read_all(c) or ""
check(text:match("^HTTP/1.1 200 .*HTTP/1.1 200 .*\r\n\r\n%d+\n$"),
    "not the whole answer: %s", text)
hang_up(c)
-- Two hosts that are cut off do not relay to each other.
s:cut_targets({ "h1", "h2" })
s:request("h1", "/any/x")
s:request("h2", "/any/x")
check(connect("h1", t.addr) ~= "200", "relays though it is cut off")
s:heal_targets()
s:cut_targets({ "h2" })
await("h2 uses h1", 3000, function()
	s:request("h2", "/any/x")
	return s:relay_of("h2") == "h1"
end)
check(connect("h2", t.addr) == "503", "relays through another host")
s:heal_targets()
s:stop_all()
s:journals_ok()
say("hosts relay to targets only, and only those that they reach themselves")
