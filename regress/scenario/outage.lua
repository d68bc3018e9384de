-- The platform is down for a while, and the data centre is intact.  The
-- controller cannot renew its record, but its standbys promise not to take
-- over, so it keeps renewing leases and changes nothing: no caller sees a
-- failure.  The same holds for a slow platform.  Then a host is lost during an
-- outage: its targets' keys wait for the platform, all others are served.
local f = standard_fleet { dcs = { { "aarhus", 5, 3 } } }
local before = f:owners("lookup")
local ctl = f:await_standbys("aarhus")
local l = f:load { "-r", "300", "-d", "7" }
f:await_load()
f:fault("down=1")
local s = l:finish()
check(failures(s) == 0, "failures while the platform was down: %d", failures(s))
check(f:controller("aarhus") == ctl, "the controller changed")
check(f:owners("lookup") == before, "shards moved")
f:fault("down=0")
say("platform down: no caller saw a failure")

f:fault("slow_ms=1000")
l = f:load { "-r", "300", "-d", "6" }
s = l:finish()
check(failures(s) == 0, "failures while the platform was slow: %d", failures(s))
check(f:controller("aarhus") == ctl, "the controller changed")
check(f:owners("lookup") == before, "shards moved")
f:fault("slow_ms=0")
say("platform slow: no caller saw a failure")

-- A member is lost during an outage; its targets wait for the platform.
f:fault("down=1")
local member
for _, h in ipairs(f.order) do
	member = f:status(h).cells[1].role == "member" and h or member
end
f:kill_host(member)
l = f:load { "-r", "300", "-d", "5" }
s = l:finish()
check(s.ok > 800, "keys of other hosts served: %d", s.ok)
f:fault("down=0")
f:await_served("lookup")
check(f:owners("lookup", ctl) == before, "shards moved")
f:stop_all()
f:journals_ok()
say("host lost while the platform was down: healed, one owner throughout")
