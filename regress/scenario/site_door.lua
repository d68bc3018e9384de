-- Malformed requests and slow clients.  Each is refused, or its connection is
-- closed in time, and other callers are not affected.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1 }
local at = s.hosts.h1.callers

local function check_answer(name, bytes, want)
	local text = raw(at, bytes)
	check(text:match(want), "%s: %s", name, text:sub(1, 60))
	check(not text:match("HTTP/1.1 %d+.*\nHTTP/1.1 200"),
	    "%s: a second answer", name)
	say("%s", name)
end
local get = "GET /any/1 HTTP/1.1\r\n"
check_answer("no Host header", get ..
    "X-Request-Id: a1\r\n\r\n", "^HTTP/1.1 400")
check_answer("both Content-Length and Transfer-Encoding",
    "POST /once/1 HTTP/1.1\r\n" ..
    "Host: a.example\r\nX-Request-Id: a2\r\nContent-Length: 4\r\n" ..
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" ..
    "GET /any/2 HTTP/1.1\r\nHost: a.example\r\n\r\n", "^HTTP/1.1 400")
check_answer("header too large", get .. "Host: a.example\r\nX-Big: " ..
    ("x"):rep(60000) .. "\r\n\r\n", "^HTTP/1.1 4[13][31]")
check_answer("body too large", "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n" ..
    "X-Request-Id: a3\r\nContent-Length: 70000\r\n\r\n" ..
    ("x"):rep(70000), "^HTTP/1.1 413")
check_answer("deadline that is not a number", get .. "Host: a.example\r\n" ..
    "X-Request-Id: a4\r\nX-Deadline-Ms: soon\r\n\r\n", "^HTTP/1.1 400")
-- A request is hidden in the body of another one, whose head can be read in two
-- ways.
local hidden = "POST /once/h HTTP/1.1\r\nHost: a.example\r\n" ..
    "X-Request-Id: a9\r\nContent-Length: 0\r\n\r\n"
local length = "Content-Length: " .. #hidden .. "\r\n"
for name, lines in pairs({
	["two lengths"] = "Content-Length: 0\r\n" .. length,
	["carriage return in a value"] = length ..
	    "X-Note: a\rContent-Length: 0\r\n",
	["space after a name"] = "Content-Length : " .. #hidden .. "\r\n",
	["length on a continuation line"] = "Content-Length:\r\n " ..
	    #hidden .. "\r\n",
	["coding on a continuation line"] = "Transfer-Encoding:\r\n chunked\r\n",
	["length with a sign"] = "Content-Length: +" .. #hidden .. "\r\n",
	["unknown coding"] = "Transfer-Encoding: x\r\n",
	["two ids"] = "X-Request-Id: a9\r\n" .. length }) do
	local answers = raw(at, "POST /once/o HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: a8\r\n" .. lines .. "\r\n" .. hidden)
	check(answers:match("^HTTP/1.1 400"), "%s: %s", name,
	    answers:sub(1, 60))
	check(not answers:match("\nHTTP/1.1 [235]"), "%s: a second answer",
	    name)
end
check_answer("carriage return in the path", "POST /once/o\rX: HTTP/1.1\r\n" ..
    "Host: a.example\r\nX-Request-Id: a8\r\n" .. length .. "\r\n" ..
    hidden, "^HTTP/1.1 400")
check_answer("not HTTP", "\0\1\2\r\n\r\n", "^$")

-- A client that never completes its header, and one that sends nothing.
local c, idle = dial(at), dial(at)
send(c, get)
local from = now_ms()
local text = read_all(c)
check(now_ms() - from < 9000, "an incomplete header was kept for %.0f ms",
    now_ms() - from)
check(text == "" or text:match("^HTTP/1.1 408"), "incomplete header: %s", text)
read_all(idle)
check(now_ms() - from < 12000, "an idle connection was kept")
say("slow and idle connections closed")
check(s:request("h1", "/any/1") == 200, "other callers are not served")
-- None of the refused requests ran.
for _, id in ipairs(s.sorder) do
	check(not read_file(id .. ".journal"):match(" a%d "),
	    "%s ran a refused request", id)
end
s:stop_all()
say("no refused request ran")
