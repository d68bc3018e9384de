-- A target breaks off its answer to a release within the head.  The release is
-- sent again: it is not known to have been answered, nor with which token.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { keyed = 3, plain = 1 }
s:server_fault("i-2", "cut_release=1")
s:drain("i-2")
local function releases()
	return s:journal_counts("i-2", "^release (%d+ %d+)")
end
await("a release sent again", 6000, function()
	for _, n in pairs(releases()) do
		if n == 2 then
			return true
		end
	end
end)
s:await_keys()
for range, n in pairs(releases()) do
	check(n <= 2, "keys %s released %d times", range, n)
end
s:stop_all()
s:journals_ok()
say("the release was sent again, and the keys moved")
