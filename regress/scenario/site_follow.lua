-- Hosts that lose their controller or start beside one do not list the targets
-- from the store: lists of large fleets are many calls, made by all hosts.
dofile("regress/scenario/lib_site.lua")
local HOSTS = 5
local s = standard_site { hosts = HOSTS }
await("two standbys", 15000, function()
	local r = s:record()
	return r and #r.standbys == 2
end)
-- Heartbeats name the version of the store once all have the same targets.
s:load(1500)

-- Counts the pages of lists that hosts have read, but those of one.
local function pages(but)
	local n = 0
	for _, h in ipairs(s.order) do
		n = n + (h ~= but and s:metric(h, "store_lists") or 0)
	end
	return n
end

local first = s:controller()
local before = pages(first)
s:kill_host(first)
await("another controller", 12000, function()
	return s:controller() ~= first
end)
s:load(1000)
local second = s:controller()
check(pages(first) == before, "%d pages were listed", pages(first) - before)
say("hosts that lose their controller list nothing")

-- The new controller follows the store from where the earlier one was.
s:drain("i-1")
local at = now_ms()
await("i-1 gets no requests", 2000, function()
	local n = s:server_fault("i-1", "")
	for _, h in ipairs(s.order) do
		if h ~= first then
			s:request(h, "/any/1")
			s:request(h, "/any/2")
		end
	end
	return s:server_fault("i-1", "") == n
end)
say("changes since are known to all")

s:start_host(first)
s:await_ready(first)
-- The configuration alone.
check(s:metric(first, "store_lists") == 1, "%d pages at a start",
    s:metric(first, "store_lists"))
check(s:controller() == second, "control moved")
say("a host that starts lists the configuration alone")
s:stop_all()
