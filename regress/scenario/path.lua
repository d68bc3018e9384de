-- The whole path of a request in two data centres, each with its own hosts and
-- targets.  Every host must serve every key, whichever data centre owns it, and
-- all must name the same owner.  Then all hosts stop.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 }, { "viborg", 2, 2 } } }

local serving = {}
for i = 1, 40 do
	local key = "parish-" .. i
	local first
	for _, n in ipairs(f.order) do
		local st, body, headers = f:get(n, "lookup", key,
		    { "Idempotency-Key: q" .. i })
		check(st == 200, "%s answered %d", n, st)
		local t = headers:match("Gspar%-Target: (%S+)")
		check(body == string.format("%s lookup %s q%d 0\n", t, key, i),
		    "not the answer to this request: %s", body)
		first = first or t
		check(t == first, "two owners: %s and %s", t, first)
		serving[t] = true
	end
	check(f:owner("lookup", key).target == first, "/v1/owner names another target")
end
for _, t in ipairs(f.target_order) do
	say("%s serves %s", t, tostring(serving[t] or false))
end
f:stop_all()
say("all hosts exited with 0")
f:journals_ok()
say("journals: one owner for each shard")
