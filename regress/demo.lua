-- Run by `make demo`: starts a fleet on each platform, kills a target and shows
-- how long its keys are not served.
say("starting a platform, 2 data centres with 2 hosts and 2 targets each")
local f = standard_fleet { dcs = { { "aarhus", 2, 2 }, { "viborg", 2, 2 } } }
for _, key in ipairs { "sankt-olai-1784", "hammel-1801", "skive-1845" } do
	local st, body, headers = f:get("aarhus1", "lookup", key)
	say("GET %s through aarhus1: %d from %s", key, st,
	    headers:match("Gspar%-Target: (%S+)"))
end
local o = f:owner("lookup", "sankt-olai-1784")
say("sankt-olai-1784 is in shard %d, owned by %s, dispatched by %s, fence %d",
    o.shard, o.target, o.dispatcher, o.fence)
say("killing %s, which owns it", o.target)
f:kill_target(o.target)
local from = now_ms()
await("the key served again", 10000, function()
	return f:get("viborg1", "lookup", "sankt-olai-1784") == 200
end)
say("served again by %s after %.0f ms",
    f:owner("lookup", "sankt-olai-1784").target, now_ms() - from)
local pid = spawn(path("timeline"), BUILD .. "/gsparctl/gsparctl", "-a",
    f.hosts.aarhus1.admin, "timeline")
wait(pid)
say("the timeline of all hosts:")
io.write(read_file("timeline"))
f:stop_all()
say("all hosts stopped")

-- The same daemon on the platform of objects, whose targets enforce grants.
dofile("regress/scenario/lib_site.lua")
say("starting an object store, 3 hosts and 6 targets")
local s = standard_site { next = 40 }
local _, body = s:request_key("h1", 40000)
say("key 40000 is served by %s", body:match("^%S+"))
s:kill_server(body:match("^%S+"))
from = now_ms()
await("the key served again", 10000, function()
	return s:request_key("h2", 40000) == 200
end)
_, body = s:request_key("h2", 40000)
say("killed; served again by %s after %.0f ms", body:match("^%S+"),
    now_ms() - from)
s:stop_all()
s:journals_ok()
say("no two targets held a key at the same time; all hosts stopped")
