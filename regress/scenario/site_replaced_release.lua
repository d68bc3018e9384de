-- A target takes the address of one that has ended, and the connections that
-- were opened for that one: releases on them are sent again though answered.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 3, plain = 1 }
local old = s.servers["i-2"]
s:kill_server("i-2")
local new = { id = "i-9", service = old.service, dc = old.dc, addr = old.addr,
    at = old.at, opt = old.opt }
s.servers["i-9"] = new
table.insert(s.sorder, "i-9")
s:start_server(new)
local function journal(what)
	return s:journal_counts("i-9", "^" .. what .. " (%d+ %d+)")
end
await("an order to i-2 at its address", 5000, function()
	return next(journal("grant"))
end)
s:unregister("i-2")
s:register("i-9")
await("a request served by i-9", 10000, function()
	for k = 500, 65500, 2500 do
		local _, body = s:request_key("h1", k)
		if body:match("^i%-9 ") then
			return true
		end
	end
end)
s:drain("i-9")
await("its keys at others", 10000, function()
	for k = 500, 65500, 2500 do
		local st, body = s:request_key("h1", k)
		if st ~= 200 or body:match("^i%-9 ") then
			return false
		end
	end
	return next(journal("release"))
end)
for range, n in pairs(journal("release")) do
	check(n == 1, "keys %s released %d times", range, n)
end
s:stop_all()
s:journals_ok()
say("releases on the connections of another target were answered")
