-- Clients that send all but the end of large bodies and stay: the host holds
-- all of them until its memory is used up.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE, PIECE = 24, 8 * MB, 4096
local s = standard_site { hosts = 1 }
s:limit_bodies(SIZE)
local whole, chunks = ("x"):rep(SIZE), in_chunks(SIZE, PIECE)
local length = "Content-Length: " .. SIZE .. "\r\n"
local forms = {
	{ "with a length", length, whole },
	{ "in chunks", "Transfer-Encoding: chunked\r\n", chunks },
	{ "after 100-continue", length .. "Expect: 100-continue\r\n", whole },
}
local crowd
for _, form in ipairs(forms) do
	crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
		send(c, post_head("/any/1", form[2]))
		send(c, form[3]:sub(1, -8))
	end)
	if form == forms[#forms] then
		s:await_ordinary("h1", form[1])
		check_host(s, "h1", form[1])
	else
		s:check_crowd(crowd, form[1])
	end
	say("%s: memory bounded, an ordinary request served", form[1])
end
s:stop_all()
hang_up_all(crowd)
s:journals_ok()
say("stopped with clients connected")
