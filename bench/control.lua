-- Measures the cost of control of an idle cell for 8 s: frames and bytes
-- between hosts, processor time and memory of each host, calls to the platform.
-- ARG is "HOSTS TARGETS SHARDS".
local hosts, targets, shards = ARG:match("(%d+) (%d+) (%d+)")
local f = standard_fleet { dcs = { { "aarhus", tonumber(hosts),
	tonumber(targets) } }, entry = { shards = tonumber(shards) } }
sleep_ms(2000)
local ctl = f:controller("aarhus")

local function rss(pid)
	return tonumber(io.open("/proc/" .. pid .. "/status"):read("a")
	    :match("VmRSS:%s+(%d+)")) / 1024
end

local function sample()
	local s = { at = now_ms(), calls = f:calls(), host = {} }
	for _, n in ipairs(f.order) do
		s.host[n] = { bytes = f:metric(n, "control_bytes"),
			frames = f:metric(n, "control_frames"),
			grants = f:metric(n, "grants"),
			cpu = cpu_seconds(f.hosts[n].pid) }
	end
	return s
end
local a = sample()
sleep_ms(8000)
local b = sample()
local secs = (b.at - a.at) / 1000

-- Adds the TCP/IP overhead: 52 bytes of headers for each frame and 52 for its
-- acknowledgement.  Both ends count both.
local function wire(n)
	local x, y = a.host[n], b.host[n]
	local frames = (y.frames - x.frames) / secs
	return (y.bytes - x.bytes) / secs + frames * 104, frames,
	    (y.cpu - x.cpu) / secs * 100
end
local sum, most = { 0, 0, 0 }, 0
for _, n in ipairs(f.order) do
	if n ~= ctl then
		local w, fr, c = wire(n)
		sum[1], sum[2], sum[3] = sum[1] + w, sum[2] + fr, sum[3] + c
	end
	most = math.max(most, rss(f.hosts[n].pid))
end
local n = math.max(#f.order - 1, 1)
local w, fr, c = wire(ctl)
say("hosts %s targets %s shards %s: controller %.0f B/s %.0f frames/s %.2f %% core; " ..
    "other host %.0f B/s %.1f frames/s %.2f %% core; memory %.1f MB; " ..
    "platform put/s %.1f get/s %.1f list/s %.1f", hosts, targets, shards, w, fr,
    c, sum[1] / n, sum[2] / n, sum[3] / n, most,
    (b.calls.put - a.calls.put) / secs, (b.calls.get - a.calls.get) / secs,
    (b.calls.list - a.calls.list) / secs)
for _, h in ipairs(f.order) do
	kill(f.hosts[h].pid, 9)
end
