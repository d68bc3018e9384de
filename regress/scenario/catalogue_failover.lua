-- The controller is lost, and an operator edits the catalogue afterwards.  The
-- new controller was a plain host that looked rarely; it must look often from
-- then on, or the change is in force only after a minute, and the controller
-- itself goes on placing shards by the old entry.
local f = standard_fleet { dcs = { { "aarhus", 3, 2 } } }
f:kill_host(f:controller("aarhus"))
await("another controller", 5000, function()
	return f:controller("aarhus")
end)
local e = f.entries.lookup
e.deadline_ms = 1234
f:put_entry(e)
await("the change in force on the hosts left", 4000, function()
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
