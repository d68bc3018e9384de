-- All hosts are killed at once and start again.  No process is left that could
-- withdraw the earlier controller's standbys; that new processes use their
-- addresses proves that the old processes have ended.  All keys stay with their
-- targets.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local owners = {}
for key = 500, 65535, 5000 do
	local _, body = s:request_key("h1", key)
	owners[key] = body:match("^%S+")
end
s:restart_all()
local from = now_ms()
s:await_keys(12000)
check(now_ms() - from < 8000, "served again after %.0f ms", now_ms() - from)
for key = 500, 65535, 5000 do
	local _, body = s:request_key("h1", key)
	check(body:match("^%S+") == owners[key], "key %d has moved", key)
end
say("served again by the same targets")
-- Keys can still be moved: the earlier controller is known to have ended.
s:drain("i-4")
await("keys of i-4 moved", 8000, function()
	for key = 500, 65535, 5000 do
		local st, body = s:request_key("h1", key)
		if st ~= 200 or body:match("^i%-4 ") then
			return false
		end
	end
	return true
end)
s:stop_all()
s:journals_ok()
say("keys move again")
