-- Every target cuts its answers short.  The host cannot tell whether such a
-- request ran, and retries lookups.  The retry budget must limit what targets
-- receive to 1.1 times the callers' requests plus a burst.
local f = standard_fleet { dcs = { { "aarhus", 1, 2 } } }
f:target_fault("t1", "cut=1")
f:target_fault("t2", "cut=1")
local sent, requests = f:metric("aarhus1", "sent"),
    f:metric("aarhus1", "caller_requests")
local l = f:load { "-r", "200", "-d", "5", "-q", "-b", "2000" }
l:finish()
sent = f:metric("aarhus1", "sent") - sent
requests = f:metric("aarhus1", "caller_requests") - requests
check(requests > 900, "caller requests: %d", requests)
check(f:metric("aarhus1", "retries") > 50, "no retries: the test shows nothing")
check(sent <= requests * 1.1 + 25, "%d sent to targets for %d caller requests",
    sent, requests)
f:stop_all()
say("every answer cut short: retries within the budget")
