-- The store is away for six seconds, and the targets' entries lapse meanwhile.
-- Callers see no failure: owners keep their keys, and targets whose entries
-- lapsed are assumed alive until two seconds after the store's return.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
s:fault("down=1")
local r = s:load(6000)
check(r.any + r.once + r.key == 0, "failed during the outage: %d %d %d (%s)",
    r.any, r.once, r.key, r.last)
say("served without the store")
s:fault("down=0")
for _, id in ipairs(s.sorder) do
	s:unregister(id)
end
r = s:load(1000)
for _, id in ipairs(s.sorder) do
	s:register(id)
end
local after = s:load(3500)
check(r.any + r.once + r.key + after.any + after.once + after.key == 0,
    "failed after the outage: %d %d %d, %d %d %d", r.any, r.once, r.key,
    after.any, after.once, after.key)
say("served while entries came back")
-- Answers to writes are lost, then the store drops its history.
s:fault("lose=6")
r = s:load(2000)
s:fault("compact=1")
after = s:load(1000)
check(r.key + after.key == 0, "keyed requests failed: %d %d", r.key, after.key)
s:stop_all()
s:journals_ok()
say("no keyed request failed after lost answers and lost history")
