-- The controller and one of its two standbys are lost together.  The other
-- standby must take over alone: by withholding its own promise it knows that
-- the old controller, if still alive, could not renew its lease.
local f = standard_fleet { dcs = { { "aarhus", 4, 3 } } }
local before = f:owners("lookup")
local ctl = f:controller("aarhus")
local standby = await("two standbys", 5000, function()
	local n, last = 0
	for _, h in ipairs(f.order) do
		for _, c in ipairs(f:status(h).cells) do
			if c.role == "standby" then
				n, last = n + 1, h
			end
		end
	end
	return n == 2 and last
end)
local l = f:load { "-r", "300", "-d", "7" }
f:await_load()
f:kill_host(ctl)
f:kill_host(standby)
local s = l:finish()
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
local new = f:controller("aarhus")
check(new, "no new controller")
check(f:owners("lookup", new) == before, "shards moved")
f:stop_all()
f:journals_ok()
say("controller and standby lost together, healed within 3 s")
