-- Connections between hosts go silent for good while new ones work, as when a
-- middlebox drops its connection state and tells neither end.  A ping without
-- an answer detects it: the connection is replaced and its idempotent requests
-- are retried.  No caller's request fails, and control does not change.
local f = standard_fleet { dcs = { { "aarhus", 3, 3 } }, wires = true }
local ctl = f:controller("aarhus")
local l = f:load { "-r", "100", "-d", "8" }
f:await_load()
for _, n in ipairs(f.order) do
	f:wire(n, "silent=1")
end
await("silent connections detected", 3000, function()
	local n = 0
	for _, h in ipairs(f.order) do
		n = n + f:metric(h, "peer_silent")
	end
	return n > 0
end)
local s = l:finish()
check(failures(s) == 0, "failed: %d", failures(s))
check(s.max < 2000, "slowest: %.0f ms", s.max)
f:stop_all()
f:journals_ok()
say("silent connections replaced, no request failed")
