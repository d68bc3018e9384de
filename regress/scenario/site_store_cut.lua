-- The store breaks off all answers within their head, in which it said that
-- there is no such object.  Nothing is taken for gone, nobody sees a failure,
-- and such calls count as failed.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
local function failures()
	local n = 0
	for _, h in ipairs(s.order) do
		n = n + s:metric(h, "store_failures")
	end
	return n
end
local before = failures()
s:fault("cut_head=404")
local r = s:load(3000)
check(r.any + r.once + r.key == 0, "failed: %d %d %d (%s)", r.any, r.once,
    r.key, r.last)
check(failures() > before + 10, "only %d calls counted as failed",
    failures() - before)
s:fault("cut_head=0")
await("the store used again", 5000, function()
	local n = failures()
	local served = s:load(1000)
	return failures() == n and served.any + served.once + served.key == 0
end)
s:stop_all()
s:journals_ok()
say("answers that ended in their head were no answers")
