-- The platform breaks off all answers within their head, in which it said that
-- the call is done.  No list or object is taken for empty: no caller sees a
-- failure, and shards do not move.
local f = standard_fleet { dcs = { { "aarhus", 5, 3 } } }
local before = f:owners("lookup")
local ctl = f:await_standbys("aarhus")
local l = f:load { "-r", "300", "-d", "6" }
f:await_load()
f:fault("cut_head=200")
local s = l:finish()
check(failures(s) == 0, "failures: %d", failures(s))
check(f:controller("aarhus") == ctl, "the controller changed")
check(f:owners("lookup") == before, "shards moved")
check(f:metric(ctl, "store_failures") > 0, "broken answers not counted")
f:fault("cut_head=0")
f:await_served("lookup")
check(f:owners("lookup", ctl) == before, "shards moved afterwards")
f:stop_all()
f:journals_ok()
say("answers that ended in their head were no answers")
