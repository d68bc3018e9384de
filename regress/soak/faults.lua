-- What can be broken, and by whom it is undone.  Each fault gives what it
-- touches and a function that heals it.
Faults = {}
Faults.__index = Faults

local function pick(list)
	return list[math.random(#list)]
end

local function wire(at, q)
	http("POST", "http://" .. at .. "/fault?" .. q, "", nil, 1000)
end

-- A target that lives, of any service; nil where too few are left.
local function server(s)
	local live = {}
	for _, id in ipairs(s.sorder) do
		local t = s.servers[id]
		if not t.died and not t.leaves and not t.broken then
			table.insert(live, id)
		end
	end
	return #live > 5 and pick(live) or nil
end

local function host(s)
	local live = {}
	for _, n in ipairs(s.order) do
		if not s.hosts[n].dead and not s.hosts[n].broken then
			table.insert(live, n)
		end
	end
	return #live > 1 and pick(live) or nil
end

-- The process of a host ends by a signal, and starts again; of any where none is
-- named.
local function end_host(s, f, signal, n)
	n = n or host(s)
	if not n then
		return
	end
	local h = s.hosts[n]
	h.dead = true
	h.stops = now_ms()
	kill(h.pid, signal)
	f.host, f.planned = n, signal == 15
	f.step = function()
		-- Wait for its end without blocking: a stop takes seconds.
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

-- A wire of a host or a target takes a fault, and is whole again.
local function on_wire(f, what, at, on, off)
	f.name = f.name .. " " .. what
	wire(at, on)
	f.heal = function()
		wire(at, off)
	end
end

local WIRE = { { "cut=*", "cut=&way=-1" }, { "cut=*&way=0", "cut=&way=-1" },
    { "cut=*&way=1", "cut=&way=-1" }, { "delay=60", "delay=0" },
    { "delay=250", "delay=0" }, { "reset=1", "delay=0" },
    { "silent=1", "delay=0" } }

local function host_wire(s, f, which)
	local n = host(s)
	if n then
		local w = pick(WIRE)
		f.host = n
		on_wire(f, n .. " " .. w[1], s.hosts[n][which], w[1], w[2])
		return n
	end
end

local function store(s, f, q, off)
	s:fault(q)
	f.all = true
	f.heal = function()
		s:fault(off)
	end
	return q
end

-- A target's own trouble.
local SERVER = { { "lose=5", "lose=0" }, { "cut=5", "cut=0" },
    { "foreign=1", "foreign=0" }, { "fail=1", "fail=0" },
    { "late=1800", "late=0" }, { "work=120", "work=8" } }

local kills = 0
KINDS = {
	{ 3, "kill", function(s, f)
		return end_host(s, f, 9)
	end },
	{ 3, "stop", function(s, f)
		return end_host(s, f, 15)
	end },
	{ 3, "pause", function(s, f)
		local n = host(s)
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
		return host_wire(s, f, "peer_wire")
	end },
	{ 4, "store wire", function(s, f)
		return host_wire(s, f, "wire")
	end },
	{ 4, "target wire", function(s, f)
		local id = server(s)
		if id then
			local w = pick(WIRE)
			f.server = id
			on_wire(f, id .. " " .. w[1], s.servers[id].wire, w[1],
			    w[2])
			return id
		end
	end },
	{ 4, "target", function(s, f)
		local id = server(s)
		if id then
			local w = pick(SERVER)
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
		local id = server(s)
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
	-- A crash; its entry lapses, and another comes at the address, or, where
	-- that is asked for, it starts again under its id, each second time.
	{ 2, "target kill", function(s, f)
		local id = server(s)
		if id then
			local t = s.servers[id]
			s:kill_server(id)
			f.server, f.writes = id, true
			f.heal = function()
				kills = kills + 1
				if ARG:match("again=1") and kills % 2 == 1 then
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
	-- It leaves: goes on serving a little, and ends.
	{ 2, "target leaves", function(s, f)
		local id = not f.store_broken and server(s)
		if id then
			local t = s.servers[id]
			f.server, f.planned, f.writes = id, true, true
			t.leaves = now_ms()
			s:drain(id)
			f.least = 4500
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
		return store(s, f, "down=1", "down=0")
	end },
	{ 1, "store silent", function(s, f)
		return store(s, f, "silent=1", "silent=0")
	end },
	{ 1, "store slow", function(s, f)
		return store(s, f, "slow=300", "slow=0")
	end },
	{ 1, "answers of the store lost", function(s, f)
		return store(s, f, "lose=3", "lose=0")
	end },
	{ 1, "history of the store dropped", function(s, f)
		return store(s, f, "compact=1", "compact=0")
	end },
	{ 1, "settings", function(s, f)
		local n = host(s)
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

-- Entries that name nobody: fields missing or of another type, a state or a
-- service that there is not.
local STRANGE = { '{"metadata":{"name":"%s"},"spec":7,"status":"%s"}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":' ..
    '"plain","zone":"south","slots":4}},"status":{"state":"resting",' ..
    '"sequence":1}}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":5,' ..
    '"zone":"south","slots":4}},"status":{"state":"ready","sequence":1}}',
    '{"metadata":{"name":"%s"},"spec":{"address":"%s","info":{"service":' ..
    '"plain","zone":"south","slots":"many"}},"status":{"state":"ready"}}',
    '{"metadata":{"name":"%s"},"spec":{"addr":"%s"}}' }

-- Kinds that seeds ask for with more=1; the schedules of others stay as they are.
local MORE = {
	-- Hosts of one data centre or more hear nobody outside of their own, and
	-- reach no store; two that are cut off do not hear each other.
	{ 2, "data centres cut", function(s, f)
		local centres = s.opt.centres
		local n, first = math.random(#centres - 1), math.random(#centres)
		local part = {}
		for i = 0, n - 1 do
			local c = centres[(first + i) % #centres + 1]
			part[c] = c
		end
		for _, a in ipairs(s.order) do
			local h, deaf_to = s.hosts[a], {}
			for _, b in ipairs(s.order) do
				if part[h.dc] ~= part[s.hosts[b].dc] then
					table.insert(deaf_to, b)
				end
			end
			wire(h.peer_wire, "way=-1&cut=" ..
			    table.concat(deaf_to, ","))
			wire(h.wire, "way=-1&cut=" .. (part[h.dc] and "*" or ""))
		end
		f.heal = function()
			for _, a in ipairs(s.order) do
				wire(s.hosts[a].peer_wire, "cut=&way=-1")
				wire(s.hosts[a].wire, "cut=&way=-1")
			end
		end
		return n .. " of " .. #centres
	end },
	-- The controller is killed, or stops in order, while the store is away.
	{ 2, "store away, controller ends", function(s, f)
		local n = not f.store_broken and s:controller()
		local h = n and s.hosts[n]
		if not h or h.dead or h.broken then
			return
		end
		local signal = pick({ 9, 15 })
		s:fault("down=1")
		end_host(s, f, signal, n)
		f.all, f.planned = true, false
		local start = f.heal
		f.heal = function()
			s:fault("down=0")
			start()
		end
		return n .. " " .. signal
	end },
	-- An entry by another writer, in the name of a target that would serve.
	{ 2, "foreign entry", function(s, f)
		if f.store_broken or s.stranger.open then
			return
		end
		local what = math.random(#STRANGE)
		http("POST", "http://" .. s.store .. "/objects/servers",
		    string.format(STRANGE[what], s.stranger.id, s.stranger.addr))
		s.stranger.open = true
		f.planned, f.writes = true, true
		f.heal = function()
			s:unregister(s.stranger.id)
			s.stranger.open = false
		end
		return what
	end },
	-- All targets of a service answer with failures of their own.
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
		f.least = 9000
		f.heal = function()
			set("fail=0")
		end
		return "plain"
	end },
}

-- With evac=1 data centres are evacuated too, one at a time.
local EVACUATION = { 4, "evacuation", function(s, f)
	if f.store_broken or s.evacuated then
		return
	end
	local dc = pick(s.opt.centres)
	s.evacuated, f.dc = dc, dc
	f.acked = s:evacuate(dc, true)
	f.planned, f.writes, f.least = true, true, 8000
	f.heal = function()
		f.taken_back = now_ms()
		s:evacuate(dc, false)
		s.evacuated = nil
	end
	return dc
end }

-- With calm=1 nothing happens that excuses a host: what is told too late, or
-- not at all, is then seen as such.
local CALM = { stop = true, target = true, settings = true,
    ["target wire"] = true, ["target pause"] = true, ["target kill"] = true,
    ["target leaves"] = true }

-- The kinds that a seed may draw from.
local function drawn_from()
	local all = {}
	for _, k in ipairs(KINDS) do
		if CALM[k[2]] or not ARG:match("calm=1") then
			table.insert(all, k)
		end
	end
	if ARG:match("evac=1") then
		table.insert(all, EVACUATION)
	end
	for _, k in ipairs(ARG:match("more=1") and MORE or {}) do
		table.insert(all, k)
	end
	return all
end

local TOTAL = 0
local drawn = drawn_from()
for _, k in ipairs(drawn) do
	TOTAL = TOTAL + k[1]
end

function Faults.new(s)
	return setmetatable({ site = s, open = {}, done = {}, next = now_ms() +
	    500, log = io.open(path("faults.txt"), "w") }, Faults)
end

-- One fault, drawn by weight; those that find nothing to break are left out.
function Faults:begin()
	local x = math.random(TOTAL)
	for _, k in ipairs(drawn) do
		x = x - k[1]
		if x <= 0 then
			local f = { name = k[2], from = now_ms(),
			    least = 0, store_broken = self:store_broken() }
			-- Both drawn in any case: a seed's schedule must not
			-- hang on what could be broken.
			local span = math.random(300, 4000)
			f.what = k[3](self.site, f)
			f.till = f.from + math.max(span, f.least)
			if f.what then
				table.insert(self.open, f)
				self.log:write(string.format("%.0f %s %s\n",
				    f.from, f.name, f.what))
				self.log:flush()
			end
			return
		end
	end
end

-- Begins and ends faults as is due.
function Faults:tick(more)
	local now = now_ms()
	if more and now >= self.next then
		-- Now in quick succession, now with a pause.
		self.next = now + (math.random(3) == 1 and math.random(50, 300)
		    or math.random(300, 1800))
		if #self.open < 4 then
			self:begin()
		end
	end
	for i = #self.open, 1, -1 do
		local f = self.open[i]
		local ready = (not f.step or f.step()) and
		    not (f.writes and self:store_broken())
		if now >= f.till and ready then
			f.heal()
			f.till = now_ms()
			table.remove(self.open, i)
			table.insert(self.done, f)
			self.log:write(string.format("%.0f healed %s %s\n",
			    f.till, f.name, f.what))
		end
	end
end

-- Targets write their entries themselves, and could not now.
function Faults:store_broken()
	for _, f in ipairs(self.open) do
		if f.all then
			return true
		end
	end
	return false
end

function Faults:over()
	return #self.open == 0
end

-- True where something unplanned was broken between two moments; `but` is a
-- fault that does not count.  Where `hosts` is true only what hosts are told
-- counts: faults of hosts, between them, and of the store.
function Faults:troubled(from, till, but, hosts)
	local function hits(f, ended)
		return f ~= but and not f.planned and f.from < till and
		    (not ended or f.till > from) and
		    (not hosts or not f.server)
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
