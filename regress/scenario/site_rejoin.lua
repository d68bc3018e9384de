-- A host is killed and started again, over and over, while the others go on.
-- It hears from the controller before it has read from the slow store which
-- host that is.  Each time it must know the owners of keys within a second or
-- two and serve them; otherwise all keyed requests through it would wait for
-- their deadlines.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local n = s:controller() == "h3" and "h2" or "h3"
s:fault("slow=400")
for i = 1, 6 do
	s:kill_host(n)
	s:start_host(n)
	s:await_ready(n, 5000)
	await(n .. " serves keys", 3000, function()
		return s:request_key(n, 500 + i) == 200
	end)
	-- It still serves later: others hear it and send it updates.
	sleep_ms(1200)
	check(s:request_key(n, 60000) == 200, "start %d: keys not served later", i)
end
s:fault("slow=0")
s:drain("i-4")
await("keys of the draining target", 3000, function()
	for key = 500, 65535, 5000 do
		if s:request_key(n, key) ~= 200 then
			return false
		end
	end
	return true
end)
s:stop_all()
s:journals_ok()
say("served after each of six starts")
