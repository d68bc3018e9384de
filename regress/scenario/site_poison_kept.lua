-- Hosts let go of a request that is on probation when a controller that has just
-- begun does not know of it yet.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { crash = "poison", work = 20, hosts = 4 }
local function count(text)
	local n = 0
	for _, h in ipairs(s.order) do
		for _ in read_file(h .. ".log"):gmatch(text) do
			n = n + 1
		end
	end
	return n
end
local sent = 0
await("the request on probation", 10000, function()
	sent = sent + 1
	s:request(s.order[sent % 4 + 1], "/k/poison", { "X-Shard-Key: 700" })
	sleep_ms(200)
	s:revive_ended()
	return count("is now on probation") >= 4
end)
for i = 1, 5 do
	local n = s:controller()
	s:kill_host(n)
	s:start_host(n)
	await("probation known to " .. n, 5000, function()
		return read_file(n .. ".log"):match("is now on probation")
	end)
	sleep_ms(600)
	local free = count("is now free")
	check(free == 0, "taken off probation %d times, though no run of it " ..
	    "was answered, by restart %d of the controller", free, i)
end
s:await_keys()
s:stop_all()
say("a request stays on probation when the controller is lost")
