-- A target answers twice, and the second answer comes where that to the next
-- request, or to the next attempt of the same one, is due: requests that may
-- run once ran, and were sent again or refused as not run.
dofile("regress/scenario/lib_site.lua")
local REQUESTS = 10
local s = standard_site { hosts = 1, plain = 1, keyed = 1 }
local refused = {}

-- Sends requests while the target has a fault, set anew for each; returns how
-- many of them got each status.
local function send_all(name, q)
	local got = {}
	for i = 1, REQUESTS do
		s:server_fault("i-1", "extra=")
		s:request("h1", "/any/" .. name .. i)
		s:server_fault("i-1", q)
		local st, _, _, rid = s:request("h1", "/once/" .. name .. i,
		    nil, "POST", "b")
		if st == 503 or st == 429 or st == 408 or st == 421 then
			refused[rid] = true
		end
		got[st] = (got[st] or 0) + 1
	end
	s:server_fault("i-1", "refuse=0&extra=")
	return got
end

-- Without retries the callers are refused; requests earn retries.
send_all("early", "extra=bare")
s:load(7000)
send_all("bare", "extra=bare")
send_all("moved", "extra=moved")
send_all("copy", "refuse=1&extra=copy")
local failures = send_all("fail", "extra=fail")[500] or 0

-- Each arrival beyond the first is a retry that the host knows of.
local arrivals, again = {}, 0
for _, a in ipairs(s:arrivals("i-1")) do
	again = again + (arrivals[a.rid] or 0)
	arrivals[a.rid] = 1
end
local retries = s:metric("h1", "retries")
check(again <= retries, "%d arrivals again, %d retries", again, retries)
s:stop_all()
s:journals_ok(refused)
check(failures == 0, "%d callers got a failure that named no request", failures)
say("no second answer was taken for a request's own")
