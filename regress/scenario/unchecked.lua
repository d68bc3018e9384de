-- Targets that check no order-giver: no epoch, no fence.  A target freezes
-- and thaws with old renewals in its socket, a dispatcher is paused over its
-- lease and wakes.  What holds is the absolute expiry of grants and the check
-- before each send: the journals show one owner for each shard.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } },
	target = { unchecked = true } }
local l = f:load { "-r", "200", "-d", "10", "-q" }
f:await_load()
f:freeze(f.targets.t1.pid)
f:await_drained("lookup", "t1")
f:thaw(f.targets.t1.pid)
f:pause_dispatcher("aarhus")
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
-- A run after its grant's end is the one thing such a target may do: a
-- request that waited in its socket.  Owners are checked without the runs.
local args = {}
for _, t in ipairs(f.torder) do
	local kept = read_file(t .. ".journal"):gsub("start [^\n]*\n", "")
	write_file(t .. ".owners", kept)
	table.insert(args, path(t .. ".owners"))
end
local pid = spawn(path("jcheck.log"), BUILD .. "/standin/jcheck",
    table.unpack(args))
check(wait(pid) == 0, "journals: %s", read_file("jcheck.log"))
say("targets that check nothing: one owner throughout")
