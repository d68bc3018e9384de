-- All hosts are killed at once, and start again.  Nobody is left who could
-- withdraw the old controller's standbys; that new processes have their
-- addresses proves that the old ones are gone.  All keys are with the same
-- targets as before.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local was = {}
for key = 500, 65535, 5000 do
	local _, body = s:ask_key("h1", key)
	was[key] = body:match("^%S+")
end
s:restart_all()
local from = now_ms()
s:await_keys(12000)
check(now_ms() - from < 8000, "served again after %.0f ms", now_ms() - from)
for key = 500, 65535, 5000 do
	local _, body = s:ask_key("h1", key)
	check(body:match("^%S+") == was[key], "key %d has moved", key)
end
say("served again by the same targets")
-- And keys can still be moved: the old controller is known to be gone.
s:drain("i-4")
await("its keys moved", 8000, function()
	for key = 500, 65535, 5000 do
		local st, body = s:ask_key("h1", key)
		if st ~= 200 or body:match("^i%-4 ") then
			return false
		end
	end
	return true
end)
s:stop_all()
s:journals_ok()
say("keys move again")
