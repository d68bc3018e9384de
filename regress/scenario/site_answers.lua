-- Targets lose answers, break them off, or answer for another request.  What
-- may run twice is sent once more; of what may not, the caller hears that it
-- is not known, never that it has not run.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 2 }
local function both(q)
	s:server_fault("i-1", q)
	s:server_fault("i-2", q)
end
both("lose=1")
local st = s:ask("h1", "/any/1")
check(st == 200 or st == 502, "lost twice: %d", st)
for _ = 1, 4 do
	s:ask("h1", "/any/1")
end
both("lose=1")
local got = {}
for i = 1, 6 do
	got[s:ask("h1", "/once/" .. i, nil, "POST", "b")] = true
end
check(got[502] and not got[503] and not got[429], "lost: not told as unknown")
both("lose=0&cut=1")
got = {}
for i = 1, 6 do
	got[s:ask("h1", "/once/c" .. i, nil, "POST", "b")] = true
end
check(got[502] and not got[503], "cut: not told as unknown")
both("cut=0&foreign=1")
st = s:ask("h1", "/once/f", nil, "POST", "b")
check(st == 502, "another's answer was passed on: %d", st)
both("foreign=0&fail=1")
local _, body = s:ask("h1", "/once/e", nil, "POST", "b")
check(body:match("^i%-%d "), "a failure of the target was not passed on")
both("fail=0")
check(s:ask("h1", "/any/2") == 200, "not served after it")
s:stop_all()
s:journals_ok()
say("each told as what it was")
