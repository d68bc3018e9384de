-- A target runs a request, and what comes as its answer says that it did not:
-- the request ran more often than it may, or its caller was told that it never
-- would.
dofile("regress/scenario/lib_site.lua")
local REQUESTS = 10
local MAX_ATTEMPTS = 2
local s = standard_site { hosts = 1, plain = 1, keyed = 1 }
local forms = {}

-- Sends a request that may run once; returns its status and id.
local function send_once(p)
	local st, _, _, rid = s:request("h1", p, nil, "POST", "b")
	return tonumber(st), rid
end

-- The same, and the target's entry is written anew after its first arrival.
local function send_renewed(p)
	local c, seen = dial(s.hosts.h1.callers), #s:arrivals("i-1")
	s.request_count = s.request_count + 1
	send(c, string.format("POST %s HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: q%d\r\nX-Deadline-Ms: 1400\r\n" ..
	    "Content-Length: 1\r\nConnection: close\r\n\r\nb", p,
	    s.request_count))
	await("an arrival", 1000, function()
		return #s:arrivals("i-1") > seen
	end)
	s:renew_entry("i-1")
	local st = (read_all(c) or ""):match("^HTTP/1.1 (%d+)")
	hang_up(c)
	return tonumber(st), "q" .. s.request_count
end

-- Sends requests while the target has a fault, set anew for each; with `used`
-- on a connection that has brought an answer.
local function send_all(name, faults, used, send_one)
	local f = { name = name, refused = {}, most = {} }
	local function note(st, rid, most)
		f.most[rid] = most
		f.refused[rid] = st == 503 or st == 429 or st == 408 or
		    st == 421
	end
	for i = 1, REQUESTS do
		await("a request served", 5000, function()
			return not used or s:request("h1", "/any/" .. name ..
			    i) == 200
		end)
		s:server_fault("i-1", faults)
		local st, rid = (send_one or send_once)("/once/" .. name .. i)
		note(st, rid, 1)
		st, _, _, rid = s:request("h1", "/any/" .. name .. i)
		note(st, rid, MAX_ATTEMPTS)
		s:server_fault("i-1",
		    "refuse=0&extra=&from=2&deny=&retry_after=0")
	end
	table.insert(forms, f)
end

s:load(7000)
send_all("first", "from=1&extra=bare", false)
send_all("renewed", "refuse=1&retry_after=400&extra=copy", true,
    send_renewed)
send_all("signed", "deny=signed", true)
send_all("done", "deny=done", true)
send_all("moved", "deny=moved", true)
s:stop_all()
local n, wrong = s:journal_counts("i-1", "^run %S+ %S+ (%S+)"), ""
for _, f in ipairs(forms) do
	local often, told = 0, 0
	for rid, most in pairs(f.most) do
		often = often + (n[rid] and n[rid] > most and 1 or 0)
		told = told + (n[rid] and f.refused[rid] and 1 or 0)
	end
	if often + told > 0 then
		wrong = wrong .. string.format(" %s: %d ran too often, %d " ..
		    "though refused;", f.name, often, told)
	end
end
check(wrong == "", "of %d each%s", 2 * REQUESTS, wrong)
local log = read_file("h1.log")
for rid, a in pairs(s:journal_counts("i-1", "^came %d+ (%S+)")) do
	check(a == 1 or log:find("request=" .. rid .. " ", 1, true),
	    "%s arrived %d times, no line names it", rid, a)
end
say("no run was taken for a refusal")
