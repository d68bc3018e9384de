-- Operators and the catalogue: two race on the same evening, an entry is
-- faulty, the platform loses an answer or is down.  The loser is shown what
-- the winner left; nothing is written twice or reverts; what is in force is
-- told by each host, and a host that is not heard is named.
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

edit("anna.json", 1500)
edit("bo.json", 1700)
local base = tostring(e.version)
local st, text = ctl("-b", base, "-w", "catalogue", "set", path("anna.json"))
check(text:find("in force on all 3 hosts"), "%s", text)
say("anna: exit %d", st)
st, text = ctl("-b", base, "catalogue", "set", path("bo.json"))
check(text:find("entry.limits.deadline_ms: 1700, now 1500", 1, true), "%s", text)
say("bo, from the same version: exit %d, shown what anna left", st)

write_file("bad.json", (entry_json(e):gsub('"slots":4', '"slots":0', 1)))
st, text = ctl("-b", base, "catalogue", "set", path("bad.json"))
check(text:find("cells[0].targets[0].slots", 1, true), "%s", text)
say("faulty: exit %d, with the place of the fault", st)

local now = tonumber(select(3, http("GET", "http://" .. f.platform ..
    "/v1/objects/catalogue/lookup")):match("Version: (%d+)"))
f:fault("lose=1&path=catalogue/")
st, text = ctl("-b", tostring(now), "-w", "catalogue", "set", path("bo.json"))
check(text:find("lookup written", 1, true), "%s", text)
say("answer lost: exit %d, known as written", st)

f:fault("down=1")
st, text = ctl("-b", "1", "catalogue", "set", path("anna.json"))
check(text:find("not known", 1, true), "%s", text)
say("platform down: exit %d, said so", st)
f:fault("down=0")

-- A faulty entry that got into the store past the tool is kept out.
http("PUT", "http://" .. f.platform .. "/v1/objects/catalogue/lookup",
    read_file("bad.json"), { "If-Version: " .. select(3, http("GET", "http://" ..
    f.platform .. "/v1/objects/catalogue/lookup")):match("Version: (%d+)") })
await("the faulty entry told", 5000, function()
	local all = ""
	for _, n in ipairs(f.order) do
		all = all .. read_file(n .. ".log")
	end
	return all:find("is not valid, the last good one stays")
end)
check(f:get("aarhus1", "lookup", "key-1") == 200, "not served")
say("faulty in the store: the last good one stays")

st, text = ctl("status")
check(text:find("3 of 3 hosts answered"), "%s", text)
f:kill_host("viborg1")
st, text = ctl("status")
check(text:find("viborg1 +not known") and text:find("2 of 3 hosts answered"), "%s", text)
say("a host that is not heard: exit %d, not known", st)
st = ctl("owner", "lookup", "key-1")
say("owner: exit %d", st)
st = ctl("owner", "nothing", "key-1")
say("owner of an unknown service: exit %d", st)
st = ctl("catalogue", "show", "nothing")
say("show of an unknown service: exit %d", st)
st, text = ctl("timeline", "-m", "version")
check(text:find("lookup version"), "%s", text)
say("timeline: exit %d, the host that is gone is told", st)
f:stop_all()
