-- The whole path: a caller asks any host, the owner of the key answers.
-- Two data centres, each with its own hosts and targets; every host must
-- serve every key, whichever data centre owns it, and all must name the same
-- owner.  Then all stop in order.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 }, { "viborg", 2, 2 } } }

local seen = {}
for i = 1, 40 do
	local key = "parish-" .. i
	local first
	for _, n in ipairs(f.order) do
		local st, body, heads = f:get(n, "lookup", key,
		    { "Idempotency-Key: q" .. i })
		check(st == 200, "%s answered %d", n, st)
		local t = heads:match("Gspar%-Target: (%S+)")
		check(body == string.format("%s lookup %s q%d 0\n", t, key, i),
		    "not the answer to this request: %s", body)
		first = first or t
		check(t == first, "two owners: %s and %s", t, first)
		seen[t] = true
	end
	check(f:owner("lookup", key).target == first, "owner reads otherwise")
end
for _, t in ipairs(f.torder) do
	say("%s serves %s", t, tostring(seen[t] or false))
end
f:stop_all()
say("stopped in order")
f:journals_ok()
say("journals: one owner for each shard")
