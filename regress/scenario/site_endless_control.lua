-- Answers without end to orders and to reads of the store take the memory of
-- the host that controls.
dofile("regress/scenario/lib_site.lua")
local MEMORY_MB = 120 -- of the smallest machines
local s = standard_site {}
local function check_memory(what)
	for _, n in ipairs(s.order) do
		local mb = s:peak_memory(n)
		check(mb < MEMORY_MB, "%s: %s took %.0f MB", what, n, mb)
	end
end
for _, how in ipairs({ "plain", "chunks", "head" }) do
	for _, id in ipairs(s.sorder) do
		s:server_fault(id, "endless_orders=" .. how)
	end
	s:load(2000)
	for _, id in ipairs(s.sorder) do
		s:server_fault(id, "endless_orders=")
	end
	s:await_keys(6000)
	check_memory("orders, " .. how)
end
say("orders")
for _, how in ipairs({ "plain", "chunks", "head" }) do
	s:fault("endless=" .. how)
	local r = s:load(5000)
	check(r.any + r.once + r.key == 0, "%s: failed: %d %d %d (%s)", how,
	    r.any, r.once, r.key, r.last)
	s:fault("endless=")
	s:check_new_target(4000)
	check_memory("the store, " .. how)
end
-- Hosts that start then read all at once.
s:fault("endless=plain")
s:restart_all()
sleep_ms(4000)
s:fault("endless=")
s:await_ready()
s:await_keys()
check_memory("the store, hosts that start")
s:stop_all()
s:journals_ok()
s:fences_ok()
say("the store")
