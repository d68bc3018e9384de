-- Checks after a soak: what callers recorded and what the journals of targets
-- hold must agree with the guarantees of the router.

-- After a fault has ended it takes so long until the time bounds hold again.
local STABLE_MS = 3000

-- The runs of each request: by its id, a list of { server, at, method }.
local function runs_by_request(s)
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

-- The records of all n callers.
local function read_caller_records(n)
	local all = {}
	for i = 1, n do
		for rid, kind, key, host, from, till, conn, outcome in read_file(
		    "caller" .. i .. ".txt"):gmatch("(%S+) (%S+) (%d+) (%S+) " ..
		    "([%d.]+) ([%d.]+) (%S+) (%S+)\n") do
			table.insert(all, { rid = rid, kind = kind, host = host,
			    key = tonumber(key), from = tonumber(from),
			    till = tonumber(till), conn = conn,
			    outcome = outcome })
		end
	end
	return all
end

-- Statuses that tell a caller that its request did not run.
local NOT_RUN = { ["429"] = true, ["503"] = true, ["408"] = true,
    ["421"] = true }

-- True if a request failed on a host during its planned stop, with no other
-- fault near it.  A stopping host must still deliver the answer of every
-- request that a target ran.
local function cut_by_stop(s, faults, q)
	for _, f in ipairs(faults.done) do
		if f.planned and f.host and s.hosts[f.host].callers == q.host and
		    q.till >= f.from and q.from <= f.till and
		    not faults:disturbed(q.from - STABLE_MS, q.till, f) then
			return true
		end
	end
	return false
end

