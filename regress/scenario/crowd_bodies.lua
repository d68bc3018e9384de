-- Clients that send all but the end of large bodies and stay: the host holds
-- all of them until its memory is used up.
dofile("regress/scenario/lib_crowd.lua")
local CLIENTS, SIZE, PIECE = 24, 8 * MB, 4096
local s = standard_site { hosts = 1 }
s:configure(nil, nil, '"max_header_bytes":16384,"max_body_bytes":' .. SIZE ..
    ',"header_timeout":"3000ms","idle_timeout":"15000ms"')
local whole, chunks = ("x"):rep(SIZE), in_chunks(SIZE, PIECE)
local length = "Content-Length: " .. SIZE .. "\r\n"
local forms = {
	{ "with a length", length, whole },
	{ "in chunks", "Transfer-Encoding: chunked\r\n", chunks },
	{ "after 100-continue", length .. "Expect: 100-continue\r\n", whole },
}
await("the limit in force", 5000, function()
	return s:request("h1", "/any/1", nil, "POST", ("x"):rep(MB)) == 200
end)
local crowd
for _, form in ipairs(forms) do
	crowd = open_crowd(s.hosts.h1.callers, CLIENTS, function(c)
		send(c, post_head("/any/1", form[2]))
		send(c, form[3]:sub(1, -8))
	end)
	s:await_ordinary("h1", form[1])
	check_host(s, "h1", form[1])
	if form ~= forms[#forms] then
		hang_up_all(crowd)
		s:await_ordinary("h1", form[1] .. ", afterwards")
	end
	say("%s: memory bounded, an ordinary request served", form[1])
end
s:stop_all()
hang_up_all(crowd)
s:journals_ok()
say("stopped with clients connected")
