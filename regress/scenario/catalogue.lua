-- gsparctl's catalogue commands when two operators write from the same version,
-- an entry is invalid, or the platform loses a reply or is down.  The second
-- writer is shown the first one's change.  No entry is written twice or
-- reverts.  Each host reports the version that it applies, and an unreachable
-- host is named.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 }, { "viborg", 1, 1 } } }
local function ctl(...)
	local pid = spawn(path("ctl"), BUILD .. "/gsparctl/gsparctl", "-a",
	    f.hosts.aarhus1.admin, "-p", f.platform, ...)
	local st = wait(pid)
	local text = read_file("ctl")
	write_file("ctl", "")
	return st, text
end
local e = f.entries.lookup
local function edit(name, deadline)
	e.deadline_ms = deadline
	write_file(name, entry_json(e))
end

edit("first.json", 1500)
edit("second.json", 1700)
local base = tostring(e.version)
local st, text = ctl("-b", base, "-w", "catalogue", "set", path("first.json"))
check(text:find("in force on all 3 hosts"), "%s", text)
say("first writer: exit %d", st)
st, text = ctl("-b", base, "catalogue", "set", path("second.json"))
check(text:find("entry.limits.deadline_ms: 1700, now 1500", 1, true), "%s", text)
say("second writer, same base: exit %d, shown the first one's change", st)

write_file("bad.json", (entry_json(e):gsub('"slots":4', '"slots":0', 1)))
st, text = ctl("-b", base, "catalogue", "set", path("bad.json"))
check(text:find("cells[0].targets[0].slots", 1, true), "%s", text)
say("invalid entry: exit %d, with the path of the invalid field", st)

local now = tonumber(select(3, http("GET", "http://" .. f.platform ..
    "/v1/objects/catalogue/lookup")):match("Version: (%d+)"))
f:fault("lose=1&path=catalogue/")
st, text = ctl("-b", tostring(now), "-w", "catalogue", "set", path("second.json"))
check(text:find("lookup written", 1, true), "%s", text)
say("platform reply lost: exit %d, reported as written", st)

-- A conflict is stated in a head that the platform breaks off.
f:fault("cut_head=412")
st, text = ctl("-b", "1", "catalogue", "set", path("first.json"))
check(text:find("not known", 1, true), "%s", text)
say("platform reply broken off: exit %d, outcome reported as not known", st)
f:fault("cut_head=0")

f:fault("down=1")
st, text = ctl("-b", "1", "catalogue", "set", path("first.json"))
check(text:find("not known", 1, true), "%s", text)
say("platform down: exit %d, outcome reported as not known", st)
f:fault("down=0")

-- Hosts ignore an invalid entry that was written without gsparctl's checks.
http("PUT", "http://" .. f.platform .. "/v1/objects/catalogue/lookup",
    read_file("bad.json"), { "If-Version: " .. select(3, http("GET", "http://" ..
    f.platform .. "/v1/objects/catalogue/lookup")):match("Version: (%d+)") })
await("the invalid entry logged", 5000, function()
	local all = ""
	for _, n in ipairs(f.order) do
		all = all .. read_file(n .. ".log")
	end
	return all:find("is not valid, the last good one stays")
end)
check(f:get("aarhus1", "lookup", "key-1") == 200, "key-1 is not served")
say("invalid entry in the store: the last valid one stays")

st, text = ctl("status")
check(text:find("3 of 3 hosts answered"), "%s", text)
f:kill_host("viborg1")
st, text = ctl("status")
check(text:find("viborg1 +not known") and text:find("2 of 3 hosts answered"), "%s", text)
say("status with a host down: exit %d, host shown as not known", st)
st = ctl("owner", "lookup", "key-1")
say("owner: exit %d", st)
st = ctl("owner", "nothing", "key-1")
say("owner of an unknown service: exit %d", st)
st = ctl("catalogue", "show", "nothing")
say("show of an unknown service: exit %d", st)
st, text = ctl("timeline", "-m", "version")
check(text:find("lookup version"), "%s", text)
say("timeline with a host down: exit %d", st)
f:stop_all()
