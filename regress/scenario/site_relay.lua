-- While the controller is lost, standbys broadcast changes of the store to all
-- hosts.  Hosts too small for that must not.
dofile("regress/scenario/lib_site.lua")
local HOSTS = 6
local SMALL = "cores = 0.002\nlink_mbps = 1000"

-- Counts the broadcasts of standbys in a fleet that loses its controller.
local function broadcasts(size, first_port)
	local sizes = {}
	for i = 1, HOSTS do
		sizes["h" .. i] = size
	end
	local s = standard_site { hosts = HOSTS, size = sizes,
	    next = first_port }
	await("two standbys", 15000, function()
		local r = s:record()
		return r and #r.standbys == 2
	end)
	local first = s:controller()
	s:kill_host(first)
	await("another controller", 12000, function()
		return s:controller() ~= first
	end)
	local n = 0
	for _, h in ipairs(s.order) do
		n = n + (h ~= first and s:metric(h, "store_news") or 0)
	end
	s:stop_all()
	return n
end

check(broadcasts(nil) > 0, "large hosts do not relay")
say("large hosts relay")
check(broadcasts(SMALL, 50) == 0, "small hosts relay")
say("small hosts do not")
