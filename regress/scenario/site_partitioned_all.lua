-- All hosts but one, or all, are cut off from the targets: the one that is left is
-- not used, or requests wait for their deadline though nobody can serve them.
dofile("regress/scenario/lib_site.lua")
local SETTLE, SHARE, REFUSED_WITHIN = 3000, 2 / 3, 250
local s = standard_site { sources = true, hosts = 5, plain = 4, keyed = 4 }
for _, how in ipairs({ "silent", "reset" }) do
	local set, cut = {}, {}
	for _, n in ipairs(s.order) do
		if n ~= "h3" then
			set[n] = true
			table.insert(cut, n)
		end
	end
	s:cut_targets(cut, how)
	s:load_async(SETTLE, set)
	local at_cut, at_other = s:load_async(1500, set)
	check(at_cut.served / at_cut.sent >= SHARE * at_other.served /
	    at_other.sent, "%s: cut hosts served %d of %d, the other %d of %d",
	    how, at_cut.served, at_cut.sent, at_other.served, at_other.sent)
	s:cut_targets(s.order, how)
	s:load_async(SETTLE, set)
	local slow = 0
	for i = 1, 20 do
		local from = now_ms()
		local st, _, header = s:request(s.order[i % 5 + 1], "/any/" .. i)
		check(st ~= 200, "%s: served behind the cut", how)
		slow = slow + (now_ms() - from > REFUSED_WITHIN and 1 or 0)
		check(st ~= 503 or header:match("Retry%-After"),
		    "no Retry-After")
	end
	check(slow <= 10, "%s: %d of 20 refusals are slow", how, slow)
	s:heal_targets()
	s:await_keys(5000)
	at_cut, at_other = s:load_async(1000, set)
	check(at_cut.served > 0.9 * at_cut.sent, "%s: after the cut %d of %d",
	    how, at_cut.served, at_cut.sent)
end
s:stop_all()
s:journals_ok()
s:fences_ok()
say("one host serves for all others, and nobody waits in vain")
