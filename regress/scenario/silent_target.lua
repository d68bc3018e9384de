-- Connections to a target go silent under load, idle ones and those with
-- requests, while new ones work.  Without detection callers would wait for
-- their deadlines.  The grant's renewal gets no answer but a second one on a
-- new connection does, and lookups are retried: none fails, and the slowest
-- takes less than 2 s.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } }, wires = true,
	entry = { deadline_ms = 3000 } }
local l = f:load { "-r", "300", "-d", "5" }
f:await_load()
http("POST", "http://" .. f.targets.t1.wire .. "/fault?silent=1")
local s = l:finish()
check(failures(s) == 0, "failed lookups: %d", failures(s))
check(s.max < 2000, "the longest took %d ms", s.max)
f:stop_all()
f:journals_ok()
say("no lookup failed, none took 2 s")
