-- A target that owns keys crashes and starts again under its id: at its address,
-- at another, then twice in a row.  It has lost its grants, and callers wait
-- only until its new incarnation gets them; waiting until the grants of the
-- earlier one expire would take three seconds more.  A target that had
-- announced that it leaves and starts again gets requests again.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local id = "i-4"
local function own_keys()
	local keys = {}
	for key = 100, 65535, 2003 do
		local _, body = s:request_key("h1", key)
		if body:find(id .. " ", 1, true) == 1 then
			table.insert(keys, key)
		end
	end
	return keys
end
local function await_served(what, ms)
	local from = now_ms()
	await(what, ms, function()
		for _, key in ipairs(own) do
			if s:request_key("h1", key) ~= 200 then
				return false
			end
		end
		return true
	end)
end
own = own_keys()
check(#own > 3, "%s owns only %d of the keys tried", id, #own)
s:restart_server(id)
await_served("served at the same address", 2200)
s:restart_server(id, s:port())
await_served("served at another address", 2600)
s:restart_server(id)
s:restart_server(id)
await_served("served after two starts in a row", 2600)
s:drain(id)
await("keys elsewhere", 4000, function()
	return #own_keys() == 0
end)
s:restart_server(id)
await("requests at a target that had announced its leave", 5000, function()
	return s:server_fault(id, "x=1") > 0 or #own_keys() > 0
end)
say("each incarnation of the target was used")
s:stop_all()
s:journals_ok()
