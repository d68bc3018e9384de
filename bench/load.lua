-- Measures the cost of the router: the same load on a target directly and
-- through two hosts, which send requests to their own targets or relay them to
-- each other.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } }, target = { slots = 64,
	work = 0, unchecked = true }, entry = { queue = 1000 } }
sleep_ms(1000)
local rate = tonumber(ARG) or 1000
local function run(what, to)
	local before = cpu_seconds(f.hosts.aarhus1.pid) + cpu_seconds(f.hosts.aarhus2.pid)
	local pid = spawn(path(what), BUILD .. "/standin/caller", "-t", to,
	    "-r", tostring(rate), "-d", "6", "-q", "-w", "0")
	wait(pid)
	local s = json(read_file(what):match("{.*"))
	local used = cpu_seconds(f.hosts.aarhus1.pid) + cpu_seconds(f.hosts.aarhus2.pid) - before
	say("%-8s rate %d ok %d p50 %.2f ms p99 %.2f ms, routers %.2f core-s, %s",
	    what, rate, s.ok, s.p50, s.p99, used, used > 0.05 and
	    string.format("%.0f requests per core-s", s.ok / used) or "-")
	return s
end
local d = run("direct", f.targets.t1.addr)
local r = run("routed", f.hosts.aarhus1.callers .. "," ..
    f.hosts.aarhus2.callers)
say("added: p50 %.2f ms, p99 %.2f ms (ratio %.2f and %.2f)", r.p50 - d.p50,
    r.p99 - d.p99, r.p50 / d.p50, r.p99 / d.p99)
for _, h in ipairs(f.order) do
	kill(f.hosts[h].pid, 9)
end
