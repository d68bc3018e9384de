-- The timeline of a host and its two targets: the host starts and takes
-- control, dispatches for the targets and places shards; a target is killed and
-- its shards move.  The golden file holds each event in order, without times.
local f = standard_fleet { dcs = { { "aarhus", 1, 2 } } }
f:kill_target("t1")
f:await_drained("lookup", "t1")
local pid = spawn(path("timeline"), BUILD .. "/gsparctl/gsparctl", "-a",
    f.hosts.aarhus1.admin, "timeline")
check(wait(pid) == 0, "timeline: %s", read_file("timeline"))
for line in read_file("timeline"):gmatch("[^\n]+") do
	say("%s", (line:gsub("^%S+ +", ""):gsub(" +", " ")))
end
f:stop_all()
f:journals_ok()
