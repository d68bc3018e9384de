-- A request that crashes owners of its key while controllers are lost is sent on and on.
dofile("regress/scenario/lib_site.lua")
-- In ms after the third target has ended, and sends from then on.
local STABLE_WINDOW, MOST = 3000, 3
local s = standard_site { crash = "poison", work = 20, hosts = 4 }
s:play_poison("/k/poison", { "X-Shard-Key: 700" }, STABLE_WINDOW, MOST, true)
s:stop_all()
say("sent to no target any more, all else is served")
