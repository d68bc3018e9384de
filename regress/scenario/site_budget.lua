-- All targets of a service fail each request, just after a host was lost.  Each
-- host sends part of them once more: over all hosts a fifth of the requests,
-- and 60.  The lost one may be cut off only, and go on sending: if the others
-- divided the 60 among themselves at once, both sides of a cut would use all
-- of it, and the targets get more than they were promised.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 3 }
local function runs()
	return s:server_fault("i-1", "fail=1") + s:server_fault("i-2", "fail=1") +
	    s:server_fault("i-3", "fail=1")
end
local lost = s:controller() == "h3" and "h2" or "h3"
s:kill_host(lost)
-- Long enough for the others to miss it, and to spread that they do.
s:load(4500)
s:drain("i-4")
s:load(1500)
local before = runs()
for i = 1, 100 do
	for _, n in ipairs(s.order) do
		if n ~= lost then
			s:ask(n, "/any/" .. i)
		end
	end
end
local again = runs() - before - 200
check(again <= 40 + 40, "%d repeats of 200 requests by two hosts of three",
    again)
check(again >= 20, "no repeats: %d", again)
s:stop_all()
say("repeats within the budget of all hosts")
