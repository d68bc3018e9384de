-- The store is away, and a host that follows it learns of its return from the
-- controller only.  Much later that host takes control, just before a target's
-- entry is removed.  It assumed that the store had only just returned, doubted
-- the removal for two seconds, and went on sending requests to a target that
-- must not be used any more.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 2, plain = 2, store_wires = true }
local first = await("a standby", 8000, function()
	local r = s:record()
	return r and r.holder and #r.standbys == 1 and r.holder.host
end)
local other = first == "h1" and "h2" or "h1"
local function count_logged(name, what)
	local _, n = read_file(name .. ".log"):gsub(what, "")
	return n
end
-- It follows the store while its controller is paused; then the store goes
-- away.
local follows = count_logged(other, "Following the store")
kill(s.hosts[first].pid, 19)
await("it follows the store", 5000, function()
	return count_logged(other, "Following the store") > follows
end)
sleep_ms(400)
s:fault("down=1")
await("the store is away", 9000, function()
	return count_logged(other, "Reading servers from the store failed") > 0
end)
sleep_ms(2500)
s:cut_store(other, true)
s:fault("down=0")
kill(s.hosts[first].pid, 18)
local before = count_logged(other, "Not following the store: controller")
await("it hears of the store from the controller", 9000, function()
	return count_logged(other, "Not following the store: controller") > before
end)
s:cut_store(other, false)
sleep_ms(3000)
kill(s.hosts[first].pid, 15)
await("it controls", 5000, function()
	return s:controller() == other
end)
-- The target in its own data centre, which it prefers.
local id = other == "h2" and "i-2" or "i-1"
s:request(other, "/any/x")
s:unregister(id)
local gone = now_ms()
while now_ms() < gone + 4000 do
	s:request(other, "/any/x")
end
check(wait(s.hosts[first].pid) == 0, "%s did not stop well", first)
s.hosts[first].dead = true
local last = 0
for at in read_file(id .. ".journal"):gmatch("run %S+ (%d+)") do
	last = math.max(last, tonumber(at) / 1000)
end
check(last < gone + 1700, "the target was used %.0f ms after its removal",
    last - gone)
check(last > 0, "the target was never used")
s:stop_all()
s:journals_ok()
say("the removed target is not used any more")
