-- Faults of the soak: drawn at random by the seed, begun, and healed.
-- Fields of a fault: name; detail (what it broke); host, server or dc (of those
-- by name); from and till (its time); min_ms (its least duration); heal() ends
-- it; poll() returns true once it can be healed; planned (an operator's action:
-- it excuses no failed or late request); breaks_store (the store is affected);
-- needs_store (it is healed only while no fault affects the store).
Faults = {}
Faults.__index = Faults

local function pick(list)
	return list[math.random(#list)]
end

local function wire_fault(addr, q)
	http("POST", "http://" .. addr .. "/fault?" .. q, "", nil, 1000)
end

-- A random live target of any service; nil if no more than five are left.
local function pick_server(s)
	local live = {}
	for _, id in ipairs(s.sorder) do
		local t = s.servers[id]
		if not t.died and not t.leaves and not t.broken then
			table.insert(live, id)
		end
	end
	return #live > 5 and pick(live) or nil
end

-- A random live host; nil if only one is left.
local function pick_host(s)
	local live = {}
	for _, n in ipairs(s.order) do
		if not s.hosts[n].dead and not s.hosts[n].broken then
			table.insert(live, n)
		end
	end
	return #live > 1 and pick(live) or nil
end

-- Ends the process of a host by a signal and restarts it when the fault heals.
-- Without a name the host is drawn.
local function end_host(s, f, signal, n)
	n = n or pick_host(s)
	if not n then
		return
	end
	local h = s.hosts[n]
	h.dead = true
	h.stops = now_ms()
	kill(h.pid, signal)
	f.host, f.planned = n, signal == 15
	f.poll = function()
		-- Without blocking, as an orderly stop takes seconds.
		if not h.ended then
			h.ended = wait(h.pid, true)
		end
		return h.ended ~= nil
	end
	f.heal = function()
		check(not f.planned or h.ended == 0, "%s ended with %d", n,
		    h.ended)
		h.ended = nil
		s:start_host(n)
	end
	return n
end

-- Sets a fault of the proxy at addr, and heals it by the query `off`.
local function break_wire(f, detail, addr, on, off)
	f.name = f.name .. " " .. detail
	wire_fault(addr, on)
	f.heal = function()
		wire_fault(addr, off)
	end
end

-- Faults of a proxy: the query that sets each and the one that clears it.
local WIRE_FAULTS = { { "cut=*", "cut=&way=-1" },
    { "cut=*&way=0", "cut=&way=-1" }, { "cut=*&way=1", "cut=&way=-1" },
    { "delay=60", "delay=0" }, { "delay=250", "delay=0" },
    { "reset=1", "delay=0" }, { "silent=1", "delay=0" } }

local function break_host_wire(s, f, which)
	local n = pick_host(s)
	if n then
		local w = pick(WIRE_FAULTS)
		f.host = n
		break_wire(f, n .. " " .. w[1], s.hosts[n][which], w[1], w[2])
		return n
	end
end

local function break_store(s, f, q, off)
	s:fault(q)
	f.breaks_store = true
	f.heal = function()
		s:fault(off)
	end
	return q
end

-- Faults of a target: the query that sets each and the one that clears it.
local SERVER_FAULTS = { { "lose=5", "lose=0" }, { "cut=5", "cut=0" },
    { "foreign=1", "foreign=0" }, { "fail=1", "fail=0" },
    { "late=1800", "late=0" }, { "work=120", "work=8" } }

-- Those drawn with second=1 in their place: second answers, where others are
-- due, and answers of runs that deny them.
if ARG:match("second=1") then
	SERVER_FAULTS = { { "extra=bare", "extra=" }, { "extra=moved", "extra=" },
	    { "extra=fail", "extra=" }, { "double=1", "double=0" },
	    { "refuse=80&extra=copy", "refuse=0&extra=" },
	    { "from=1&extra=bare", "from=2&extra=" }, { "deny=signed", "deny=" },
	    { "deny=done", "deny=" }, { "deny=moved", "deny=" } }
end

local target_kills = 0
-- Kinds of faults: { weight, name, function }.  The function begins the fault
-- and returns what it broke, or nil if there was nothing to break.
KINDS = {
	{ 3, "kill", function(s, f)
		return end_host(s, f, 9)
	end },
	{ 3, "stop", function(s, f)
		return end_host(s, f, 15)
	end },
	{ 3, "pause", function(s, f)
		local n = pick_host(s)
		if n then
			local pid = s.hosts[n].pid
			s.hosts[n].broken = true
			f.host = n
			kill(pid, 19)
			f.heal = function()
				kill(pid, 18)
				s.hosts[n].broken = nil
			end
			return n
		end
	end },
	{ 4, "peers", function(s, f)
		return break_host_wire(s, f, "peer_wire")
	end },
	{ 4, "store wire", function(s, f)
		return break_host_wire(s, f, "wire")
	end },
	{ 4, "target wire", function(s, f)
		local id = pick_server(s)
		if id then
			local w = pick(WIRE_FAULTS)
			f.server = id
			break_wire(f, id .. " " .. w[1], s.servers[id].wire, w[1],
			    w[2])
			return id
		end
	end },
	{ 4, "target", function(s, f)
		local id = pick_server(s)
		if id then
			local w = pick(SERVER_FAULTS)
			f.server, f.name = id, f.name .. " " .. w[1]
			s:server_fault(id, w[1])
			f.heal = function()
				if not s.servers[id].died then
					s:server_fault(id, w[2])
				end
			end
			return id
		end
	end },
	{ 2, "target pause", function(s, f)
		local id = pick_server(s)
		if id then
			local t = s.servers[id]
			t.broken = true
			f.server = id
			kill(t.pid, 19)
			f.heal = function()
				kill(t.pid, 18)
				t.broken = nil
			end
			return id
		end
	end },
	-- A crash.  On healing its entry is removed and a new target starts at its
	-- address; with again=1 every second one restarts under its own id instead.
	{ 2, "target kill", function(s, f)
		local id = pick_server(s)
		if id then
			local t = s.servers[id]
			s:kill_server(id)
			f.server, f.needs_store = id, true
			f.heal = function()
				target_kills = target_kills + 1
				if ARG:match("again=1") and
				    target_kills % 2 == 1 then
					s:revive_server(id)
					return
				end
				s:unregister(id)
				s:add_server(t.service, t.dc, { addr = t.addr,
				    at = t.at, wire = t.wire, work = 8,
				    keyed = t.opt.keyed })
			end
			return id
		end
	end },
	-- A target announces that it leaves, and ends at least 4.5 s later.
	{ 2, "target leaves", function(s, f)
		local id = not f.store_broken and pick_server(s)
		if id then
			local t = s.servers[id]
			f.server, f.planned, f.needs_store = id, true, true
			t.leaves = now_ms()
			s:drain(id)
			f.min_ms = 4500
			f.heal = function()
				s:unregister(id)
				s:kill_server(id)
				s:add_server(t.service, t.dc,
				    { keyed = t.opt.keyed, work = 8 })
			end
			return id
		end
	end },
	{ 1, "store down", function(s, f)
		return break_store(s, f, "down=1", "down=0")
	end },
	{ 1, "store silent", function(s, f)
		return break_store(s, f, "silent=1", "silent=0")
	end },
	{ 1, "store slow", function(s, f)
		return break_store(s, f, "slow=300", "slow=0")
	end },
	{ 1, "answers of the store lost", function(s, f)
		return break_store(s, f, "lose=3", "lose=0")
	end },
	{ 1, "history of the store dropped", function(s, f)
		return break_store(s, f, "compact=1", "compact=0")
	end },
	{ 1, "settings", function(s, f)
		local n = pick_host(s)
		if n then
			s:write_settings(n, "retry_budget_slack = " ..
			    math.random(50, 70))
			kill(s.hosts[n].pid, 1)
			f.planned = true
			f.heal = function() end
			return n
		end
	end },
}

-- Entries that are not valid: fields missing or of a wrong type, an unknown
-- state or service.
local INVALID_ENTRIES = { '{"metadata":{"name":"%s"},"spec":7,"status":"%s"}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":' ..
    '"plain","zone":"south","slots":4}},"status":{"state":"resting",' ..
    '"sequence":1}}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":5,' ..
    '"zone":"south","slots":4}},"status":{"state":"ready","sequence":1}}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":' ..
    '"plain","zone":"south","slots":"many"}},"status":{"state":"ready"}}',
    '{"metadata":{"name":"%s"},"spec":{"addr":"%s"}}' }

-- Kinds that are drawn only with more=1, so that the schedules of seeds without
-- it do not change.
local EXTRA_KINDS = {
	-- One or more data centres are each cut off from all others and from the
	-- store.
	{ 2, "data centres cut", function(s, f)
		local centres = s.opt.centres
		local n, first = math.random(#centres - 1), math.random(#centres)
		local cut_off = {}
		for i = 0, n - 1 do
			local c = centres[(first + i) % #centres + 1]
			cut_off[c] = c
		end
		for _, a in ipairs(s.order) do
			local h, unreachable = s.hosts[a], {}
			for _, b in ipairs(s.order) do
				if cut_off[h.dc] ~= cut_off[s.hosts[b].dc] then
					table.insert(unreachable, b)
				end
			end
			wire_fault(h.peer_wire, "way=-1&cut=" ..
			    table.concat(unreachable, ","))
			wire_fault(h.wire, "way=-1&cut=" ..
			    (cut_off[h.dc] and "*" or ""))
		end
		f.heal = function()
			for _, a in ipairs(s.order) do
				wire_fault(s.hosts[a].peer_wire, "cut=&way=-1")
				wire_fault(s.hosts[a].wire, "cut=&way=-1")
			end
		end
		return n .. " of " .. #centres
	end },
	-- The controller is killed or stopped while the store is down.
	{ 2, "store away, controller ends", function(s, f)
		local n = not f.store_broken and s:controller()
		local h = n and s.hosts[n]
		if not h or h.dead or h.broken then
			return
		end
		local signal = pick({ 9, 15 })
		s:fault("down=1")
		end_host(s, f, signal, n)
		f.breaks_store, f.planned = true, false
		local restart = f.heal
		f.heal = function()
			s:fault("down=0")
			restart()
		end
		return n .. " " .. signal
	end },
	-- Another writer stores an invalid entry with the address of a target that
	-- would serve.
	{ 2, "foreign entry", function(s, f)
		if f.store_broken or s.unregistered.open then
			return
		end
		local i = math.random(#INVALID_ENTRIES)
		http("POST", "http://" .. s.store .. "/objects/servers",
		    string.format(INVALID_ENTRIES[i], s.unregistered.id, s.unregistered.addr))
		s.unregistered.open = true
		f.planned, f.needs_store = true, true
		f.heal = function()
			s:unregister(s.unregistered.id)
			s.unregistered.open = false
		end
		return i
	end },
	-- All targets of a service answer with errors.
	{ 1, "service fails", function(s, f)
		local function set(q)
			for _, id in ipairs(s.sorder) do
				local t = s.servers[id]
				if t.service == "plain" and not t.died then
					s:server_fault(id, q)
				end
			end
		end
		set("fail=1")
		f.min_ms = 9000
		f.heal = function()
			set("fail=0")
		end
		return "plain"
	end },
}

-- Drawn only with evac=1: evacuates one data centre at a time.
local EVACUATION = { 4, "evacuation", function(s, f)
	if f.store_broken or s.evacuated then
		return
	end
	local dc = pick(s.opt.centres)
	s.evacuated, f.dc = dc, dc
	f.acked = s:evacuate(dc, true)
	f.planned, f.needs_store, f.min_ms = true, true, 8000
	f.heal = function()
		f.taken_back = now_ms()
		s:evacuate(dc, false)
		s.evacuated = nil
	end
	return dc
end }

-- Drawn only with cut=1: hosts are cut off from all targets, one after the other
-- or all at once.
local CUT_OFF = { 6, "hosts cut off from targets", function(s, f)
	if s.cut_off then
		return
	end
	local hosts, targets = {}, {}
	local share, how = math.random(), pick({ "silent", "reset", "new" })
	for _, n in ipairs(s.order) do
		if math.random() < share then
			table.insert(hosts, n)
		end
	end
	for _, id in ipairs(s.sorder) do
		local t = s.servers[id]
		if not t.died and not t.broken then
			table.insert(targets, id)
		end
	end
	s.cut_off = true
	s:cut_targets(hosts, how, targets)
	f.poll = function()
		-- A paused target cannot be told.
		for _, id in ipairs(targets) do
			if s.servers[id].broken then
				return false
			end
		end
		return true
	end
	f.heal = function()
		local live = {}
		for _, id in ipairs(targets) do
			if not s.servers[id].died then
				table.insert(live, id)
			end
		end
		s:cut_targets({}, how, live)
		s.cut_off = nil
	end
	return #hosts .. " " .. how
end }

-- With calm=1 only these kinds are drawn.  None excuses a host, so every late
-- or missing update of a host fails a check.
local CALM_KINDS = { stop = true, target = true, settings = true,
    ["target wire"] = true, ["target pause"] = true, ["target kill"] = true,
    ["target leaves"] = true }

-- The kinds that the arguments enable.
local function enabled_kinds()
	local all = {}
	for _, k in ipairs(KINDS) do
		local calm = CALM_KINDS[k[2]] or not ARG:match("calm=1")
		-- Targets tell hosts apart only without proxies before them.
		if calm and not (ARG:match("cut=1") and
		    k[2] == "target wire") then
			table.insert(all, k)
		end
	end
	if ARG:match("evac=1") then
		table.insert(all, EVACUATION)
	end
	if ARG:match("cut=1") then
		table.insert(all, CUT_OFF)
	end
	for _, k in ipairs(ARG:match("more=1") and EXTRA_KINDS or {}) do
		table.insert(all, k)
	end
	return all
end

local total_weight = 0
local enabled = enabled_kinds()
for _, k in ipairs(enabled) do
	total_weight = total_weight + k[1]
end

function Faults.new(s)
	return setmetatable({ site = s, open = {}, done = {}, next = now_ms() +
	    500, log = io.open(path("faults.txt"), "w") }, Faults)
end

-- Begins one fault drawn by weight; skips it if there is nothing to break.
function Faults:begin()
	local x = math.random(total_weight)
	for _, k in ipairs(enabled) do
		x = x - k[1]
		if x <= 0 then
			local f = { name = k[2], from = now_ms(),
			    min_ms = 0, store_broken = self:store_broken() }
			-- Drawn even if nothing can be broken, so that a seed's
			-- schedule does not depend on that.
			local span = math.random(300, 4000)
			f.detail = k[3](self.site, f)
			f.till = f.from + math.max(span, f.min_ms)
			if f.detail then
				table.insert(self.open, f)
				self.log:write(string.format("%.0f %s %s\n",
				    f.from, f.name, f.detail))
				self.log:flush()
			end
			return
		end
	end
end

-- Begins a fault where one is due and begin_new is set, and heals due ones.
function Faults:tick(begin_new)
	local now = now_ms()
	if begin_new and now >= self.next then
		-- One in three follows quickly, the others after a pause.
		self.next = now + (math.random(3) == 1 and math.random(50, 300)
		    or math.random(300, 1800))
		if #self.open < 4 then
			self:begin()
		end
	end
	for i = #self.open, 1, -1 do
		local f = self.open[i]
		local ready = (not f.poll or f.poll()) and
		    not (f.needs_store and self:store_broken())
		if now >= f.till and ready then
			f.heal()
			f.till = now_ms()
			table.remove(self.open, i)
			table.insert(self.done, f)
			self.log:write(string.format("%.0f healed %s %s\n",
			    f.till, f.name, f.detail))
		end
	end
end

-- True while a fault of the store is open: nothing can be written to it.
function Faults:store_broken()
	for _, f in ipairs(self.open) do
		if f.breaks_store then
			return true
		end
	end
	return false
end

function Faults:all_healed()
	return #self.open == 0
end

-- True if an unplanned fault was open between two times.  The fault `except`
-- does not count; with `no_targets` faults of targets do not count either, as
-- they keep no update from a host.
function Faults:disturbed(from, till, except, no_targets)
	local function hits(f, ended)
		return f ~= except and not f.planned and f.from < till and
		    (not ended or f.till > from) and
		    (not no_targets or not f.server)
	end
	for _, f in ipairs(self.open) do
		if hits(f, false) then
			return true
		end
	end
	for _, f in ipairs(self.done) do
		if hits(f, true) then
			return true
		end
	end
	return false
end
