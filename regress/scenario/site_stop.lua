-- Every host is stopped in turn under load, and started again.  Each reports
-- at once that it is not ready, serves the callers that still come, and ends
-- within its time; no caller sees a failure.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { work = 40 }
for _, n in ipairs(s.order) do
	kill(s.hosts[n].pid, 15)
	await(n .. " not ready", 1000, function()
		return not s:is_ready(n)
	end)
	-- A load balancer acts on the second failed check: callers come until
	-- then.
	local from = now_ms()
	while now_ms() - from < 1500 do
		local st, _, headers = s:request(n, "/once/x", nil, "POST", "b")
		check(st == 200, "%s refused a request at its stop: %d", n, st)
		check(headers:lower():match("connection: close"),
		    "no Connection: close")
	end
	s.hosts[n].dead = true
	local r = s:load(1500)
	check(r.any + r.once + r.key == 0, "failed: %d %d %d (%s)", r.any,
	    r.once, r.key, r.last)
	check(wait(s.hosts[n].pid) == 0, "%s did not stop well", n)
	check(now_ms() - from < 6000, "%s took %.0f ms", n, now_ms() - from)
	s:start_host(n)
	await(n .. " serves again", 6000, function()
		return s:is_ready(n) and s:request_key(n, 500) == 200
	end)
end
s:journals_ok()
say("three hosts stopped in turn, no request failed")
