-- A request that crashes the owner of its key is sent over and over.  It is
-- quarantined after its third crash, and all other requests are served.
dofile("regress/scenario/lib_site.lua")
-- Time in ms after the third target has crashed, and the requests that may be
-- sent from then on.
local STABLE_WINDOW, MAX_SENDS = 3000, 3
local s = standard_site { crash = "poison", work = 20 }
s:run_poison("/k/poison", { "X-Shard-Key: 700" }, STABLE_WINDOW, MAX_SENDS)
s:stop_all()
say("request quarantined, all others are served")
