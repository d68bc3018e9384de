-- A request that crashes any target that runs it is sent on and on.
dofile("regress/scenario/lib_site.lua")
-- In ms after the third target has ended, and sends from then on.
local STABLE_WINDOW, MOST = 3000, 3
local s = standard_site { crash = "poison", work = 20 }
s:play_poison("/any/poison", nil, STABLE_WINDOW, MOST)
s:stop_all()
say("sent to no target any more, all else is served")
