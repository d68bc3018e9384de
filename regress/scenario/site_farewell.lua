-- Hosts without control are stopped one after the other, as in a rolling
-- upgrade.  Callers see no failure; but each of them used to report on its
-- stop that control was vacant, so every other host read the whole store again
-- and sent no load reports for up to 300 ms.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 6 }
local r = await("two standbys", 8000, function()
	local r = s:record()
	return r and #r.standbys == 2 and r
end)

local function follows()
	local n = 0
	for _, name in ipairs(s.order) do
		for _ in read_file(name .. ".log"):gmatch("Following the store") do
			n = n + 1
		end
	end
	return n
end

-- Wait until all know that the controller follows the store for them.
local before = follows()
await("no more hosts follow the store", 5000, function()
	local n = follows()
	local unchanged = n == before
	before = n
	sleep_ms(1200)
	return unchanged
end)
local stops = 0
for _, name in ipairs(s.order) do
	if name ~= r.holder.host and name ~= r.standbys[1].host and
	    name ~= r.standbys[2].host then
		check(s:stop_host(name) == 0, "%s did not stop well", name)
		stops = stops + 1
	end
end
local l = s:load(1200)
check(l.any + l.once + l.key == 0, "failed: %d any, %d once, %d keyed",
    l.any, l.once, l.key)
check(stops == 3 and follows() == before,
    "after %d stops hosts followed the store %d times", stops,
    follows() - before)
s:stop_all()
s:journals_ok()
say("no host read the store again")