function check_callers(s, faults, n, healed)
	local ran, served, calm = runs_by_request(s), 0, 0
	local all = read_caller_records(n)
	for _, q in ipairs(all) do
		local at = ran[q.rid] or {}
		check(q.outcome ~= "wrong", "%s got an answer that is not its "
		    .. "own or not signed", q.rid)
		check(not NOT_RUN[q.outcome] or #at == 0,
		    "%s was answered %s, and ran on %s", q.rid, q.outcome,
		    at[1] and at[1].server)
		check(q.kind ~= "once" or #at <= 1, "%s ran %d times", q.rid, #at)
		check(#at <= 2, "%s ran on %d targets", q.rid, #at)
		if (q.outcome == "closed" or q.outcome == "cut") and #at > 0 then
			check(not cut_by_stop(s, faults, q),
			    "%s was cut by a planned stop", q.rid)
		end
		check(q.outcome ~= "late" or
		    faults:disturbed(q.from - STABLE_MS, q.till),
		    "%s was not answered in time, without a fault", q.rid)
		if q.from > healed + 8000 then
			calm = calm + 1
			served = served + (q.outcome == "200" and 1 or 0)
		end
	end
	check(#all > 200, "callers sent only %d requests", #all)
	check(calm > 20 and served >= calm * 0.98,
	    "%d of %d served after the last fault had ended", served, calm)
end

-- A leaving target runs no new request after two seconds, except through hosts
-- that could not learn of it because of a fault.
function check_leaving(s, faults)
	local LEAVE_BOUND_MS = 2000
	local ran = runs_by_request(s)
	for rid, list in pairs(ran) do
		for _, r in ipairs(list) do
			local t = s.servers[r.server]
			check(not t.leaves or r.at < t.leaves + LEAVE_BOUND_MS or
			    faults:disturbed(t.leaves - STABLE_MS, r.at, nil,
			    true),
			    "%s ran on %s, %.0f ms after it began to leave",
			    rid, r.server, r.at - (t.leaves or 0))
		end
	end
end

-- The targets of an evacuated data centre run no new request after the bound,
-- except through hosts that could not learn of it because of a fault.
function check_evacuations(s, faults)
	local EVACUATE_BOUND_MS = 5000
	local ran = runs_by_request(s)
	for _, f in ipairs(faults.done) do
		for rid, list in pairs(f.dc and ran or {}) do
			for _, r in ipairs(list) do
				check(s.servers[r.server].dc ~= f.dc or
				    r.at < f.acked + EVACUATE_BOUND_MS or
				    r.at > f.taken_back or faults:disturbed(
				    f.acked - STABLE_MS, r.at, nil, true),
				    "%s ran on %s, %.0f ms after %s was evacuated",
				    rid, r.server, r.at - f.acked, f.dc)
			end
		end
	end
end

-- All hosts together retry only within the budget: in any window a share of the
-- requests and some more, whatever the targets answer.
local WINDOW_MS, RETRY_SHARE, RETRY_SLACK = 10000, 0.2, 70

-- How many times of a list lie in the window that ends at till.
local function count_in_window(list, till)
	local n = 0
	for _, at in ipairs(list) do
		if at > till - WINDOW_MS and at <= till then
			n = n + 1
		end
	end
	return n
end

function check_retries(s, callers)
	local requests = { plain = {}, keyed = {} }
	local retries = { plain = {}, keyed = {} }
	for _, q in ipairs(read_caller_records(callers)) do
		table.insert(requests[q.kind == "k" and "keyed" or "plain"], q.from)
	end
	local arrivals = {}
	for _, id in ipairs(s.sorder) do
		for at, rid in read_file(id .. ".journal"):gmatch(
		    "came (%d+) (q%S+)\n") do
			table.insert(arrivals, { at = tonumber(at) / 1000, rid = rid,
			    service = s.servers[id].service })
		end
	end
	table.sort(arrivals, function(x, y)
		return x.at < y.at
	end)
	local seen = {}
	for _, a in ipairs(arrivals) do
		if seen[a.rid] then
			table.insert(retries[a.service], a.at)
		end
		seen[a.rid] = true
	end
	for service, list in pairs(retries) do
		for i = 1, #list, 10 do
			local at, sent = list[i], requests[service]
			local allowed = RETRY_SLACK + RETRY_SHARE * math.max(
			    count_in_window(sent, at),
			    count_in_window(sent, at - WINDOW_MS),
			    count_in_window(sent, at - WINDOW_MS / 2))
			local retried = count_in_window(list, at)
			check(retried <= allowed,
			    "%s: %d retries in %d ms, %.0f are allowed",
			    service, retried, WINDOW_MS, allowed)
		end
	end
end

-- A target without a valid entry runs no request.
function check_unregistered(s)
	check(not read_file(s.unregistered.id .. ".journal"):match("run "),
	    "%s ran a request without a valid entry", s.unregistered.id)
end

-- Writes versions of the configuration, each with a route that the earlier ones
-- lack.  Without a fault every host must apply a version within two seconds,
-- and it must never go back to an earlier one.
Versions = {}
Versions.__index = Versions

function Versions.new(s, faults)
	return setmetatable({ site = s, faults = faults, count = 0, applied = {},
	    next = now_ms() + 1000, routes = table.concat(s.routes, ",") },
	    Versions)
end

function Versions:write()
	self.count = self.count + 1
	self.written = now_ms()
	self.site:configure({ self.routes, route("v" .. self.count,
	    "/v" .. self.count .. "/", "safe", "plain") })
end

-- Checks on every host whether the newest version is in force.
function Versions:check_hosts()
	local APPLY_BOUND_MS = 2000
	local now = now_ms()
	for _, n in ipairs(self.site.order) do
		local h = self.site.hosts[n]
		if not h.dead and not h.broken then
			local pid = h.pid
			local st = self.site:request(n, "/v" .. self.count .. "/1")
			local applies = st ~= 404 and st ~= 0 and st ~= 503
			local was = self.applied[n]
			if st == 404 then
				check(not (was and was.pid == pid and
				    was.version == self.count),
				    "%s went back from version %d", n,
				    self.count)
				check(now - self.written < APPLY_BOUND_MS + 300 or
				    self.faults:disturbed(self.written -
				    STABLE_MS, now_ms(), nil, true),
				    "version %d not in force on %s %.0f ms later",
				    self.count, n, now - self.written)
			elseif applies then
				self.applied[n] = { pid = pid,
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
		self.next_check = now + 300
	elseif self.next_check and now >= self.next_check then
		self:check_hosts()
		self.next_check = now + 900
	end
end
