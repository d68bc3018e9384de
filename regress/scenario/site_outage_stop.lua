-- The store is away while hosts are stopped and started: first a standby, then
-- the controller itself.  No host can take control without the store, so the
-- controller continues for as long as it may, by the final promise of the
-- standby, and every key keeps its owner.  All keys used to be without an owner
-- from 3 s after either stop until the store was back.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 4 }
local r = await("controller and standbys", 8000, function()
	local rec = s:record()
	return rec and rec.holder.host ~= "" and #rec.standbys == 2 and rec
end)
local ctl, standby = r.holder.host, r.standbys[1].host
s:fault("down=1")
local away = now_ms()
local function term(n)
	kill(s.hosts[n].pid, 15)
	s.hosts[n].dead = true
	return now_ms()
end
local sum = { any = 0, once = 0, key = 0 }
local function load_until(ms)
	while now_ms() - away < ms do
		local l = s:load(100)
		for k in pairs(sum) do
			sum[k] = sum[k] + l[k]
		end
	end
end
load_until(500)
term(standby)
load_until(4000)
check(wait(s.hosts[standby].pid) == 0, "%s did not stop well", standby)
s:start_host(standby)
s.hosts[standby].dead = true -- it cannot be ready without the store
load_until(4500)
local stopped = term(ctl)
load_until(11000)
check(wait(s.hosts[ctl].pid) == 0, "%s did not stop well", ctl)
check(sum.any + sum.once + sum.key == 0, "failed during the outage: %d %d %d",
    sum.any, sum.once, sum.key)
s:fault("down=0")
load_until(13500)
check(sum.any + sum.once + sum.key == 0,
    "failed after the store returned: %d %d %d", sum.any, sum.once, sum.key)
s.hosts[standby].dead = nil
say("store away, standby and controller stopped: no request failed")
s:start_host(ctl)
s.hosts[ctl].dead = nil
s:await_keys()
s:stop_all()
s:journals_ok()
