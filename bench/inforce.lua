-- Measures the time from an accepted catalogue edit until all hosts apply it.
-- ARG is "HOSTS EDITS".
local hosts, edits = ARG:match("(%d+) (%d+)")
local f = standard_fleet { dcs = { { "aarhus", tonumber(hosts), 2 } } }
local e = f.entries.lookup
local times = {}
for i = 1, tonumber(edits) do
	e.deadline_ms = 2000 + i
	f:put_entry(e)
	local from = now_ms()
	await("in force", 20000, function()
		for _, n in ipairs(f.order) do
			if f:status(n).catalogue.lookup ~= e.version then
				return false
			end
		end
		return true
	end)
	table.insert(times, now_ms() - from)
end
table.sort(times)
say("hosts %s: in force everywhere after, over %d edits: median %.0f ms worst %.0f ms",
    hosts, #times, times[(#times + 1) // 2], times[#times])
for _, h in ipairs(f.order) do
	kill(f.hosts[h].pid, 9)
end
