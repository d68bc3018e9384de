-- One whole session of a host and its targets as the time line tells it: the
-- host starts and takes control, dispatches and places, a target is killed
-- and replaced.  The golden file holds each event in order, without times.
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
