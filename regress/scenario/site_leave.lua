-- Targets leave in planned work: some announce it, the entries of others are
-- just removed.  Two seconds later none of them gets new requests, their keys
-- have moved to other targets, and no caller saw a failure.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 4, plain = 4 }
local since = {}
local r = s:load(5000, function(n)
	if n == 20 then
		s:drain("i-1")
		s:drain("i-5")
		since["i-1"], since["i-5"] = now_ms(), now_ms()
	elseif n == 60 then
		s:unregister("i-2")
		s:unregister("i-6")
		since["i-2"], since["i-6"] = now_ms(), now_ms()
	end
end)
check(r.any + r.once + r.key == 0, "failed: %d any, %d once, %d keyed (%s)",
    r.any, r.once, r.key, r.last)
for id, at in pairs(since) do
	for t in read_file(id .. ".journal"):gmatch("run %S+ (%d+)") do
		check(tonumber(t) / 1000 < at + 2000,
		    "%s got a new request %.0f ms after it left", id,
		    tonumber(t) / 1000 - at)
	end
end
s:stop_all()
s:journals_ok()
say("no request failed, none was sent late")
