-- Functions for scenarios: start a fleet, put load on it, cause faults, check
-- the journals of targets, and print the lines of the golden file.

local TERM, KILL, STOP, CONT = 15, 9, 19, 18

-- Ports of this run: consecutive ones below the range of ephemeral ports.
local PORT_COUNT = tonumber(ARG:match("ports=(%d+)")) or 100
local function pick_base_port()
	for i = 0, 119 do
		local b = 20000 + ((PID * 7 + i) % 120) * 100
		if ports_free(b, PORT_COUNT) then
			return b
		end
	end
	error("no free ports")
end
local BASE_PORT = pick_base_port()

function say(fmt, ...)
	print(string.format(fmt, ...))
end

function check(ok, fmt, ...)
	if not ok then
		error("FAILED: " .. string.format(fmt, ...), 2)
	end
end

-- Polls fn until it returns a true value, and returns that; fails after ms.
function await(what, ms, fn)
	local till = now_ms() + ms
	repeat
		local v = fn()
		if v then
			return v
		end
		sleep_ms(10)
	until now_ms() > till
	error("FAILED: waited " .. ms .. " ms for: " .. what, 2)
end

-- Sends bytes on a new connection and returns the reply.  With leave the
-- connection is closed without waiting for one.
function raw(addr, bytes, leave)
	local c = dial(addr)
	if not c then
		return ""
	end
	local text = send(c, bytes) and not leave and read_all(c) or ""
	hang_up(c)
	return text
end

function path(name)
	return WORK .. "/" .. name
end

function write_file(name, text)
	local f = assert(io.open(path(name), "w"))
	f:write(text)
	f:close()
end

function read_file(name)
	local f = io.open(path(name), "r")
	if not f then
		return ""
	end
	local s = f:read("a")
	f:close()
	return s
end

-- A fleet: a platform, hosts and targets as processes.  Options: wires (a
-- proxy before each host and target; "double" delivers each frame twice), conf
-- (more lines of host settings), platform_before (earlier platform addresses).
Fleet = {}
Fleet.__index = Fleet

function Fleet.new(opt)
	local f = setmetatable({ hosts = {}, order = {}, targets = {},
	    target_order = {}, opt = opt, next = 2 }, Fleet)
	f.platform = "127.0.0.1:" .. BASE_PORT
	f.platctl = "127.0.0.1:" .. BASE_PORT + 1
	f.platpid = spawn(path("platform.log"), BUILD .. "/standin/platform",
	    "-l", f.platform, "-c", f.platctl)
	await("platform", 3000, function()
		return http("GET", "http://" .. f.platctl .. "/calls") == 200
	end)
	return f
end

function Fleet:port()
	self.next = self.next + 1
	return "127.0.0.1:" .. BASE_PORT + self.next
end

function Fleet:add_host(name, dc)
	local h = { name = name, dc = dc, callers = self:port(),
	    peers = self:port(), admin = self:port() }
	self.hosts[name] = h
	table.insert(self.order, name)
	h.reached = h.peers
	if self.opt.wires then
		h.reached, h.wire = self:port(), self:port()
		local args = { "-l", h.reached, "-t", h.peers, "-c", h.wire }
		if self.opt.wires == "double" then
			table.insert(args, "-d")
		end
		spawn(path(name .. ".wire.log"), BUILD .. "/standin/wire",
		    table.unpack(args))
	end
	write_file(name .. ".conf", string.format(
	    "[host]\nname = %s\ndc = %s\n[listen]\ncallers = %s\n" ..
	    "peers = %s\nreached = %s\nadmin = %s\n[platform]\n" ..
	    "address = %s\n%s", name, dc, h.callers, h.peers, h.reached,
	    h.admin, (self.opt.platform_before or "") .. self.platform,
	    self.opt.conf or ""))
	return h
end

-- Writes the list of hosts into the platform.
function Fleet:list_hosts()
	local s = ""
	for _, n in ipairs(self.order) do
		local h = self.hosts[n]
		s = s .. string.format("%s %s %s %s %s\n", n, h.dc, h.reached,
		    h.admin, h.leaving and "leaving" or "live")
	end
	http("PUT", "http://" .. self.platctl .. "/hosts", s)
end

function Fleet:start_host(name)
	local h = self.hosts[name]
	h.pid = spawn(path(name .. ".log"), BUILD .. "/gspard/gspard", "-f",
	    path(name .. ".conf"))
end

