-- Clients that let the host close their connections, and neither read nor close
-- but go on sending: connections that wait for them take all descriptors, or
-- hold up a stop.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, LIMIT, DESCRIPTORS_MAX, GRACE_MS = 600, 400, 300, 6000
local SIZE, RECEIVE_BUFFER, ROUNDS, LATE_CLIENTS = 200000, 4096, 30, 50
local s = standard_site { hosts = 1, descriptors = LIMIT }
for _, id in ipairs(s.sorder) do
	if not s.servers[id].opt.keyed then
		s:server_fault(id, "size=" .. SIZE)
	end
end
local crowd = {}
-- Adds a client to which the host has begun to send its answer.
local function add_client()
	local c = dial(s.hosts.h1.callers, RECEIVE_BUFFER)
	if not c then
		return
	end
	table.insert(crowd, c)
	send(c, "GET /any/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: l" ..
	    #crowd .. "\r\nX-Deadline-Ms: 1400\r\n" ..
	    "Connection: close\r\n\r\nx")
	await("an answer, or the end", 20000, function()
		return has_bytes(c)
	end)
end
for _ = 1, CLIENTS do
	add_client()
end
local lingered = 0
for _ = 1, ROUNDS do
	local n = descriptors(s, "h1")
	check(n < DESCRIPTORS_MAX, "%d descriptors", n)
	for _, c in ipairs(crowd) do
		send(c, "x")
	end
	sleep_ms(50)
	lingered = s:metric("h1", "connections_lingered")
end
check(lingered > CLIENTS / 4, "only %d closed with an answer", lingered)
s:await_ordinary("h1", "beside the crowd")
check_host(s, "h1", "beside the crowd")
check(s:metric("h1", "answers_undelivered") > 0, "not counted")
check(read_file("h1.log"):match("connections closed before their peers had " ..
    "received %d+ bytes"), "not logged")
say("descriptors left, an ordinary request served")

-- The stop does not wait beyond its time for callers that read a little.
local late = #crowd + 1
for _ = 1, LATE_CLIENTS do
	add_client()
end
local from, status = now_ms()
kill(s.hosts.h1.pid, 15)
s.hosts.h1.dead = true
while not status do
	for i = late, #crowd do
		read_some(crowd[i], 1024)
	end
	sleep_ms(100)
	status = wait(s.hosts.h1.pid, true)
	check(now_ms() - from < GRACE_MS, "h1 still runs")
end
check(status == 0, "h1 ended with %d", status)
say("stopped in time")
hang_up_all(crowd)
s:journals_ok()
