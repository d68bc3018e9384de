-- Connections to a target go silent under load, kept ones and those with
-- requests on them; new ones work.  Nothing tells: callers would wait for their
-- deadlines.  The renewal of the grant is not answered, a second one on a new
-- connection is, and lookups are sent again: none fails, late ones within 2 s.
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
