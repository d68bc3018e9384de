-- The settings file changes, with a signal and without.  What makes sense is
-- in force at once; what does not is refused with a line in the log, and the
-- earlier settings stay.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1 }
local function logged(what)
	await("line: " .. what, 4000, function()
		return read_file("h1.log"):find(what, 1, true)
	end)
end
s:write_settings("h1", "retry_budget_slack = 40")
kill(s.hosts.h1.pid, 1)
logged("Settings reloaded.")
sleep_ms(1100)
s:write_settings("h1", "retry_budget_slack = many")
logged("retry_slack: 'many' is out of range")
logged("Settings rejected, the previous ones stay in use.")
check(s:ask("h1", "/any/1") == 200, "not served")
say("taken or refused, with a line")
s:stop_all()
