-- An operator marks a target as leaving in the catalogue.  Its shards are
-- held, drained and moved; no caller sees an error, and 2 s later it gets no
-- new work.  Then a target says so itself.
local f = standard_fleet { dcs = { { "aarhus", 2, 3 } } }
local l = f:load { "-r", "300", "-d", "8" }
f:await_load()
f.targets.t1.leaving = true
f:put_entry(f.entries.lookup)
local from = now_ms()
await("t1 drained", 2000, function()
	return not f:owners("lookup"):find("t1")
end)
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
await("t2 drained", 2500, function()
	return not f:owners("lookup"):find("t2")
end)
local s = l:finish()
check(ran("t1") == n, "t1 got work after it had drained")
check(failures(s) == 0, "callers saw %d failures", failures(s))
f:stop_all()
f:journals_ok()
say("drained within 2 s, no caller saw an error")
