-- A dispatcher is paused (SIGSTOP) far beyond its lease, and resumes with
-- requests in its sockets.  By then another host dispatches for its target.  It
-- must check its lease before it sends anything, find it lapsed and report the
-- requests that it holds as not run.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "300", "-d", "7" }
f:await_load()
f:pause_dispatcher("aarhus")
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("a paused dispatcher resumed, one owner throughout")
