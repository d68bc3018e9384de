-- A target answers grants twice, and the second answer comes where that to a
-- release is due: the keys are granted to others amid the work on them.
dofile("regress/scenario/lib_site.lua")
local WORK = 700
local s = standard_site { keyed = 3, plain = 1 }
local keys = {}
for k = 1000, 65535, 5461 do
	local _, body = s:request_key("h1", k)
	if body:match("^i%-2 ") and #keys < 4 then
		table.insert(keys, k)
	end
end
check(#keys > 0, "i-2 has no key")
s:server_fault("i-2", "double=1&work=" .. WORK)
local began = {}
for _, k in ipairs(keys) do
	s:send_async("h1", "key", "/k/late", "X-Shard-Key: " .. k .. "\r\n")
	began[k] = await("the request at its target", 2000, function()
		return tonumber(read_file("i-2.journal"):match("run " .. k ..
		    " (%d+) q" .. s.request_count .. " "))
	end)
end
s:drain("i-2")
for _, k in ipairs(keys) do
	local granted = await("the key at another target", 8000, function()
		for _, e in ipairs(s:key_events()) do
			if e.what == "grant" and e.id ~= "i-2" and
			    e.from <= k and k <= e.to and e.at > began[k] then
				return e.at
			end
		end
	end)
	local after = (granted - began[k]) / 1000
	check(after >= WORK, "key %d granted %.0f ms after the work began, " ..
	    "which takes %d ms", k, after, WORK)
end
s:server_fault("i-2", "double=0&work=5")
s:await_keys()
s:stop_all()
s:journals_ok()
say("no key was granted amid the work on it")
