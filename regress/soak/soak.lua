-- A randomized soak of the programs as processes.  Overlapping faults are
-- caused by signals, by proxies between any two processes, by the store and by
-- the targets; the seed determines the whole schedule.  What callers and
-- targets recorded is then checked against the guarantees of the router.
-- ARG: seed=N secs=N hosts=N servers=N callers=N ports=N centres=N;
-- routes=N, that many more routes in each configuration;
-- more=1, evac=1, calm=1, again=1, cut=1 and second=1, see faults.lua;
-- admit=1, requests wait for permits of admission hosts.
dofile("regress/scenario/lib_site.lua")
dofile("regress/soak/faults.lua")
dofile("regress/soak/checks.lua")

local function arg(name, default)
	return tonumber(ARG:match(name .. "=(%d+)")) or default
end
local SEED, SECS = arg("seed", 1), arg("secs", 20)
math.randomseed(SEED)
local centres = { "south", "north", "east", "west" }
local s = standard_site { centres = { table.unpack(centres, 1,
    arg("centres", 2)) }, hosts = arg("hosts", 4), plain = arg("servers", 4),
    keyed = arg("servers", 4), store_wires = true,
    server_wires = not ARG:match("cut=1"), sources = ARG:match("cut=1"),
    peer_wires = true, work = 8, bounds = (ARG:match("evac=1") and
    "evacuate = 5s\n" or "") .. (ARG:match("admit=1") and
    "[routing]\nadmission = always\n[bounds]" or "") }
s.routes = s:many_routes(arg("routes", 0))
s:add_unregistered()

local addrs = {}
for _, n in ipairs(s.order) do
	table.insert(addrs, s.hosts[n].callers)
end
-- Callers go on for this long after the last fault, and must be served then.
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
local faults_end = start + SECS * 1000
local versions = Versions.new(s, faults)
while now_ms() < faults_end do
	faults:tick(true)
	versions:tick()
	sleep_ms(20)
end
while not faults:all_healed() do
	faults:tick(false)
	sleep_ms(20)
end
local healed = now_ms()
-- All hosts serve all keys again.
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
check_retries(s, #callers)
check_unregistered(s)
say("seed %d: %d faults, %d versions, all checks passed", SEED, #faults.done,
    versions.count)
