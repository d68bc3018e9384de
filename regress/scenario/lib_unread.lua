-- Library of the scenarios in which a host ends a connection while its caller
-- still reads an answer on it, and sends more.
ANSWER_SIZE = 600000
local PIECE, RECEIVE_BUFFER = 16384, 32768
local PAUSE_MS = 80 -- so that an answer takes some 3 s
local READ_MS = 15000
-- Targets work for so long, and what is sent behind a request comes meanwhile.
WORK_MS = 300
local BEHIND_MS = 100

-- Sends `first`, a request for a large answer, on a connection of its own.  In
-- `more`: `behind` is sent while the request is at its target, `later` while
-- the answer is read, `trickle` over and over from then on; `status` is that of
-- the answer to what came behind.
function open_slow(addr, what, first, more)
	local r = { what = what, text = "", conn = dial(addr, more.buffer or
	    RECEIVE_BUFFER) }
	for k, v in pairs(more) do
		r[k] = v
	end
	check(r.conn and send(r.conn, first), "%s: not sent", what)
	return r
end

-- Sends what comes behind the requests.
function send_behind(all)
	sleep_ms(BEHIND_MS)
	for _, r in ipairs(all) do
		send(r.conn, r.behind or "")
	end
end

-- Sends what is due on a connection on which an answer is being read.
local function send_later(r)
	if r.later and #r.text > 4 * PIECE then
		send(r.conn, r.later)
		r.later = nil
	elseif r.trickle and #r.text > 0 then
		send(r.conn, r.trickle)
	end
end

-- Reads from connections, a piece of each at a time, until all of them end.
-- each() is called before each piece.
function read_slowly(all, each)
	local till, open = now_ms() + READ_MS, #all
	while open > 0 and now_ms() < till do
		open = 0
		if each then
			each()
		end
		for _, r in ipairs(all) do
			if not r.ended then
				local piece, how = read_some(r.conn,
				    r.piece or PIECE)
				r.text, r.ended = r.text .. (piece or ""), how
				send_later(r)
				open = open + (how and 0 or 1)
			end
		end
		sleep_ms(PAUSE_MS)
	end
end

-- Returns how many bytes of the body of the first answer have come, how many
-- there are, and what came behind it.
local function first_answer(r)
	local head, body = r.text:match("^(.-\r\n\r\n)(.*)$")
	local n = head and tonumber(head:match("Content%-Length: (%d+)")) or
	    ANSWER_SIZE
	return body and math.min(#body, n) or 0, n, body and body:sub(n + 1) or ""
end

-- Checks that all first answers have come whole, and the refusals behind them
-- where one is expected, and that no connection is left open.
function check_whole(all)
	local bad = {}
	for _, r in ipairs(all) do
		local have, n, rest = first_answer(r)
		hang_up(r.conn)
		if have < n or not r.text:match("^HTTP/1.%d 200 ") or
		    not r.ended or r.status and
		    not rest:match("^HTTP/1.1 " .. r.status) then
			table.insert(bad, string.format("%s: %d of %d bytes, " ..
			    "then '%s', %s", r.what, have, n, rest:sub(1, 12),
			    r.ended or "open"))
		end
	end
	check(#bad == 0, "%d of %d not whole:\n%s", #bad, #all,
	    table.concat(bad, "\n"))
end

local CLOSE = "Connection: close\r\n"

-- Opens a connection for each way in which a caller can end one.  get(lines,
-- version) returns a request for a large answer, post(size, sent) one with a
-- body of a size, of which so many bytes are sent.
function open_each_way(addr, get, post, max_body)
	local all = {}
	local function add(what, first, more)
		table.insert(all, open_slow(addr, what, first, more))
	end
	add("close, request behind", get(CLOSE), { behind = get() })
	add("close, part of a request behind", get(CLOSE), { behind = "GET /" })
	add("close, request later", get(CLOSE), { later = get() })
	add("close, bytes all the time", get(CLOSE), { trickle = "x" })
	add("HTTP/1.0, request behind", get("", "1.0"), { behind = get() })
	add("malformed", get(), { behind = "? ?\r\n\r\n" .. get(),
	    later = get(), status = 400 })
	add("no host", get(), { behind = "GET / HTTP/1.1\r\n\r\n",
	    later = get(), status = 400 })
	add("head too large", get(), { behind = "GET / HTTP/1.1\r\nX: " ..
	    ("x"):rep(60000), later = get(), status = 431 })
	add("body too large", get(), { behind = post(max_body * 2, max_body),
	    later = ("x"):rep(max_body // 2), status = 413 })
	return all
end

-- Opens a connection on which a page of the metrics is read slowly.
function open_metrics(addr)
	return open_slow(addr, "metrics", "GET /metrics HTTP/1.1\r\nHost: x\r\n" ..
	    CLOSE .. "\r\n", { buffer = 4096, piece = 1024, trickle = "x" })
end

-- Opens connections on which more comes behind a request at different times, for
-- a host that stops meanwhile.
function open_for_stop(addr, get)
	local all = {}
	for _, more in ipairs({ { behind = get() }, { behind = "GET /" },
	    { later = get() }, { trickle = "x" }, {} }) do
		local what = next(more) or "nothing more"
		table.insert(all, open_slow(addr, what, get(), more))
	end
	return all
end

-- Sends one request on each of some connections and waits until the host has
-- written the answers; then stops it by stop(), which returns its exit status
-- or nil, while they are read slowly.  Checks that the host ends within `ms`.
function check_stop(all, pid, ms)
	kill(pid, 15)
	local from, status = now_ms()
	read_slowly(all, function()
		status = status or wait(pid, true)
	end)
	check_whole(all)
	status = status or wait(pid)
	check(status == 0, "ended with %d", status)
	check(now_ms() - from < ms, "stopped in %.0f ms", now_ms() - from)
end
