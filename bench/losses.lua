-- Measures the time until a key is served again after a failure, COUNT times.
-- ARG is "KIND COUNT"; KIND, what is killed, is target, host, controller or dc
-- (all its hosts and targets).
local kind, count = ARG:match("(%a+) (%d+)")
count = tonumber(count)
local f
if kind == "dc" then
	f = standard_fleet { dcs = { { "falaj", 2, 2 }, { "souq", 3, 3 } },
		one_cell = true }
else
	f = standard_fleet { dcs = { { "aarhus", 5, 8 } } }
end
local cell = kind == "dc" and "falaj+souq" or "aarhus"

-- Returns the last host that is alive.
local function live_host()
	for i = #f.order, 1, -1 do
		if not f.hosts[f.order[i]].dead then
			return f.order[i]
		end
	end
end

-- Returns a key whose target or dispatcher (role) has that name.
local function key_of(role, name)
	for i = 1, 500 do
		local o = f:owner("lookup", "key-" .. i, live_host())
		if o and o[role] == name then
			return "key-" .. i
		end
	end
end

local times, worst = {}, 0
for i = 1, count do
	local key, undo
	if kind == "target" then
		local t = "t" .. (i % 8 + 1)
		key = await("a key of " .. t, 20000, function()
			return key_of("target", t)
		end)
		f:kill_target(t)
		undo = function()
			f:start_target(t)
		end
	elseif kind == "dc" then
		key = await("a key of falaj", 30000, function()
			return key_of("target", "t1") or key_of("target", "t2")
		end)
		for _, n in ipairs { "falaj1", "falaj2" } do
			kill(f.hosts[n].pid, 9)
			f.hosts[n].dead = true
		end
		f:kill_target("t1")
		f:kill_target("t2")
		undo = function()
			for _, n in ipairs { "falaj1", "falaj2" } do
				wait(f.hosts[n].pid)
				f:restart_host(n)
			end
			f:start_target("t1")
			f:start_target("t2")
		end
	else
		local n
		if kind == "controller" then
			n = await("a controller", 9000, function()
				return f:controller(cell)
			end)
		else
			n = await("a dispatcher", 9000, function()
				return (f:plain_dispatcher(cell))
			end)
		end
		-- The loss of a controller that dispatches no shard interrupts
		-- no key, so any key is measured.
		key = key_of("dispatcher", n) or "key-1"
		f:kill_host(n)
		undo = function()
			f:restart_host(n)
		end
	end
	local from = now_ms()
	local via = live_host()
	while f:get(via, "lookup", key, { "Gspar-Deadline-Ms: 300" }) ~= 200 do
		check(now_ms() - from < 20000, "not served again")
		sleep_ms(5)
	end
	local took = now_ms() - from
	table.insert(times, took)
	undo()
	f:await_served("lookup")
	sleep_ms(1500)
end
table.sort(times)
f:journals_ok()
say("%-10s losses %d  median %.0f ms  worst %.0f ms  over 3 s: %d  " ..
    "key-s not served, per key: %.1f", kind, count, times[(#times + 1) // 2],
    times[#times], (function()
	local n = 0
	for _, t in ipairs(times) do
		n = n + (t > 3000 and 1 or 0)
	end
	return n
    end)(), (function()
	local s = 0
	for _, t in ipairs(times) do
		s = s + t
	end
	return s / 1000
    end)())
