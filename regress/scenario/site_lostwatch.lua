-- While the controller does not reach the store, its standbys relay changes.
-- Every host used to read the store itself meanwhile.
dofile("regress/scenario/lib_site.lua")
local HOSTS = 10
local s = standard_site { hosts = HOSTS, store_wires = true }
local r = await("two standbys", 8000, function()
	local r = s:record()
	return r and #r.standbys == 2 and r
end)

-- Counts the reads and watches that the store has got.
local function store_calls()
	local _, text = http("GET", "http://" .. s.platctl .. "/")
	return tonumber(text:match("reads (%d+)")) +
	    tonumber(text:match("watches (%d+)"))
end

-- Without faults only the controller and its standbys call the store.
await("few calls to the store", 15000, function()
	local n = store_calls()
	sleep_ms(2000)
	return store_calls() - n < 3 * HOSTS
end)
local before, own_reads = store_calls(), 0
s:cut_store(r.holder.host, true)
await("another controller", 12000, function()
	own_reads = own_reads + 1 -- by this test, not by a host
	return s:controller() ~= r.holder.host
end)
sleep_ms(2000)
local calls = store_calls() - before - own_reads
-- Ten such faults a day with 295 hosts must stay under 3,600 calls, little more
-- than one per host and fault; besides, the controllers and standbys go on
-- reading.
local max_calls = 40 + math.floor(1.2 * HOSTS)
check(calls <= max_calls, "%d calls to the store, %d are allowed", calls,
    max_calls)
s:stop_all()
s:journals_ok()
say("few calls to the store")
