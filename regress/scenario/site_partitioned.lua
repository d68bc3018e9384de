-- Hosts that are cut off from all targets serve far fewer first attempts than
-- the others.
dofile("regress/scenario/lib_site.lua")
-- Time from the start of a cut until hosts must serve, and for which they are
-- observed; callers' first attempts at cut hosts must be served at least SHARE
-- times as often as those at the others.
local SETTLE, OBSERVED, SHARE = 3000, 1500, 2 / 3
-- Which hosts are cut off, and how.
local CASES = { { "some", "silent" }, { "some", "new" }, { "centre", "reset" },
    { "controller", "silent" }, { "controller", "reset" } }
local s = standard_site { sources = true, hosts = 5, plain = 4, keyed = 4 }
local function share(r)
	return r.sent == 0 and 1 or r.served / r.sent
end
-- Returns the hosts to cut off.
local function choose(which)
	local controller = await("a controller", 5000, function()
		return s:controller()
	end)
	local cut = {}
	for _, n in ipairs(s.order) do
		local is_north = s.hosts[n].dc == "north"
		if which == "centre" and is_north or
		    which == "some" and n ~= controller and #cut < 2 or
		    which == "controller" and (n == controller or
		    n ~= "h1" and is_north) then
			table.insert(cut, n)
		end
	end
	return cut
end
for _, case in ipairs(CASES) do
	local which, how = case[1], case[2]
	local cut, set = choose(which), {}
	for _, n in ipairs(cut) do
		set[n] = true
	end
	s:cut_targets(cut, how)
	s:load_async(SETTLE, set)
	local at_cut, at_others = s:load_async(OBSERVED, set)
	check(share(at_others) > 0.9, "%s, %s: other hosts served %d of %d",
	    which, how, at_others.served, at_others.sent)
	check(share(at_cut) >= SHARE * share(at_others),
	    "%s, %s: cut hosts served %d of %d, the others %d of %d", which,
	    how, at_cut.served, at_cut.sent, at_others.served, at_others.sent)
	s:heal_targets()
	s:await_keys(5000)
end
s:stop_all()
s:journals_ok()
s:fences_ok()
say("hosts that are cut off from all targets serve like the others")
