-- A host starts behind a link of 250 KB/s while the configuration has 4,300
-- routes: reading it takes 3 s.  The host refused its callers forever, because
-- each read was aborted after 1.5 s and started over, though data kept
-- arriving, and messages from other hosts were cut off halfway as well.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 2, links = { h3 = 250000 } }
s:configure(s:many_routes(4300))
s:add_host("h3", "south")
s:start_host("h3")
s:await_ready("h3", 9000)
check(s:request("h3", "/any/1") == 200, "h3 does not serve")
say("a host behind a slow link serves")
s:stop_all()
