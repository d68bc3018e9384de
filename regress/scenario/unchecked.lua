-- Targets that check neither the epoch nor the fence of their dispatcher.  A
-- target is paused and resumes with old renewals in its socket; a dispatcher is
-- paused beyond its lease and resumes.  The absolute expiry of grants and the
-- check of the lease before each send must suffice: by the journals each shard
-- has one owner at a time.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } },
	target = { unchecked = true } }
local l = f:load { "-r", "200", "-d", "10", "-q" }
f:await_load()
f:pause(f.targets.t1.pid)
f:await_drained("lookup", "t1")
f:resume(f.targets.t1.pid)
f:pause_dispatcher("aarhus")
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
-- Such a target may run a request after its grant has lapsed, if the request
-- waited in its socket: the owners are checked without the runs.
local args = {}
for _, t in ipairs(f.target_order) do
	local owners = read_file(t .. ".journal"):gsub("start [^\n]*\n", "")
	write_file(t .. ".owners", owners)
	table.insert(args, path(t .. ".owners"))
end
local pid = spawn(path("jcheck.log"), BUILD .. "/standin/jcheck",
    table.unpack(args))
check(wait(pid) == 0, "journals: %s", read_file("jcheck.log"))
say("targets without epoch and fence checks: one owner throughout")
