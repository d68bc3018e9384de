-- All hosts are killed and started again at once, with an assignment in the
-- platform.  The host that takes control must read and claim the assignment and
-- move nothing.
local f = standard_fleet { dcs = { { "aarhus", 4, 3 } } }
local before = f:owners("lookup")
for _, n in ipairs(f.order) do
	f:kill_host(n)
end
for _, n in ipairs(f.order) do
	f:restart_host(n)
end
f:await_served("lookup")
check(f:owners("lookup") == before, "shards moved")
f:stop_all()
f:journals_ok()
say("all hosts restarted, no shard moved")
