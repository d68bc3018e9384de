-- What callers are told when targets misbehave: answers cut short, a target
-- that fails, that is slow, that dies in the middle of the work; a caller
-- that goes away.  An answer is whole or not passed on at all.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local function ask(what, key, heads, method, body)
	local st, text, hd = f:get("aarhus1", "lookup", key, heads, method, body)
	local j = json(text) or {}
	say("%s: %d code %s %s", what, st, hd:match("Gspar%-Error: (%d+)") or "-",
	    j.outcome or "-")
	return text
end

f:target_fault("t1", "cut=1")
f:target_fault("t2", "cut=1")
ask("answer cut short", "key-1?size=5000")
f:target_fault("t1", "cut=0")
f:target_fault("t2", "cut=0")
local text = ask("answer whole", "key-1?size=5000")
check(#text > 5000, "the answer is short: %d", #text)

f:target_fault("t1", "fail=1")
f:target_fault("t2", "fail=1")
ask("the target's own error passes through", "key-1")
f:target_fault("t1", "fail=0")
f:target_fault("t2", "fail=0")

local from = now_ms()
ask("deadline in the work", "key-2?work=1500", { "Gspar-Deadline-Ms: 200" })
check(now_ms() - from < 600, "told late: %.0f ms", now_ms() - from)

-- The caller leaves; the run is cancelled at the target.
f:get("aarhus1", "lookup", "key-3") -- warm
local function cancelled()
	return (read_file("t1.journal") .. read_file("t2.journal"))
	    :find("key%-3 %S+ cancelled")
end
raw(f.hosts.aarhus1.callers,
    "GET /v1/lookup/key-3?work=3000 HTTP/1.1\r\nHost: x\r\n\r\n", true)
await("the run cancelled at the target", 3000, cancelled)
say("caller gone: run cancelled at the target")

-- The target dies in the middle of the work: unknown, at once.
local o = f:owner("lookup", "key-4")
local l = spawn(path("dying"), BUILD .. "/standin/caller", "-t",
    f.hosts.aarhus1.callers, "-r", "20", "-d", "1", "-w", "400", "-q")
await("work under way", 3000, function()
	local _, b = http("GET", "http://" .. f.targets[o.target].addr .. "/load")
	return (json(b) or {}).running and json(b).running > 0
end)
f:kill_target(o.target)
wait(l)
local s = json(read_file("dying"):match("{.*"))
check(s.wrong == 0 and s.lost == 0, "wrong or lost answers")
check(s.unknown + s.not_run > 0, "nobody was told")
say("target died in the work: callers told, none wrong")
f:stop_all()
f:journals_ok()
