-- Clients that ask for large answers and do not read them: whole answers wait
-- in the host's memory.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE = 12, 24 * MB
local s = standard_site { hosts = 1 }
s:configure({ route("r1", "/any/", "safe", "plain", { timeout = "10s" }),
    route("r3", "/k/", "safe", "keyed") }, nil,
    '"max_header_bytes":16384,"max_body_bytes":65536,' ..
    '"header_timeout":"3000ms","idle_timeout":"15000ms"')
local function set_size(n)
	for _, id in ipairs(s.sorder) do
		if not s.servers[id].opt.keyed then
			s:server_fault(id, "size=" .. n)
		end
	end
end
set_size(SIZE)
local crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c, i)
	send(c, "GET /any/" .. i .. " HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: reader-" .. i .. "\r\nX-Deadline-Ms: 10000\r\n\r\n")
	await("an answer, or its end", 20000, function()
		return has_bytes(c)
	end)
end)
set_size(0)
s:check_crowd(crowd, "beside the crowd")
s:stop_all()
s:journals_ok()
say("memory bounded, an ordinary request served")
