-- The first of the platform's addresses does not answer.  Hosts use the next
-- one, and callers are served as with a single address.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } },
	platform_before = "127.0.0.1:9 " }
local s = f:load({ "-r", "100", "-d", "2" }):finish()
check(failures(s) == 0, "failed: %d", failures(s))
f:stop_all()
f:journals_ok()
say("served through the platform's second address")