function Fleet:add_target(name, dc, opt)
	local t = { name = name, dc = dc, addr = self:port(), opt = opt or {} }
	t.own = t.addr
	if self.opt.wires then
		t.addr, t.wire = self:port(), self:port()
		spawn(path(name .. ".wire.log"), BUILD .. "/standin/wire",
		    "-l", t.addr, "-t", t.own, "-c", t.wire)
	end
	self.targets[name] = t
	table.insert(self.target_order, name)
	self:start_target(name)
	return t
end

function Fleet:start_target(name)
	local t = self.targets[name]
	local args = { "-l", t.own, "-n", name, "-j", path(name .. ".journal"),
	    "-s", tostring(t.opt.slots or 4), "-w", tostring(t.opt.work or 2) }
	if t.opt.unchecked then
		table.insert(args, "-u")
	end
	t.pid = spawn(path(name .. ".log"), BUILD .. "/standin/target",
	    table.unpack(args))
end

-- Sets faults of the platform, such as "down=1&lose=3".
function Fleet:fault(q)
	http("POST", "http://" .. self.platctl .. "/fault?" .. q, "")
end

-- Counts of the platform's calls by kind, and of its version conflicts.
function Fleet:calls()
	local _, s = http("GET", "http://" .. self.platctl .. "/calls")
	local t = {}
	for k, v in s:gmatch("(%w+) (%d+)") do
		t[k] = tonumber(v)
	end
	return t
end

function Fleet:target_fault(name, q)
	http("POST", "http://" .. self.targets[name].addr .. "/fault?" .. q, "")
end

-- A catalogue entry as JSON, with its shards divided evenly among its cells.
function entry_json(e)
	local cells, first = {}, 0
	local each = e.shards // #e.cells
	for i, c in ipairs(e.cells) do
		local last = i == #e.cells and e.shards - 1 or first + each - 1
		local ts, dcs = {}, {}
		for _, t in ipairs(c.targets) do
			table.insert(ts, string.format(
			    '{"name":"%s","dc":"%s","address":"%s",' ..
			    '"slots":%d,"leaving":%s,"checks":%s}', t.name,
			    t.dc, t.addr, t.opt.slots or 4,
			    tostring(t.leaving or false),
			    tostring(not t.opt.unchecked)))
		end
		for _, d in ipairs(c.dcs) do
			table.insert(dcs, '"' .. d .. '"')
		end
		table.insert(cells, string.format(
		    '{"dcs":[%s],"first":%d,"last":%d,"targets":[%s]}',
		    table.concat(dcs, ","), first, last, table.concat(ts, ",")))
		first = last + 1
	end
	return string.format('{"name":"%s","owner":"%s","class":"%s",' ..
	    '"weigh":"%s","shards":%d,"limits":{"queue":%d,' ..
	    '"deadline_ms":%d,"body":%d,"rate":%d},"cells":[%s]}', e.name,
	    e.owner or "tests", e.class or "lookup", e.weigh or "imbalance",
	    e.shards, e.queue or 64, e.deadline_ms or 2000, e.body or 65536,
	    e.rate or 0,
	    table.concat(cells, ","))
end

function Fleet:put_entry(e)
	self.entries = self.entries or {}
	self.entries[e.name] = e
	local status, _, headers = http("PUT", "http://" .. self.platform ..
	    "/v1/objects/catalogue/" .. e.name, entry_json(e),
	    { "If-Version: " .. (e.version or 0) })
	check(status == 200, "catalogue entry not written: %d", status)
	e.version = tonumber(headers:match("Version: (%d+)"))
end

function Fleet:status(name)
	local st, body = http("GET", "http://" .. self.hosts[name].admin ..
	    "/v1/status", nil, nil, 1500)
	return st == 200 and json(body) or nil
end

function Fleet:metric(name, counter)
	local _, body = http("GET", "http://" .. self.hosts[name].admin ..
	    "/metrics")
	return tonumber(body:match("\ngspar_" .. counter .. "_total (%d+)"))
end

function Fleet:controller(cell)
	for _, n in ipairs(self.order) do
		local s = not self.hosts[n].dead and self:status(n)
		for _, c in ipairs(s and s.cells or {}) do
			if c.cell == cell and c.role == "controller" and
			    c.may_change then
				return n
			end
		end
	end
end

function Fleet:owner(service, key, from)
	local h = self.hosts[from or self.order[1]]
	local st, body = http("GET", "http://" .. h.admin ..
	    "/v1/owner?service=" .. service .. "&key=" .. key)
	return st == 200 and json(body) or nil
end

function Fleet:get(name, service, key, headers, method, body)
	return http(method or "GET", "http://" .. self.hosts[name].callers ..
	    "/v1/" .. service .. "/" .. key, body, headers)
