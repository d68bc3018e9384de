-- A service's limit of 200 requests a second over four targets and three
-- hosts, asked for 600.  What is served keeps to the limit in sum, whichever
-- targets are asked; the rest is told at once, with when to come back.
local f = standard_fleet { dcs = { { "aarhus", 3, 4 } }, entry = { rate = 200 } }
local function served(skew)
	local l = f:load { "-r", "600", "-d", "6", "-q", "-z", skew }
	local s = l:finish()
	check(s.codes["204"], "nothing refused by the limit")
	check(s.unknown + s.lost == 0, "unknown or lost")
	return s.ok / 6
end
local even, skewed = served("0"), served("1.2")
check(even <= 200 * 1.1 and even >= 200 * 0.7, "even: %.0f a second", even)
check(skewed <= 200 * 1.1 and skewed >= 200 * 0.5, "skewed: %.0f a second", skewed)
f:stop_all()
f:journals_ok()
say("within the limit, with even and with skewed demand")
