-- The promises, checked by what callers noted and targets' journals hold.

-- After trouble a machine needs so long until bounds hold for it again.
local STABLE_MS = 3000

-- Which targets ran each request: by id, a list of { server, time, method }.
local function runs(s)
	local all = {}
	for _, id in ipairs(s.sorder) do
		for at, rid, method in read_file(id .. ".journal"):gmatch(
		    "run %S+ (%d+) (%S+) (%S+)") do
			all[rid] = all[rid] or {}
			table.insert(all[rid], { server = id,
			    at = tonumber(at) / 1000, method = method })
		end
	end
	return all
end

-- What each caller noted.
local function notes(n)
	local all = {}
	for i = 1, n do
		for rid, kind, key, host, from, till, conn, what in read_file(
		    "caller" .. i .. ".txt"):gmatch("(%S+) (%S+) (%d+) (%S+) " ..
		    "([%d.]+) ([%d.]+) (%S+) (%S+)\n") do
			table.insert(all, { rid = rid, kind = kind, host = host,
			    key = tonumber(key), from = tonumber(from),
			    till = tonumber(till), conn = conn, what = what })
		end
	end
	return all
end

local PROMISE = { ["429"] = true, ["503"] = true, ["408"] = true,
    ["421"] = true }

-- A planned stop cuts nothing: a request that a target ran has its answer.
local function cut_by_stop(s, faults, q)
	for _, f in ipairs(faults.done) do
		if f.planned and f.host and s.hosts[f.host].callers == q.host and
		    q.till >= f.from and q.from <= f.till and
		    not faults:troubled(q.from - STABLE_MS, q.till, f) then
			return true
		end
	end
	return false
end

