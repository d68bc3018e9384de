#!/bin/sh
# Says for what reason requests got no answer of a target, by service and span
# of seconds, from the daemons' own log lines: account.sh [SPAN] <log
# Lines may have something before them, as a number of seconds first, which is
# then the time that counts; else the time of the line is.
#
# Causes: no owner (nobody owned the key, or its owner was not reached), hot key
# (too late, and one key has a fifth or more of such lines of its span), queue
# (other requests too late for a slot), full (the target refused), deadline (sent,
# no answer in time), broke (no whole answer, it may have run), stopping.
span=${1:-4}
exec awk -v span="$span" 'BEGIN { low = 0; high = 0 }
function field(name, text,    i, s) {
	i = index(text, " " name " ")
	if (i == 0)
		return ""
	s = substr(text, i + length(name) + 2)
	sub(/[ ,].*/, "", s)
	return s
}
/part=router request=/ && match($0, /msg="GS_[A-Z_]+: service /) {
	code = substr($0, RSTART + 5)
	sub(/:.*/, "", code)
	text = substr($0, RSTART)
	at = $1 + 0
	if ($1 !~ /^-?[0-9.]+$/) {
		match($0, /(^| )t=[0-9.]+/)
		at = substr($0, RSTART, RLENGTH)
		sub(/.*=/, "", at)
		at += 0
		if (first == "")
			first = at
		at -= first
	}
	w = int(at / span) * span
	n++
	win[n] = w
	codes[n] = code
	service[n] = field("service", text)
	key[n] = field("key", text)
	if (code == "GS_TOO_LATE") {
		late[w, service[n]]++
		one[w, service[n], key[n]]++
	}
	if (w < low)
		low = w
	if (w > high)
		high = w
}
function cause(i,    all, mine) {
	if (codes[i] == "GS_TOO_LATE") {
		all = late[win[i], service[i]]
		mine = one[win[i], service[i], key[i]]
		return key[i] >= 0 && mine >= 10 && mine * 5 >= all ? \
		    "hot key" : "queue"
	}
	if (codes[i] == "GS_NO_OWNER") return "no owner"
	if (codes[i] == "GS_SHED") return "full"
	if (codes[i] == "GS_DEADLINE") return "deadline"
	if (codes[i] == "GS_STOPPING") return "stopping"
	return "broke"
}
END {
	causes = split("no owner,hot key,queue,full,deadline,broke,stopping", c, ",")
	for (i = 1; i <= n; i++) {
		sum[service[i], cause(i)]++
		part[win[i], cause(i)]++
		names[service[i]] = 1
	}
	printf "%-12s", "service"
	for (k = 1; k <= causes; k++)
		printf " %9s", c[k]
	printf "\n"
	for (s in names) {
		printf "%-12s", s
		for (k = 1; k <= causes; k++)
			printf " %9d", sum[s, c[k]]
		printf "\n"
	}
	for (w = low; w <= high; w += span) {
		printf "%-12s", "from " w " s"
		for (k = 1; k <= causes; k++)
			printf " %9d", part[w, c[k]]
		printf "\n"
	}
}'
