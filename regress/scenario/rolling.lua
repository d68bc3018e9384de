-- Every host of a data centre is restarted in turn under a load of lookups and
-- reservations.  A stopping host hands over its targets and control and then
-- finishes its calls: no caller sees a failure, and no reservation runs twice.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local r = { name = "reserve", class = "reserve", shards = 32, cells = { {
	dcs = { "aarhus" }, targets = { f:add_target("r1", "aarhus"),
	    f:add_target("r2", "aarhus") } } } }
f:put_entry(r)
f:await_served("reserve")
local l = f:load { "-r", "200", "-d", "16" }
local c = f:load { "-r", "50", "-d", "16", "-c", "-s", "reserve" }
f:await_load()
for _, n in ipairs(f.order) do
	check(f:stop_host(n) == 0, "%s did not exit with 0", n)
	f:restart_host(n)
	await(n .. " back", 5000, function()
		return f:get(n, "lookup", "key-1") == 200
	end)
end
local s, t = l:finish(), c:finish()
check(failures(s) == 0, "failed lookups: %d", failures(s))
say("lookups: none failed")
check(t.wrong + t.lost + t.bad == 0, "reservations answered wrongly or lost")
check(t.ok > 500, "reservations: %d", t.ok)
f:stop_all()
f:journals_ok()
say("reservations: none ran twice")
