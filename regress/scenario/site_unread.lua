-- A host closes a connection while the kernel has unread bytes of its caller, or
-- gets some later: the reset discards what the caller has not read of its answer.
dofile("regress/scenario/lib_site.lua")
dofile("regress/scenario/lib_unread.lua")
local MAX_BODY, GRACE_MS = 65536, 6000
local s = standard_site { hosts = 2, slots = 60 }
s:configure({ route("r1", "/any/", "safe", "plain", { timeout = "20s" }),
    route("r3", "/k/", "safe", "keyed") }, nil,
    '"max_header_bytes":16384,"max_body_bytes":' .. MAX_BODY ..
    ',"header_timeout":"300ms","idle_timeout":"1000ms"')
for _, id in ipairs(s.sorder) do
	if not s.servers[id].opt.keyed then
		s:server_fault(id, "work=" .. WORK_MS .. "&size=" .. ANSWER_SIZE)
	end
end
local nrequests = 0
local function head(line, lines)
	nrequests = nrequests + 1
	return line .. "\r\nHost: a.example\r\nX-Request-Id: u" .. nrequests ..
	    "\r\nX-Deadline-Ms: 20000\r\n" .. lines .. "\r\n"
end
local function get(lines, version)
	return head("GET /any/1 HTTP/" .. (version or "1.1"), lines or "")
end
local function post(size, sent)
	return head("POST /any/1 HTTP/1.1", "Content-Length: " .. size ..
	    "\r\n") .. ("x"):rep(sent)
end
await("the limits in force", 5000, function()
	local c = dial(s.hosts.h1.callers)
	send(c, "GET /any/1 HTTP/1.1\r\nX: ")
	local text = read_all(c) or ""
	hang_up(c)
	return text:match("^HTTP/1.1 408")
end)

local all = open_each_way(s.hosts.h1.callers, get, post, MAX_BODY)
table.insert(all, open_slow(s.hosts.h1.callers, "slow head", get(),
    { behind = "GET /any/1 HTTP/1.1\r\nX: ", trickle = "x", status = 408,
    piece = 8192 }))
table.insert(all, open_metrics(s.hosts.h1.admin))
send_behind(all)
read_slowly(all)
check_whole(all)
say("connections that end by a request: answers whole")

local idle, from = { open_slow(s.hosts.h1.callers, "idle", get(), {}) }, now_ms()
read_slowly(idle, function()
	if from and now_ms() > from + WORK_MS + 1500 then
		send(idle[1].conn, get())
		from = nil
	end
end)
check_whole(idle)
say("a connection that was idle for too long: answer whole")

s.hosts.h1.dead = true
all = open_for_stop(s.hosts.h1.callers, get)
send_behind(all)
check_stop(all, s.hosts.h1.pid, GRACE_MS)
say("a host that stops: answers whole")
s:stop_all()
s:journals_ok()
