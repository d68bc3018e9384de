-- A target that owns keys crashes and starts again under its id: at its address,
-- then at another, then twice in a row.  It knows nothing of its keys, and its
-- callers wait only until its next life is granted them; waiting for the last
-- grants of the life that is over would take three seconds more.  A target that
-- had said it leaves and starts again gets work again.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local id = "i-4"
local function own_keys()
	local keys = {}
	for key = 100, 65535, 2003 do
		local _, body = s:ask_key("h1", key)
		if body:find(id .. " ", 1, true) == 1 then
			table.insert(keys, key)
		end
	end
	return keys
end
local function served_again(what, ms)
	local from = now_ms()
	await(what, ms, function()
		for _, key in ipairs(own) do
			if s:ask_key("h1", key) ~= 200 then
				return false
			end
		end
		return true
	end)
end
own = own_keys()
check(#own > 3, "%s owns %d keys that are looked at", id, #own)
s:restart_server(id)
served_again("served at the same address", 2200)
s:restart_server(id, s:port())
served_again("served at another address", 2600)
s:restart_server(id)
s:restart_server(id)
served_again("served after two starts in a row", 2600)
s:drain(id)
await("keys elsewhere", 4000, function()
	return #own_keys() == 0
end)
s:restart_server(id)
await("work again after it had said it leaves", 5000, function()
	return s:server_fault(id, "x=1") > 0 or #own_keys() > 0
end)
say("each life of the target was served by")
s:stop_all()
s:journals_ok()