function check_callers(s, faults, n, healed)
	local ran, served, calm = runs(s), 0, 0
	local all = notes(n)
	for _, q in ipairs(all) do
		local at = ran[q.rid] or {}
		check(q.what ~= "wrong", "%s got an answer that is not its own",
		    q.rid)
		check(not PROMISE[q.what] or #at == 0,
		    "%s was told %s, and ran on %s", q.rid, q.what,
		    at[1] and at[1].server)
		check(q.kind ~= "once" or #at <= 1, "%s ran %d times", q.rid, #at)
		check(#at <= 2, "%s ran on %d targets", q.rid, #at)
		if (q.what == "closed" or q.what == "cut") and #at > 0 then
			check(not cut_by_stop(s, faults, q),
			    "%s was cut by a planned stop", q.rid)
		end
		check(q.what ~= "late" or
		    faults:troubled(q.from - STABLE_MS, q.till),
		    "%s was held beyond its deadline in calm", q.rid)
		if q.from > healed + 8000 then
			calm = calm + 1
			served = served + (q.what == "200" and 1 or 0)
		end
	end
	check(#all > 200, "only %d requests were asked", #all)
	check(calm > 20 and served >= calm * 0.98,
	    "%d of %d served after all was healed", served, calm)
end

-- A target that leaves gets no new work two seconds later, but for what came
-- by hosts that could not know.
function check_leaving(s, faults)
	local LEAVE_MS = 2000
	local ran = runs(s)
	for rid, list in pairs(ran) do
		for _, r in ipairs(list) do
			local t = s.servers[r.server]
			check(not t.leaves or r.at < t.leaves + LEAVE_MS or
			    faults:troubled(t.leaves - STABLE_MS, r.at, nil,
			    true),
			    "%s ran on %s, %.0f ms after it began to leave",
			    rid, r.server, r.at - (t.leaves or 0))
		end
	end
end

-- The targets of an evacuated data centre get nothing from the bound on, but for
-- what came by hosts that could not know.
function check_evacuations(s, faults)
	local EVACUATE_MS = 5000
	local ran = runs(s)
	for _, f in ipairs(faults.done) do
		for rid, list in pairs(f.dc and ran or {}) do
			for _, r in ipairs(list) do
				check(s.servers[r.server].dc ~= f.dc or
				    r.at < f.acked + EVACUATE_MS or
				    r.at > f.taken_back or faults:troubled(
				    f.acked - STABLE_MS, r.at, nil, true),
				    "%s ran on %s, %.0f ms after %s was evacuated",
				    rid, r.server, r.at - f.acked, f.dc)
			end
		end
	end
end

-- All hosts together send a request on only within the budget: in any window a
-- share of the requests and some beyond it, whatever the targets answer.
local WINDOW_MS, SHARE, SLACK = 10000, 0.2, 70

-- How many moments of a list lie in the window that ends at one of them.
local function within(list, till)
	local n = 0
	for _, at in ipairs(list) do
		if at > till - WINDOW_MS and at <= till then
			n = n + 1
		end
	end
	return n
end

function check_repeats(s, callers)
	local asked, again = { plain = {}, keyed = {} }, { plain = {}, keyed = {} }
	for _, q in ipairs(notes(callers)) do
		table.insert(asked[q.kind == "k" and "keyed" or "plain"], q.from)
	end
	local came = {}
	for _, id in ipairs(s.sorder) do
		for at, rid in read_file(id .. ".journal"):gmatch(
		    "came (%d+) (q%S+)\n") do
			table.insert(came, { at = tonumber(at) / 1000, rid = rid,
			    service = s.servers[id].service })
		end
	end
	table.sort(came, function(x, y)
		return x.at < y.at
	end)
	local first = {}
	for _, c in ipairs(came) do
		if first[c.rid] then
			table.insert(again[c.service], c.at)
		end
		first[c.rid] = true
	end
	for service, list in pairs(again) do
		for i = 1, #list, 10 do
			local at, a = list[i], asked[service]
			local most = SLACK + SHARE * math.max(within(a, at),
			    within(a, at - WINDOW_MS), within(a, at -
			    WINDOW_MS / 2))
			check(within(list, at) <= most,
			    "%s: %d sent on in %d ms, %.0f are allowed",
			    service, within(list, at), WINDOW_MS, most)
		end
	end
end

-- What no good entry names runs nothing.
function check_stranger(s)
	check(not read_file(s.stranger.id .. ".journal"):match("run "),
	    "%s ran a request, and no good entry names it", s.stranger.id)
end

-- Versions of the configuration: each names a route that only it and the next
-- have.  In force in two seconds in calm, and never back.
Versions = {}
Versions.__index = Versions

function Versions.new(s, faults)
	return setmetatable({ site = s, faults = faults, count = 0, seen = {},
	    next = now_ms() + 1000, routes = table.concat(s.routes, ",") },
	    Versions)
end

function Versions:write()
	self.count = self.count + 1
	self.written = now_ms()
	self.site:configure({ self.routes, route("v" .. self.count,
	    "/v" .. self.count .. "/", "safe", "plain") })
end

-- Looks on every host whether the newest version is in force.
function Versions:look()
	local APPLY_MS = 2000
	local now = now_ms()
	for _, n in ipairs(self.site.order) do
		local h = self.site.hosts[n]
		if not h.dead and not h.broken then
			local boot = h.pid
			local st = self.site:ask(n, "/v" .. self.count .. "/1")
			local has = st ~= 404 and st ~= 0 and st ~= 503
			local was = self.seen[n]
			if st == 404 then
				check(not (was and was.boot == boot and
				    was.version == self.count),
				    "%s went back from version %d", n,
				    self.count)
				check(now - self.written < APPLY_MS + 300 or
				    self.faults:troubled(self.written -
				    STABLE_MS, now_ms(), nil, true),
				    "version %d not in force on %s %.0f ms later",
				    self.count, n, now - self.written)
			elseif has then
				self.seen[n] = { boot = boot,
				    version = self.count }
			end
		end
	end
end

function Versions:tick()
	local now = now_ms()
	if now >= self.next and not self.faults:store_broken() then
		self:write()
		self.next = now + math.random(2800, 5000)
		self.looks = now + 300
	elseif self.looks and now >= self.looks then
		self:look()
		self.looks = now + 900
	end
end
