-- What callers are told when targets cut answers short, fail, are slow or are
-- killed while they run a request, and what becomes of a request whose caller
-- disconnects.  An answer is forwarded whole or not at all.
local f = standard_fleet { dcs = { { "aarhus", 2, 2 } } }
local function request(what, key, headers, method, body)
	local st, text, reply_headers = f:get("aarhus1", "lookup", key,
	    headers, method, body)
	local j = json(text) or {}
	say("%s: %d code %s %s", what, st,
	    reply_headers:match("Gspar%-Error: (%d+)") or "-", j.outcome or "-")
	return text
end

f:target_fault("t1", "cut=1")
f:target_fault("t2", "cut=1")
request("answer cut short", "key-1?size=5000")
f:target_fault("t1", "cut=0")
f:target_fault("t2", "cut=0")
-- The connection ends within the head, before any length.
f:target_fault("t1", "cut_head=1")
f:target_fault("t2", "cut_head=1")
request("answer cut within its head", "key-1")
f:target_fault("t1", "cut_head=0")
f:target_fault("t2", "cut_head=0")
local text = request("answer whole", "key-1?size=5000")
check(#text > 5000, "the answer is short: %d", #text)

f:target_fault("t1", "fail=1")
f:target_fault("t2", "fail=1")
request("the target's own error is forwarded", "key-1")
f:target_fault("t1", "fail=0")
f:target_fault("t2", "fail=0")

local from = now_ms()
request("deadline expired while running", "key-2?work=1500", { "Gspar-Deadline-Ms: 200" })
check(now_ms() - from < 600, "answered %.0f ms after the request", now_ms() - from)

-- The caller disconnects; its request is cancelled at the target.
f:get("aarhus1", "lookup", "key-3") -- opens the connections
local function cancelled()
	return (read_file("t1.journal") .. read_file("t2.journal"))
	    :find("key%-3 %S+ cancelled")
end
raw(f.hosts.aarhus1.callers,
    "GET /v1/lookup/key-3?work=3000 HTTP/1.1\r\nHost: x\r\n\r\n", true)
await("the request cancelled at the target", 3000, cancelled)
say("caller disconnected: request cancelled at the target")

-- The target is killed while it runs requests.
local o = f:owner("lookup", "key-4")
local l = spawn(path("dying"), BUILD .. "/standin/caller", "-t",
    f.hosts.aarhus1.callers, "-r", "20", "-d", "1", "-w", "400", "-q")
await("a request running", 3000, function()
	local _, b = http("GET", "http://" .. f.targets[o.target].addr .. "/load")
	return (json(b) or {}).running and json(b).running > 0
end)
f:kill_target(o.target)
wait(l)
local s = json(read_file("dying"):match("{.*"))
check(s.wrong == 0 and s.lost == 0, "wrong or lost answers")
check(s.unknown + s.not_run > 0, "no caller saw the loss")
say("target killed while running: callers told, no wrong answer")
f:stop_all()
f:journals_ok()
