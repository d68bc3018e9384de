-- A data centre is cut off from the others and from the platform; its cell
-- stays (one data centre).  Callers there are served its keys throughout, the
-- others theirs; nobody takes the cut-off keys over.  When the cut heals all
-- hosts serve all keys, and no shard has moved.
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
check(st ~= 200, "served from elsewhere")
say("from elsewhere: refused or unknown, never another owner")
f:cut_dc("aarhus", false)
f:await_served("lookup")
check(f:owners("lookup") == before, "shards moved")
f:stop_all()
f:journals_ok()
say("healed, no shard moved")
