-- One caller of the soak, run as a process of its own.  It sends requests over
-- connections that it keeps open as long as the host does, and records the
-- outcome of each in caller<id>.txt, until the file "enough" exists.
-- ARG: id=N seed=N hosts=ADDR,ADDR,...
local id = ARG:match("id=(%d+)")
math.randomseed(tonumber(ARG:match("seed=(%d+)")) * 1000 + tonumber(id))
local hosts = {}
for a in ARG:match("hosts=(%S+)"):gmatch("[^,]+") do
	table.insert(hosts, a)
end
-- Deadline of each request, and how much longer to wait for a late answer.
local DEADLINE_MS, LATE_MS = 1400, 1500
local KINDS = { "any", "once", "k" }
local out = io.open(WORK .. "/caller" .. id .. ".txt", "w")
out:setvbuf("line")

local function request(kind, rid, key)
	local body = kind == "once" and "body of " .. rid or ""
	return (kind == "once" and "POST" or "GET") .. " /" .. kind .. "/" ..
	    rid .. " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " .. rid ..
	    "\r\nX-Deadline-Ms: " .. DEADLINE_MS .. "\r\n" ..
	    (kind == "k" and "X-Shard-Key: " .. key .. "\r\n" or "") ..
	    (#body > 0 and "Content-Length: " .. #body .. "\r\n" or "") ..
	    "\r\n" .. body
end

-- True if a successful answer is signed by a target and is for this request.
local function is_own(rid, kind, body, headers)
	local path, to = body:match("^%S+ (%S+) (%S+)")
	return headers:match("X%-Response%-Signature: ") ~= nil and
	    path == "/" .. kind .. "/" .. rid and to == rid
end

local idle, n = {}, 0
local function stop_requested()
	local f = n % 10 == 0 and io.open(WORK .. "/enough")
	return f and f:close()
end

while not stop_requested() do
	n = n + 1
	local host = hosts[math.random(#hosts)]
	local kind, key = KINDS[math.random(3)], math.random(0, 65535)
	local rid = "q" .. id .. "-" .. n
	local c = idle[host] or dial(host)
	local reused = idle[host] ~= nil
	idle[host] = nil
	if not c then
		sleep_ms(20)
	else
		local started = now_ms()
		local sent = send(c, request(kind, rid, key))
		local st, body, headers = answer(c, DEADLINE_MS + LATE_MS)
		local outcome = st == 0 and body or tostring(st)
		if not sent then
			outcome = "unsent"
		elseif st == 200 and not is_own(rid, kind, body, headers) then
			outcome = "wrong"
		end
		out:write(string.format("%s %s %d %s %.1f %.1f %s %s\n", rid,
		    kind, key, host, started, now_ms(),
		    reused and "kept" or "new", outcome))
		if st ~= 0 and not headers:match("[Cc]onnection: close") and
		    math.random(20) > 1 then
			idle[host] = c
		else
			hang_up(c)
		end
		sleep_ms(math.random(0, 12))
	end
end
out:close()
