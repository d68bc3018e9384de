-- Hosts with few requests, and a controller with none, do not notice that they
-- are cut off from all targets: their next requests fail, and grants lapse.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { sources = true, hosts = 4 }
local function serve(n, key)
	return s:request_key(n, key) == 200 and s:request(n, "/any/x") == 200
end
for _, how in ipairs({ "silent", "reset", "new" }) do
	local controller = await("a controller", 5000, function()
		return s:controller()
	end)
	local other = controller == "h1" and "h2" or "h1"
	s:cut_targets({ other }, how)
	-- The first request may meet the cut.
	serve(other, 500)
	sleep_ms(600)
	for key = 700, 6700, 1500 do
		check(serve(other, key), "%s: a request is not served", how)
		sleep_ms(300)
	end
	s:heal_targets()
	s:cut_targets({ controller }, how)
	-- Grants are held for 3 s.
	local till = now_ms() + 5000
	while now_ms() < till do
		for _, n in ipairs(s.order) do
			check(n == controller or serve(n, 9000),
			    "%s: keys are not granted", how)
		end
		sleep_ms(100)
	end
	s:heal_targets()
end
s:stop_all()
s:journals_ok()
s:fences_ok()
say("hosts with few requests notice a cut, a controller with none keeps grants")
