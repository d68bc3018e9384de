-- A data centre is cut off from the others and from the platform.  Its cell
-- lies in that data centre alone, so its keys do not move: callers there are
-- served them throughout, the other data centre serves its own, and no host
-- takes over the cut-off keys.  Once the cut heals every host serves all keys,
-- and no shard has moved.
local f = standard_fleet { dcs = { { "aarhus", 3, 2 }, { "viborg", 3, 2 } },
	wires = true }
local before = f:owners("lookup")
f:await_standbys("aarhus")
f:await_standbys("viborg")
f:cut_dc("aarhus", true)
local keys = {}
for i = 1, 60 do
	local o = f:owner("lookup", "key-" .. i)
	if o.cell == "aarhus" then
		table.insert(keys, "key-" .. i)
	end
end
local till = now_ms() + 5000
while now_ms() < till do
	for _, k in ipairs(keys) do
		local st = f:get("aarhus2", "lookup", k)
		check(st == 200, "%s in the cut-off data centre: %d", k, st)
	end
end
say("keys of the cut-off data centre served there throughout")
local st, body = f:get("viborg1", "lookup", keys[1],
    { "Gspar-Deadline-Ms: 1500" })
check(st ~= 200, "served from the other data centre")
say("from the other data centre: refused or unknown")
f:cut_dc("aarhus", false)
f:await_served("lookup")
check(f:owners("lookup") == before, "shards moved")
f:stop_all()
f:journals_ok()
say("healed, no shard moved")
