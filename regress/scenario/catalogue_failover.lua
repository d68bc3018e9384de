-- The controller is lost, and an operator then changes the catalogue.  The new
-- controller polled the catalogue rarely as a member and must now poll it
-- often: otherwise the change is in force only after a minute, and the
-- controller itself keeps placing shards by the old entry.
local f = standard_fleet { dcs = { { "aarhus", 3, 2 } } }
f:kill_host(f:controller("aarhus"))
await("another controller", 5000, function()
	return f:controller("aarhus")
end)
local e = f.entries.lookup
e.deadline_ms = 1234
f:put_entry(e)
await("the change in force on the remaining hosts", 4000, function()
	for _, n in ipairs(f.order) do
		if not f.hosts[n].dead and
		    f:status(n).catalogue.lookup ~= e.version then
			return false
		end
	end
	return true
end)
f:stop_all()
say("a change after a failover in force within 4 s")
