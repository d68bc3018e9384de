-- A target dies while it runs a lookup.  The host may send that once more, finds
-- that the key has no owner now, and used to answer 503 with Retry-After, as if
-- nothing had run.  Its caller must not be told so: 502 promises nothing.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 2, hosts = 2 }
for _, id in ipairs { "i-4", "i-5" } do
	s:server_fault(id, "work=400")
end
for n, id in ipairs { "i-4", "i-5" } do
	-- A key that it owns, by where a first request runs.
	local key
	for k = 1000, 65000, 9000 do
		local _, body = s:ask_key("h1", k)
		if body:find(id .. " ", 1, true) == 1 then
			key = k
			break
		end
	end
	check(key, "%s owns no key", id)
	if n == 1 then
		local c = dial(s.hosts.h1.callers)
		send(c, "GET /k/" .. key .. " HTTP/1.1\r\nHost: a.example\r\n" ..
		    "X-Request-Id: untrue\r\nX-Deadline-Ms: 1400\r\n" ..
		    "X-Shard-Key: " .. key .. "\r\n\r\n")
		await("it runs", 2000, function()
			return read_file(id .. ".journal"):match(" untrue ")
		end)
		s:kill_server(id)
		local st = answer(c, 3000)
		check(st == 502 or st == 504, "told %s, and it had run", st)
		hang_up(c)
	end
end
s:await_keys(8000)
s:stop_all()
s:journals_ok()
say("not told that it had not run")
