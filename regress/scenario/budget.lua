-- Every request's answer is cut short by its target: to the router it may have
-- run, and lookups may be sent again.  The retry budget keeps the sum of what
-- the targets get within a tenth over the callers' own, and a burst.
local f = standard_fleet { dcs = { { "aarhus", 1, 2 } } }
f:target_fault("t1", "cut=1")
f:target_fault("t2", "cut=1")
local sent, asked = f:metric("aarhus1", "sent"),
    f:metric("aarhus1", "caller_requests")
local l = f:load { "-r", "200", "-d", "5", "-q", "-b", "2000" }
l:finish()
sent = f:metric("aarhus1", "sent") - sent
asked = f:metric("aarhus1", "caller_requests") - asked
check(asked > 900, "asked: %d", asked)
check(f:metric("aarhus1", "retries") > 50, "no retries: the test shows nothing")
check(sent <= asked * 1.1 + 25, "sent %d for %d asked", sent, asked)
f:stop_all()
say("all fail: retries within the budget")
