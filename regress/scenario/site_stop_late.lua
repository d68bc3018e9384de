-- Requests that come late in a planned stop are passed on, and cut without an
-- answer when the host ends.
dofile("regress/scenario/lib_site.lua")
local INTERVAL_MS = 20
-- A target may still be at work on what was sent in the first 3 s in the last
-- sixth of the time that a stop may take.
local LATE_MS = 3000

-- Sends a POST with an id; the last `held` bytes of its body come later.
local function send_post(s, r, held)
	local bytes = string.format("POST /once/1 HTTP/1.1\r\nHost: a.example" ..
	    "\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: " ..
	    "8\r\n\r\nbody-was", r.id)
	r.at = now_ms()
	r.rest = bytes:sub(#bytes - held + 1)
	r.sent = send(r.conn, bytes:sub(1, #bytes - held))
end

-- Stops h1 while requests that may run once come on new connections and on
-- open ones.  Returns all requests, and when the stop began.
local function stop_under_load(s)
	local h, all, open = s.hosts.h1, {}, {}
	local function add(conn, held)
		s.request_count = s.request_count + 1
		local r = { id = s.opt.grace .. s.request_count, conn = conn }
		if conn then
			table.insert(all, r)
			send_post(s, r, held)
		end
		return r
	end
	for _ = 1, 150 do
		table.insert(open, dial(h.callers))
	end
	local slow = {}
	for _ = 1, 5 do
		table.insert(slow, add(dial(h.callers), 4))
	end
	local term = now_ms()
	kill(h.pid, 15)
	while not wait(h.pid, true) do
		add(dial(h.callers), 0)
		add(table.remove(open), 0)
		if #slow > 0 and now_ms() > term + 500 * (6 - #slow) then
			local r = table.remove(slow)
			send(r.conn, r.rest)
		end
		sleep_ms(INTERVAL_MS)
		check(now_ms() < term + 7000, "h1 still runs")
	end
	h.dead = true
	for _, c in ipairs(open) do
		hang_up(c)
	end
	for _, r in ipairs(all) do
		r.answer = read_all(r.conn) or ""
		hang_up(r.conn)
	end
	return all, term
end

-- Checks that each request that ran was answered: with its target's answer, if
-- that came in time.
local function check_answers(s, all, term, work, grace)
	local runs = {}
	for _, id in ipairs(s.sorder) do
		for l in read_file(id .. ".journal"):gmatch("[^\n]+") do
			local at, rid = l:match("^run %S+ (%d+) (%S+)")
			if at then
				runs[rid] = tonumber(at) / 1000
			end
		end
	end
	local ran = 0
	for _, r in ipairs(all) do
		local st = tonumber(r.answer:match("^HTTP/1.1 (%d+)"))
		local at = runs[r.id]
		ran = ran + (at and 1 or 0)
		check(not at or st, "work %d: %s, sent %.0f ms after the stop, " ..
		    "ran without an answer", work, r.id, r.at - term)
		check(not at or (st ~= 503 and st ~= 429), "work %d: %s ran, %s",
		    work, r.id, st)
		local excused = r.at - term < LATE_MS and at and
		    at + work > term + grace * 5 / 6
		check(not at or excused or
		    (st == 200 and r.answer:find(" " .. r.id .. " body-was", 1,
		    true)), "work %d: %s, sent %.0f ms after the stop, ran " ..
		    "and got %s", work, r.id, r.at - term, st)
	end
	check(ran > 10, "work %d: only %d of %d ran", work, ran, #all)
end

for i, grace in ipairs({ 6000, 3000 }) do
	local s = standard_site { hosts = 2, plain = 4, slots = 60,
	    grace = grace .. "ms", next = 50 * (i - 1) + 2 }
	s:configure({ route("r1", "/any/", "safe", "plain"),
	    route("r2", "/once/", "unsafe", "plain", { timeout = "6s" }),
	    route("r3", "/k/", "safe", "keyed") })
	s:kill_host("h1")
	for _, work in ipairs({ 5, 300, 1500, 2500, 4000 }) do
		s:start_host("h1")
		s:await_ready()
		for id, t in pairs(s.servers) do
			if not t.opt.keyed then
				s:server_fault(id, "work=" .. work)
			end
		end
		local all, term = stop_under_load(s)
		check_answers(s, all, term, work, grace)
	end
	s.hosts.h1.dead = true
	s:stop_all()
	s:journals_ok()
	say("stops in %d s", grace / 1000)
end
