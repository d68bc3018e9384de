-- A partition inside a data centre: the controller, a standby and one target on
-- one side; the other standby, a member, two targets and the platform on the
-- other.  The controller reaches neither the platform nor all standbys, so its
-- hosts stop within their leases and refuse callers.  The other side takes over
-- and serves every key.  No key ever has two owners, and all hosts serve again
-- once the partition heals.
local f = standard_fleet { dcs = { { "aarhus", 4, 3 } }, wires = true }
local ctl, near, far = f:await_standbys("aarhus")
local side_a = { [ctl] = true, [near] = true, t1 = true }
local rest = {}
for _, n in ipairs(f.order) do
	rest[n] = not side_a[n] or nil
end
local l = f:load { "-r", "200", "-d", "9", only = rest }
f:await_load(far)
local function is_a(thing)
	return side_a[thing.name] or false
end
f:cut(is_a, true)
await("the other side has a controller", 5000, function()
	local n = f:controller("aarhus")
	return n and not side_a[n]
end)
local st = 200
await("the cut-off side refuses", 5000, function()
	st = f:get(ctl, "lookup", "key-1", { "Gspar-Deadline-Ms: 1500" })
	return st ~= 200
end)
say("cut-off side: refused")
await("the other side serves every key", 5000, function()
	for i = 1, 40 do
		if f:get(far, "lookup", "key-" .. i) ~= 200 then
			return false
		end
	end
	return true
end)
say("other side: every key served")
f:cut(is_a, false)
f:await_served("lookup")
local s = l:finish()
check(s.wrong + s.lost + s.bad == 0, "wrong answers")
check(s.fail_span_ms < 3000, "not served for %d ms", s.fail_span_ms)
f:stop_all()
f:journals_ok()
say("healed, one owner throughout")
