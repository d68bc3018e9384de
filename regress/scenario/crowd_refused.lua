-- A request that is refused or given up for room gets an answer that it can
-- read and that is true: it has not run, and never does.
dofile("regress/scenario/lib_crowd.lua")
local SIZE, WORK_MS = 8 * MB, 1500
local s = standard_site { hosts = 1 }
s:limit_bodies(64 * MB,
    { route("r1", "/any/", "safe", "plain", { timeout = "20s" }),
    route("r2", "/once/", "unsafe", "plain", { timeout = "20s" }) })
local function set_work(ms)
	for _, id in ipairs(s.sorder) do
		s:server_fault(id, "work=" .. ms)
	end
end
set_work(WORK_MS)
local nposts = 0
local function head(size, more)
	nposts = nposts + 1
	return "POST /once/" .. nposts .. " HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: r" .. nposts .. "\r\nX-Deadline-Ms: 20000\r\n" ..
	    "Content-Length: " .. size .. "\r\n" .. more .. "\r\n"
end

-- Checks that an answer refuses a request with a promise and says when to come
-- back.
local function check_refusal(what, c)
	local text = read_all(c)
	hang_up(c)
	check(text:match("^HTTP/1.1 503 "), "%s: answered '%s'", what,
	    text:sub(1, 40))
	check(text:match("\r\nRetry%-After: 0%.%d+\r\n"), "%s: no time", what)
	check(text:match('"not_run"'), "%s: no promise", what)
end

-- A body that stops gives way to others.
local stopped = dial(s.hosts.h1.callers)
send(stopped, head(SIZE, "") .. ("x"):rep(SIZE - 1))
local busy = open_crowd(s.hosts.h1.callers, 8, function(c)
	send(c, head(SIZE, ""))
	send(c, ("x"):rep(SIZE))
end)
check_refusal("a body that stopped", stopped)
-- While these wait or run, there is no room for another large one: it is told
-- so before it sends its body.
local early = dial(s.hosts.h1.callers)
send(early, head(4 * SIZE, "Expect: 100-continue\r\n"))
check_refusal("a head", early)
for _, c in ipairs(busy) do
	hang_up(c)
end
set_work(5)
s:await_ordinary("h1", "afterwards")
s:stop_all()
s:journals_ok()
for _, id in ipairs(s.sorder) do
	for rid in read_file(id .. ".journal"):gmatch("came %d+ (r%d+)\n") do
		check(rid ~= "r1" and rid ~= "r10", "%s arrived", rid)
	end
end
say("refused with a promise that holds")
