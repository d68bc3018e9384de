-- An operator marks a target as leaving in the catalogue.  Its shards are held,
-- drained and moved without an error for any caller, and it gets no new work
-- after 2 s.  Then a target reports by itself that it drains.
local f = standard_fleet { dcs = { { "aarhus", 2, 3 } } }
local l = f:load { "-r", "300", "-d", "8" }
f:await_load()
f.targets.t1.leaving = true
f:put_entry(f.entries.lookup)
local from = now_ms()
f:await_drained("lookup", "t1", 2000)
local function ran(t)
	local _, b = http("GET", "http://" .. f.targets[t].addr .. "/load")
	return json(b).ran
end
local n = await("t1 idle", 2000 - (now_ms() - from) // 1, function()
	local a = ran("t1")
	sleep_ms(100)
	return a == ran("t1") and a
end)
f:target_fault("t2", "drain=1")
f:await_drained("lookup", "t2", 2500)
local s = l:finish()
check(ran("t1") == n, "t1 ran requests after it had drained")
check(failures(s) == 0, "callers saw %d failures", failures(s))
f:stop_all()
f:journals_ok()
say("drained within 2 s, no caller saw an error")
