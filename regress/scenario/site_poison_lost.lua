-- A request that crashes the owner of its key comes again and again while the
-- controllers that count the crashes are lost.
dofile("regress/scenario/lib_site.lua")
-- The bounds: three targets end, so much later it is sent so often at most.
local STABLE_WINDOW, MOST = 3000, 3
local s = standard_site { crash = "poison", work = 20, hosts = 4 }
s:play_poison("/k/poison", { "X-Shard-Key: 700" }, STABLE_WINDOW, MOST, true)
s:stop_all()
say("sent to no target any more, all else is served")
