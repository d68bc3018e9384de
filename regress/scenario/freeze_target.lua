-- A target freezes, its keys are given to others, and it thaws as though
-- nothing had happened, with a renewal and a request in its socket.  The
-- renewal's expiry is past by its own clock and the request's fence is not
-- its own any more: it serves nothing until granted anew.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "300", "-d", "8" }
f:await_load()
f:freeze(f.targets.t1.pid)
f:await_drained("lookup", "t1")
f:thaw(f.targets.t1.pid)
await("t1 owns keys again", 10000, function()
	return f:owners("lookup"):find("t1 ")
end)
local s = l:finish()
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
f:stop_all()
f:journals_ok()
say("a frozen target came back, one owner throughout")
