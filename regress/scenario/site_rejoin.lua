-- A host is killed and started again, over and over, while the others go on.  It
-- hears the controller before it has read from the store, which is slow, who that
-- is.  Each
-- time it knows who owns which keys within a second or two, and serves them;
-- else all keyed requests through it would wait for their deadlines.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local n = s:controller() == "h3" and "h2" or "h3"
s:fault("slow=400")
for i = 1, 6 do
	s:kill_host(n)
	s:start_host(n)
	await(n .. " ready", 5000, function()
		return s:is_ready(n)
	end)
	await(n .. " serves keys", 3000, function()
		return s:ask_key(n, 500 + i) == 200
	end)
	-- And goes on to: it is heard, and told what changes.
	sleep_ms(1200)
	check(s:ask_key(n, 60000) == 200, "start %d: lost again", i)
end
s:fault("slow=0")
s:drain("i-4")
await("keys of the target that left", 3000, function()
	for key = 500, 65535, 5000 do
		if s:ask_key(n, key) ~= 200 then
			return false
		end
	end
	return true
end)
s:stop_all()
s:journals_ok()
say("served after each of six starts")
