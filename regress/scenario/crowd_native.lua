-- The same crowds at the native interface: bodies without their last byte,
-- whole ones to a target that takes long, and silent clients of the admin
-- address.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE, WORK_MS, TOOLS = 40, 8 * MB, 300, 80
local f = standard_fleet { dcs = { { "aarhus", 1, 1 } },
    target = { work = WORK_MS }, entry = { body = SIZE, queue = 64 } }
local h = f.hosts.aarhus1
local head = "POST /v1/lookup/key HTTP/1.1\r\nHost: x\r\nContent-Length: " ..
    SIZE .. "\r\n\r\n"
local function await_ordinary(what)
	await(what .. ": an ordinary request served", 20000, function()
		return f:get("aarhus1", "lookup", "key-1") == 200
	end)
	check_host(f, "aarhus1", what)
end
for _, form in ipairs({ { "without the last byte", 1 }, { "whole", 0 } }) do
	local body = ("x"):rep(SIZE - form[2])
	local crowd = open_crowd(h.callers, CLIENTS, function(c)
		send(c, head)
		send(c, body)
	end)
	await_ordinary(form[1])
	hang_up_all(crowd)
	await_ordinary(form[1] .. ", afterwards")
	say("%s: memory bounded, an ordinary request served", form[1])
end
local crowd = open_crowd(h.admin, TOOLS, function(c)
	send(c, "GET /")
end)
await("admin answered", 20000, function()
	for _, c in ipairs(crowd) do
		send(c, "x")
	end
	return f:status("aarhus1")
end)
hang_up_all(crowd)
f:stop_all()
say("admin: answered")
