-- The same as site_unread, at the native interface: a reset discards what the
-- caller has not read of its answer.
dofile("regress/scenario/lib_unread.lua")
local MAX_BODY, STOP_MS = 65536, 20000
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } },
    target = { slots = 60, work = WORK_MS },
    entry = { body = MAX_BODY, deadline_ms = 20000 } }
local h = f.hosts.aarhus1
local PATH = "/v1/lookup/key-1?size=" .. ANSWER_SIZE
local function get(lines, version)
	return "GET " .. PATH .. " HTTP/" .. (version or "1.1") ..
	    "\r\nHost: x\r\n" .. (lines or "") .. "\r\n"
end
local function post(size, sent)
	return "POST /v1/lookup/key-1 HTTP/1.1\r\nHost: x\r\n" ..
	    "Content-Length: " .. size .. "\r\n\r\n" .. ("x"):rep(sent)
end
local all = open_each_way(h.callers, get, post, MAX_BODY)
table.insert(all, open_metrics(h.admin))
send_behind(all)
read_slowly(all)
check_whole(all)
say("connections that end by a request: answers whole")

h.dead = true
all = open_for_stop(h.callers, get)
send_behind(all)
check_stop(all, h.pid, STOP_MS)
say("a host that stops: answers whole")
f:stop_all()
f:journals_ok()