end

-- Starts a fleet with one service and returns once all hosts serve its keys.
-- dcs lists { name, number of hosts, number of targets }; each data centre is a
-- cell, or with one_cell all of them are a single cell.
function standard_fleet(opt)
	local f = Fleet.new(opt)
	local cells = {}
	local n = 0
	for _, d in ipairs(opt.dcs) do
		local c = { dcs = { d[1] }, targets = {} }
		for i = 1, d[2] do
			f:add_host(d[1] .. i, d[1])
		end
		for i = 1, d[3] do
			n = n + 1
			table.insert(c.targets, f:add_target("t" .. n, d[1],
			    opt.target))
		end
		table.insert(cells, c)
	end
	if opt.one_cell then
		local all = { dcs = {}, targets = {} }
		for _, c in ipairs(cells) do
			table.insert(all.dcs, c.dcs[1])
			for _, t in ipairs(c.targets) do
				table.insert(all.targets, t)
			end
		end
		cells = { all }
	end
	f:list_hosts()
	local e = opt.entry or {}
	e.name = e.name or "lookup"
	e.shards = e.shards or 64
	e.cells = cells
	f:put_entry(e)
	for _, h in ipairs(f.order) do
		f:start_host(h)
	end
	f:await_served(e.name)
	return f
end

-- Waits until a sample of keys is served through every live host.
function Fleet:await_served(service)
	local is_lookup = service == "lookup"
	await("all keys served", 15000, function()
		for _, n in ipairs(self.order) do
			if not self.hosts[n].dead then
				for i = 1, 24 do
					local st = self:get(n, service,
					    "warm-" .. i .. "/ticket")
					if is_lookup then
						st = self:get(n, service,
						    "warm-" .. i)
					end
					-- 429: served, but over the rate limit.
					if st ~= 200 and st ~= 429 then
						return false
					end
				end
			end
		end
		return true
	end)
end

-- Starts a load generator; its finish() waits for it and returns its sums.
function Fleet:load(args)
	local addrs = {}
	for _, n in ipairs(self.order) do
		if not args.only or args.only[n] then
			table.insert(addrs, self.hosts[n].callers)
		end
	end
	self.loads = (self.loads or 0) + 1
	local log = "caller" .. self.loads .. ".log"
	local l = { log = log }
	l.pid = spawn(path(log), BUILD .. "/standin/caller", "-t",
	    table.concat(addrs, ","), "-n", "c" .. self.loads,
	    table.unpack(args))
	function l.finish()
		l.status = wait(l.pid)
		local last
		for line in read_file(log):gmatch("[^\n]+") do
			last = line
		end
		l.sum = json(last or "") or {}
		check(l.status == 0, "a caller got a wrong answer or failed: %s",
		    last or "")
		return l.sum
	end
	return l
end

function Fleet:kill_host(name)
	kill(self.hosts[name].pid, KILL)
	wait(self.hosts[name].pid)
	self.hosts[name].dead = true
end

function Fleet:term_host(name)
	kill(self.hosts[name].pid, TERM)
end

function Fleet:stop_host(name)
	self:term_host(name)
	local st = wait(self.hosts[name].pid)
	self.hosts[name].dead = true
	return st
end

function Fleet:restart_host(name)
	self.hosts[name].dead = nil
	self:start_host(name)
end

-- Stops a process with SIGSTOP until resume().
function Fleet:pause(pid)
	kill(pid, STOP)
end

function Fleet:resume(pid)
	kill(pid, CONT)
end

function Fleet:kill_target(name)
	kill(self.targets[name].pid, KILL)
	wait(self.targets[name].pid)
end

-- Runs the journal checker on the journals of all targets; fails on any fault.
function Fleet:journals_ok()
	local args = {}
	for _, t in ipairs(self.target_order) do
		table.insert(args, path(t .. ".journal"))
	end
	local pid = spawn(path("jcheck.log"), BUILD .. "/standin/jcheck",
	    table.unpack(args))
	local st = wait(pid)
	check(st == 0, "journals: %s", read_file("jcheck.log"))
	return true
end

function Fleet:stop_all()
	for _, n in ipairs(self.order) do
		if not self.hosts[n].dead then
			self:term_host(n)
		end
	end
	for _, n in ipairs(self.order) do
		if not self.hosts[n].dead then
			check(wait(self.hosts[n].pid) == 0, "%s did not exit with 0",
			    n)
		end
	end
end

