-- All targets of a service fail every request, just after a host was lost.
-- Each host retries some of them: at most a fifth of the requests over all
-- hosts, plus 60.  The lost host may only be cut off, and still send: if the
-- others divided the 60 among themselves at once, both sides of a partition
-- would use all of it, and the targets would get more than the budget
-- allows.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 3 }
local lost = s:controller() == "h3" and "h2" or "h3"
s:kill_host(lost)
-- Long enough for the others to detect the loss and broadcast it.
s:load(4500)
s:drain("i-4")
s:load(1500)
local before = s:fail_plain()
s:request_each(100)
local retries = s:fail_plain() - before - 200
check(retries <= 40 + 40, "%d retries of 200 requests by two hosts of three",
    retries)
check(retries >= 20, "too few retries: %d", retries)
s:stop_all()
say("retries stay within the budget of all hosts")
