-- One caller of the soak, a process of its own: asks over connections that it
-- keeps open, as long as the host keeps them, and notes for each request what
-- became of it, until there is a file "enough".
-- ARG: id=N seed=N hosts=ADDR,ADDR,...
local id = ARG:match("id=(%d+)")
math.randomseed(tonumber(ARG:match("seed=(%d+)")) * 1000 + tonumber(id))
local hosts = {}
for a in ARG:match("hosts=(%S+)"):gmatch("[^,]+") do
	table.insert(hosts, a)
end
-- How long a caller waits, and how much longer for a late answer.
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

-- An answer with success is a target's own: signed, whole, to this request.
local function is_own(rid, kind, body, heads)
	local path, to = body:match("^%S+ (%S+) (%S+)")
	return heads:match("X%-Response%-Signature: ") ~= nil and
	    path == "/" .. kind .. "/" .. rid and to == rid
end

local open, n = {}, 0
local function enough()
	local f = n % 10 == 0 and io.open(WORK .. "/enough")
	return f and f:close()
end

while not enough() do
	n = n + 1
	local host = hosts[math.random(#hosts)]
	local kind, key = KINDS[math.random(3)], math.random(0, 65535)
	local rid = "q" .. id .. "-" .. n
	local c = open[host] or dial(host)
	local kept = open[host] ~= nil
	open[host] = nil
	if not c then
		sleep_ms(20)
	else
		local at = now_ms()
		local sent = send(c, request(kind, rid, key))
		local st, body, heads = answer(c, DEADLINE_MS + LATE_MS)
		local what = st == 0 and body or tostring(st)
		if not sent then
			what = "unsent"
		elseif st == 200 and not is_own(rid, kind, body, heads) then
			what = "wrong"
		end
		out:write(string.format("%s %s %d %s %.1f %.1f %s %s\n", rid,
		    kind, key, host, at, now_ms(), kept and "kept" or "new",
		    what))
		if st ~= 0 and not heads:match("[Cc]onnection: close") and
		    math.random(20) > 1 then
			open[host] = c
		else
			hang_up(c)
		end
		sleep_ms(math.random(0, 12))
	end
end
out:close()
