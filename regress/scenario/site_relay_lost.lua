-- The host through which another one reaches the targets is killed, freezes or
-- stops: requests that may run once run twice, or all fail.
dofile("regress/scenario/lib_site.lua")
local RECOVERY = 1500
local s = standard_site { sources = true, hosts = 4, work = 30 }
local refused = {}
-- Sends requests of all kinds through h1 for `ms`; returns how many were sent and
-- failed.
local function load(ms)
	local till, sent, failed, n = now_ms() + ms, 0, 0, 0
	while now_ms() < till do
		n = n + 1
		local st, body, _, id
		if n % 3 == 0 then
			st, body, _, id = s:request("h1", "/once/" .. n, nil,
			    "POST", string.rep("x", n % 2 == 0 and 60000 or 20))
			refused[id] = st == 503 or st == 429
		elseif n % 3 == 1 then
			st = s:request("h1", "/any/" .. n)
		else
			st = s:request_key("h1", n * 5003 % 65536)
		end
		sent = sent + 1
		failed = failed + (st == 200 and 0 or 1)
	end
	return sent, failed
end
local function relay()
	return await("a relaying host", 3000, function()
		s:request("h1", "/any/x")
		return s:relay_of("h1")
	end)
end
s:cut_targets({ "h1" })
local n = relay()
local sent, failed = load(1000)
check(failed == 0, "%d of %d failed through %s", failed, sent, n)

s:kill_host(n)
load(RECOVERY)
check(relay() ~= n, "%s is used after its end", n)
sent, failed = load(1500)
check(failed == 0, "%d of %d failed after the end of %s", failed, sent, n)
s:start_host(n)

n = relay()
kill(s.hosts[n].pid, 19)
load(RECOVERY)
check(relay() ~= n, "%s is used while it is frozen", n)
sent, failed = load(1500)
check(failed == 0, "%d of %d failed beside frozen %s", failed, sent, n)
kill(s.hosts[n].pid, 18)
load(500)

n = relay()
kill(s.hosts[n].pid, 15)
s.hosts[n].dead = true
sent, failed = load(2500)
check(failed == 0, "%d of %d failed while %s stopped", failed, sent, n)
check(wait(s.hosts[n].pid) == 0, "%s did not stop well", n)
s:start_host(n)
s.hosts[n].dead = nil
s:heal_targets()
s:stop_all()
s:journals_ok(refused)
s:fences_ok()
say("requests go through another host when the relaying one is lost")
