-- A dispatcher is paused well over its lease and wakes as though nothing had
-- happened, with requests in its sockets.  Another host has its target by
-- then; the woken one looks at its lease before it sends anything, finds it
-- lapsed, and gives all it held back as not run.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } } }
local l = f:load { "-r", "300", "-d", "7" }
f:await_load()
f:pause_dispatcher("aarhus")
local s = l:finish()
check(s.wrong == 0, "wrong answers")
f:await_served("lookup")
f:stop_all()
f:journals_ok()
say("a paused dispatcher woke, one owner throughout")
