-- The settings file changes, with a signal and without.  Valid settings are in
-- force at once; invalid ones are refused with a log line, and the earlier
-- settings stay.
dofile("regress/scenario/lib_site.lua")
local s = standard_site { hosts = 1 }
local function await_logged(what)
	await("log line: " .. what, 4000, function()
		return read_file("h1.log"):find(what, 1, true)
	end)
end
s:write_settings("h1", "retry_budget_slack = 40")
kill(s.hosts.h1.pid, 1)
await_logged("Settings reloaded.")
sleep_ms(1100)
s:write_settings("h1", "retry_budget_slack = many")
await_logged("retry_slack: 'many' is out of range")
await_logged("Settings rejected, the previous ones stay in use.")
check(s:request("h1", "/any/1") == 200, "not served after invalid settings")
say("settings applied or refused, with a log line")
s:stop_all()
