-- A request that crashes any target comes again and again, under another id
-- and through another host.
dofile("regress/scenario/lib_site.lua")
-- The bounds: three targets end, so much later it is sent so often at most.
local STABLE_WINDOW, MOST = 3000, 3
local s = standard_site { crash = "poison", work = 20 }
s:play_poison("/any/poison", nil, STABLE_WINDOW, MOST)
s:stop_all()
say("sent to no target any more, all else is served")
