-- Targets run requests and lose the answers, cut them short, or answer for
-- another request.  A request that may run twice is retried; for one that may
-- run only once, the caller is told that the outcome is unknown, never that it
-- has not run.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { plain = 2 }
local function fault_both(q)
	s:server_fault("i-1", q)
	s:server_fault("i-2", q)
end
fault_both("lose=1")
local st = s:request("h1", "/any/1")
check(st == 200 or st == 502, "answer lost twice: %d", st)
for _ = 1, 4 do
	s:request("h1", "/any/1")
end
fault_both("lose=1")
local got = {}
for i = 1, 6 do
	got[s:request("h1", "/once/" .. i, nil, "POST", "b")] = true
end
check(got[502] and not got[503] and not got[429],
    "lost answer: not reported as unknown")
fault_both("lose=0&cut=1")
got = {}
for i = 1, 6 do
	got[s:request("h1", "/once/c" .. i, nil, "POST", "b")] = true
end
check(got[502] and not got[503], "answer cut short: not reported as unknown")
-- The connection ends within the head, after the signature and before any
-- length.
fault_both("cut_head=100")
for i = 1, 6 do
	st = s:request("h1", "/once/h" .. i, nil, "POST", "b")
	check(st == 502, "answer broken off in its head was forwarded: %d", st)
	st = s:request("h1", "/any/h" .. i)
	check(st == 502, "answer broken off in its head was forwarded: %d", st)
end
fault_both("cut_head=0&foreign=1")
st = s:request("h1", "/once/f", nil, "POST", "b")
check(st == 502, "answer to another request was forwarded: %d", st)
fault_both("foreign=0&fail=1")
local _, body = s:request("h1", "/once/e", nil, "POST", "b")
check(body:match("^i%-%d "), "target's error answer was not forwarded")
fault_both("fail=0")
check(s:request("h1", "/any/2") == 200, "not served after the faults")
s:stop_all()
s:journals_ok()
say("each outcome is reported correctly")
