-- The store is away for six seconds, and the targets' entries lapse meanwhile.
-- Callers notice nothing: owners keep their keys, and what lapsed is believed
-- to live until two seconds after the store's return.
dofile("regress/scenario/lib_site.lua")
local s = standard_site()
s:fault("down=1")
local r = s:load(6000)
check(r.any + r.once + r.key == 0, "failed in the outage: %d %d %d (%s)",
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
    "failed after it: %d %d %d, %d %d %d", r.any, r.once, r.key, after.any,
    after.once, after.key)
say("served while entries came back")
-- Answers of writes are lost, then its history is dropped.
s:fault("lose=6")
r = s:load(2000)
s:fault("compact=1")
after = s:load(1000)
check(r.key + after.key == 0, "keyed failed: %d %d", r.key, after.key)
s:stop_all()
s:journals_ok()
say("lost answers and history made up for")