-- Number of requests that did not get a whole, correct answer.
function failures(sum)
	return sum.not_run + sum.unknown + sum.bad + sum.wrong + sum.lost
end

-- Waits until some requests of a load have been answered.
function Fleet:await_load(name)
	local n = name or self.order[1]
	for _, h in ipairs(self.order) do
		if not name and not self.hosts[h].dead then
			n = h
			break
		end
	end
	local before = self:metric(n, "caller_answers")
	await("load", 5000, function()
		return self:metric(n, "caller_answers") > before + 20
	end)
end

-- A host that dispatches for a target of the cell and is not its controller,
-- and that target.
function Fleet:plain_dispatcher(cell)
	local ctl = self:controller(cell)
	for _, n in ipairs(self.order) do
		local s = n ~= ctl and not self.hosts[n].dead and self:status(n)
		for _, c in ipairs(s and s.cells or {}) do
			if c.cell == cell then
				for t, h in pairs(c.dispatch) do
					if h == n then
						return n, t
					end
				end
			end
		end
	end
end

-- Pauses a dispatcher until other hosts have its targets, and resumes it.
function Fleet:pause_dispatcher(cell)
	local n = self:plain_dispatcher(cell)
	self:pause(self.hosts[n].pid)
	self.hosts[n].dead = true
	self:await_no_dispatch(cell, n)
	self:resume(self.hosts[n].pid)
	self.hosts[n].dead = nil
end

-- The targets that own 60 sample keys, as one line.
function Fleet:owners(service, from)
	local s = {}
	for i = 1, 60 do
		local o = self:owner(service, "key-" .. i, from)
		s[i] = o and o.target or "?"
	end
	return table.concat(s, " ")
end

-- Sets faults of the proxy before a host; needs wires = true.
function Fleet:wire(name, q)
	http("POST", "http://" .. self.hosts[name].wire .. "/fault?" .. q, "")
end

-- Cuts the hosts and targets for which is_a(thing) holds off from the others
-- and from the platform; heals the network where on is false.
function Fleet:cut(is_a, on)
	local side = { [true] = {}, [false] = {} }
	for _, n in ipairs(self.order) do
		table.insert(side[is_a(self.hosts[n])], n)
	end
	local function cut_from(thing)
		return "cut=" .. (on and
		    table.concat(side[not is_a(thing)], ",") or "")
	end
	for _, n in ipairs(self.order) do
		self:wire(n, cut_from(self.hosts[n]))
	end
	for _, n in ipairs(self.target_order) do
		local t = self.targets[n]
		http("POST", "http://" .. t.wire .. "/fault?" .. cut_from(t))
	end
	self:fault("cut=" .. (on and table.concat(side[true], ",") or ""))
end

-- Cuts a data centre off from the others and from the platform.
function Fleet:cut_dc(dc, on)
	self:cut(function(thing)
		return thing.dc == dc
	end, on)
end

-- Waits until a cell has a controller and two standbys; returns their names.
function Fleet:await_standbys(cell)
	return table.unpack(await("standbys", 5000, function()
		local ctl, sb = nil, {}
		for _, n in ipairs(self.order) do
			local s = self:status(n)
			for _, c in ipairs(s and s.cells or {}) do
				if c.cell == cell and c.role == "standby" then
					table.insert(sb, n)
				elseif c.cell == cell and c.may_change then
					ctl = n
				end
			end
		end
		return ctl and #sb == 2 and { ctl, sb[1], sb[2] }
	end))
end

-- Waits until a target owns none of the sample keys.
function Fleet:await_drained(service, target, ms)
	await(target .. " owns no key", ms or 5000, function()
		return not self:owners(service):find(target)
	end)
end

-- Waits until a host no longer dispatches for any target of a cell.
function Fleet:await_no_dispatch(cell, host)
	await("other hosts dispatch for " .. host .. "'s targets", 6000, function()
		local n = self:controller(cell)
		local s = n and self:status(n)
		for _, c in ipairs(s and s.cells or {}) do
			for _, h in pairs(c.cell == cell and c.dispatch or {}) do
				if h == host then
					return false
				end
			end
		end
		return s
	end)
end

-- CPU time that a process has used, in seconds.
function cpu_seconds(pid)
	local f = assert(io.open("/proc/" .. pid .. "/stat"))
	local s = f:read("a"):gsub("^.*%) ", "")
	f:close()
	local n, ticks = 0, 0
	for w in s:gmatch("%S+") do
		n = n + 1
		if n == 12 or n == 13 then
			ticks = ticks + tonumber(w)
		end
	end
	return ticks / 100
end
