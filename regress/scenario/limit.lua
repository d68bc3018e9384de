-- A service has a rate limit of 200 requests a second over four targets and
-- three hosts, and callers send 600.  The served requests keep to the limit in
-- total, however they are spread over the targets.  The rest is refused at once
-- with Retry-After.
local f = standard_fleet { dcs = { { "aarhus", 3, 4 } }, entry = { rate = 200 } }
local function served(skew)
	local l = f:load { "-r", "600", "-d", "6", "-q", "-z", skew }
	local s = l:finish()
	check(s.codes["204"], "no request was refused by the limit")
	check(s.unknown + s.lost == 0, "requests with unknown outcome or lost")
	return s.ok / 6
end
local even, skewed = served("0"), served("1.2")
check(even <= 200 * 1.1 and even >= 200 * 0.7, "even: %.0f a second", even)
check(skewed <= 200 * 1.1 and skewed >= 200 * 0.5, "skewed: %.0f a second", skewed)
f:stop_all()
f:journals_ok()
say("within the limit, with even and with skewed demand")
