-- A target dies while it runs a request that may be retried.  The host finds on
-- the retry that the key has no owner now, and used to answer 503 with
-- Retry-After, as if the request had not run.  The caller must get an answer
-- that leaves the outcome open, such as 502.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 2, hosts = 2 }
for _, id in ipairs { "i-4", "i-5" } do
	s:server_fault(id, "work=400")
end
for n, id in ipairs { "i-4", "i-5" } do
	-- Find a key that the target owns.
	local key
	for k = 1000, 65000, 9000 do
		local _, body = s:request_key("h1", k)
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
		check(st == 502 or st == 504,
		    "answered %s although the request had run", st)
		hang_up(c)
	end
end
s:await_keys(8000)
s:stop_all()
s:journals_ok()
say("the caller is not told that its request has not run")
