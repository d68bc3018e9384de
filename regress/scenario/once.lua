-- Requests that must run once, under crashes.  Callers repeat with the same
-- ticket at any host whenever the outcome is unknown.  A target is killed while
-- it runs requests, a dispatcher is killed with its table of tickets, and
-- answers are cut short.  By the targets' journals no ticket runs twice.
local f = standard_fleet { dcs = { { "souq", 3, 3 } }, target = { work = 20 },
	entry = { name = "ledger", class = "reserve" } }
local l = f:load { "-r", "60", "-d", "10", "-c", "-s", "ledger" }
f:await_load()
f:kill_target("t1")
f:await_drained("ledger", "t1")
f:target_fault("t2", "cut=1")
sleep_ms(300)
f:target_fault("t2", "cut=0")
f:kill_host((f:plain_dispatcher("souq")))
local s = l:finish()
check(s.wrong == 0, "wrong answers")
check(s.ok > 250, "confirmed: %d", s.ok)
check(s.repeats > 0, "no caller repeated: the test shows nothing")
f:stop_all()
f:journals_ok()
say("repeated confirmations, none ran twice")
