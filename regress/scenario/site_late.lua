-- Requests at a host that is stopping.  One is complete only 4.8 s after the
-- order to stop, with a deadline beyond the host's end: the end could cut it
-- off while it runs, so it is refused at once and does not run.  One that began
-- earlier and that its target does not answer gets its answer before the host
-- ends.  Both connections used to end without an answer when the process was
-- killed.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
s:configure({ s.routes[1], s.routes[2], s.routes[3],
    route("r4", "/long/", "unsafe", "plain", { timeout = "20s" }) })
await("configuration in force", 3000, function()
	return s:request("h1", "/long/0", nil, "POST", "b") ~= 404
end)
local h = s.hosts.h1
local function begin(id, length)
	local c = dial(h.callers)
	send(c, "POST /long/" .. id .. " HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: " .. id .. "\r\nX-Deadline-Ms: 9000\r\n" ..
	    "Content-Length: " .. length .. "\r\n\r\n")
	return c
end
local function until_stopped_for(ms)
	await("time since the stop", ms + 1000, function()
		return now_ms() - h.stopped > ms
	end)
end
for _, id in ipairs(s.sorder) do
	s:server_fault(id, "work=9000")
end
kill(h.pid, 15)
h.stopped = now_ms()
local early, slow = begin("early", 1), begin("slow", 5)
send(early, "x")
for ms = 0, 4800, 1200 do
	until_stopped_for(ms)
	send(slow, "x")
end
local from = now_ms()
local st, body, headers = answer(slow, 2000)
check(st == 503, "late request: %s %s", st, body)
check(now_ms() - from < 200, "refused after %.0f ms", now_ms() - from)
check(headers:lower():match("retry%-after"), "no Retry-After")
st, body = answer(early, 2000)
check(st == 504, "running request: %s %s", st, body)
check(now_ms() - h.stopped < 5700, "answered after %.0f ms",
    now_ms() - h.stopped)
check(wait(h.pid) == 0, "h1 did not stop well")
check(now_ms() - h.stopped < 6000, "h1 took %.0f ms", now_ms() - h.stopped)
h.dead = true
s:journals_ok({ slow = true })
say("late request refused at once, running request answered before the end")
