-- A randomized soak: the real programs as processes of their own, broken from
-- outside by signals, by proxies between any two of them, and by the store and
-- the targets, in series that overlap.  A seed gives the whole schedule.  What
-- callers and targets saw is checked against what is promised.
-- ARG: seed=N secs=N hosts=N servers=N callers=N ports=N centres=N; routes=N, so
-- many more in each configuration; more=1, evac=1 and calm=1, see faults.lua
dofile("regress/scenario/lib_site.lua")
dofile("regress/soak/faults.lua")
dofile("regress/soak/checks.lua")

local function arg(name, other)
	return tonumber(ARG:match(name .. "=(%d+)")) or other
end
local SEED, SECS = arg("seed", 1), arg("secs", 20)
math.randomseed(SEED)
local centres = { "south", "north", "east", "west" }
local s = standard_site { centres = { table.unpack(centres, 1,
    arg("centres", 2)) }, hosts = arg("hosts", 4), plain = arg("servers", 4),
    keyed = arg("servers", 4), store_wires = true, server_wires = true,
    peer_wires = true, work = 8, bounds = ARG:match("evac=1") and
    "evacuate = 5s" or nil }
s.routes = s:many_routes(arg("routes", 0))
s:add_stranger()

local addrs = {}
for _, n in ipairs(s.order) do
	table.insert(addrs, s.hosts[n].callers)
end
-- Callers go on for so long after the last fault, and must be served then.
local CALM_MS = 11000
local start = now_ms()
local callers = {}
for i = 1, arg("callers", 4) do
	table.insert(callers, spawn(path("caller" .. i .. ".log"), BUILD ..
	    "/scenario/scen", BUILD, WORK, "/dev/null",
	    "regress/soak/caller.lua", string.format(
	    "id=%d seed=%d hosts=%s", i, SEED, table.concat(addrs, ","))))
end

local faults = Faults.new(s)
local calm_from = start + SECS * 1000
local watch = Versions.new(s, faults)
while now_ms() < calm_from do
	faults:tick(true)
	watch:tick()
	sleep_ms(20)
end
while not faults:over() do
	faults:tick(false)
	sleep_ms(20)
end
local healed = now_ms()
-- Keys are served again through all hosts, and so is everything else.
s:await_keys(15000)
say("served %.1f s after the last fault", (now_ms() - healed) / 1000)
while now_ms() < healed + CALM_MS do
	sleep_ms(100)
end
write_file("enough", "")
for _, pid in ipairs(callers) do
	wait(pid)
end
for _, n in ipairs(s.order) do
	local st = s:stop_host(n)
	check(st == 0, "%s ended with %d", n, st)
end
s:journals_ok()
check_callers(s, faults, #callers, healed)
check_leaving(s, faults)
check_evacuations(s, faults)
check_repeats(s, #callers)
check_stranger(s)
say("seed %d: %d faults, %d versions, all promises kept", SEED, #faults.done,
    watch.count)
