-- Library of the scenarios with crowds of clients that hold connections and
-- memory of a host.  None depends on the speed of the machine: the host's
-- process lives, its memory and descriptors stay within bounds, and one
-- ordinary request is answered.
dofile("regress/scenario/lib_site.lua")
Fleet.peak_memory = Site.peak_memory

MEMORY_MB = 120 -- of the smallest machines
MB = 1048576

-- Opens n connections and calls fn(connection, number) for each; returns those
-- that could be opened.
function open_crowd(addr, n, fn)
	local all = {}
	for i = 1, n do
		local c = dial(addr)
		if c then
			table.insert(all, c)
			fn(c, i)
		end
	end
	return all
end

function hang_up_all(crowd)
	for _, c in ipairs(crowd) do
		hang_up(c)
	end
end

-- Returns the head of a POST with an id of its own and a body whose header lines
-- are given.
local nposts = 0
function post_head(p, lines)
	nposts = nposts + 1
	return "POST " .. p .. " HTTP/1.1\r\nHost: a.example\r\n" ..
	    "X-Request-Id: p" .. nposts .. "\r\nX-Deadline-Ms: 1400\r\n" ..
	    lines .. "\r\n"
end

-- Returns a body of `size` bytes in chunks, with the last one.
function in_chunks(size, each)
	local chunk = string.format("%x\r\n%s\r\n", each, ("x"):rep(each))
	return chunk:rep(size // each) .. "0\r\n\r\n"
end

-- Checks that a host runs and has never taken more than MEMORY_MB.
function check_host(f, name, what)
	check(not wait(f.hosts[name].pid, true), "%s: %s ended", what, name)
	local mb = f:peak_memory(name)
	check(mb < MEMORY_MB, "%s: %s took %.0f MB", what, name, mb)
end

-- Returns the number of open descriptors of a host.
function descriptors(f, name)
	local p = io.popen("ls /proc/" .. f.hosts[name].pid .. "/fd | wc -l")
	local n = p:read("n")
	p:close()
	return n
end

-- Puts a configuration with a limit on bodies in force, with other routes if they
-- are given.
function Site:limit_bodies(size, routes)
	self:configure(routes, nil, '"max_header_bytes":16384,' ..
	    '"max_body_bytes":' .. size ..
	    ',"header_timeout":"3000ms","idle_timeout":"15000ms"')
	await("the limit in force", 5000, function()
		return self:request("h1", "/any/1", nil, "POST",
		    ("x"):rep(MB)) == 200
	end)
end

-- Waits until an ordinary request is answered; each() is called before a try.
function Site:await_ordinary(name, what, each)
	await(what .. ": an ordinary request served", 20000, function()
		if each then
			each()
		end
		return self:request(name, "/any/1") == 200
	end)
end

-- Checks h1 beside a crowd and after it has gone; each() as above.
function Site:check_crowd(crowd, what, each)
	self:await_ordinary("h1", what, each)
	check_host(self, "h1", what)
	hang_up_all(crowd)
	self:await_ordinary("h1", what .. ", afterwards")
	check_host(self, "h1", what .. ", afterwards")
end
