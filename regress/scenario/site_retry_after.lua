-- Targets turn all requests away and name a time in which they want none from
-- that host.  A host sent them the same requests again after 40 ms.
dofile("regress/scenario/lib_site.lua")
-- The time that they name; from GRACE ms after such an answer until its end a
-- host may send them MAX_LATE requests.
local PAUSE, GRACE, MAX_LATE = 2000, 500, 2
local s = standard_site { keyed = 4, plain = 2 }
local resting = { "i-1", "i-3" }
local sent, failed, slowest = {}, 0, 0
local function send_load(ms)
	local n, till = #sent, now_ms() + ms
	while now_ms() < till do
		n = n + 1
		local h = s.order[n % #s.order + 1]
		local st = s:request_traced(sent, h, "/any/" .. n)
		failed = failed + (st == 200 and 0 or 1)
		local key = n * 5003 % 65536
		local st2, header, took = s:request_traced(sent, h,
		    "/k/" .. key, { "X-Shard-Key: " .. key })
		check(st2 == 200 or header:match("Retry%-After"),
		    "no Retry-After")
		slowest = math.max(slowest, st2 == 200 and 0 or took)
	end
end
send_load(500)
local from = now_ms()
for _, id in ipairs(resting) do
	s:server_fault(id, "refuse=1000000&retry_after=" .. PAUSE)
end
send_load(3 * PAUSE)
local to = now_ms()
for _, id in ipairs(resting) do
	s:server_fault(id, "refuse=0")
end
local host_of = {}
for _, r in ipairs(sent) do
	host_of[r.rid] = r.host
end
for _, id in ipairs(resting) do
	local all = s:arrivals(id)
	local refused = 0
	for _, a in ipairs(all) do
		local late = 0
		for _, b in ipairs(all) do
			if a.at >= from and a.at < to and
			    host_of[a.rid] == host_of[b.rid] and
			    b.at > a.at + GRACE and b.at < a.at + PAUSE then
				late = late + 1
			end
		end
		refused = refused + (a.at >= from and a.at < to and 1 or 0)
		check(late <= MAX_LATE, "%s got %d requests of %s in the " ..
		    "time for which it wanted none", id, late, host_of[a.rid])
	end
	check(refused > 0, "%s refused nothing", id)
end
check(failed == 0, "%d failed while other targets have capacity", failed)
check(slowest < 500, "a refusal took %.0f ms", slowest)
await("the keys of all targets served", PAUSE + 2000, function()
	send_load(300)
	local served = {}
	for _, a in ipairs(s:arrivals("i-3")) do
		served[a.at > to + PAUSE] = true
	end
	return served[true]
end)
s:await_keys(PAUSE + 2000)
-- All targets of a service want none: what cannot be served in time is refused
-- at once.
for _, id in ipairs({ "i-1", "i-2" }) do
	s:server_fault(id, "refuse=1000000&retry_after=" .. PAUSE)
end
await("all targets want none", 1000, function()
	return s:request("h1", "/any/x") ~= 200
end)
local st, header, took = s:request_traced(sent, "h1", "/any/x")
check(st == 503 and header:match("Retry%-After"), "answered %d", st)
check(took < 200, "a refusal took %.0f ms", took)
s:stop_all()
s:journals_ok()
say("no target sent requests that it did not want, and used again afterwards")
