#!/bin/sh
# Counts why requests got no answer from a target, by service and by span of
# seconds, from the log lines of the daemons: account.sh [SPAN] <log
# A line may have a prefix that begins with a number of seconds, which is then
# used instead of the time in the line.
#
# Causes: no owner (no target owned the key, or its owner was not reached), hot
# key (too late, and one key has at least ten and at least a fifth of such lines
# of its service and span), queue (other requests too late for a slot), full
# (the target refused), deadline (sent, no answer in time), broke (no complete
# answer, the request may have run), stopping.
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
	from = int(at / span) * span
	n++
	start[n] = from
	codes[n] = code
	service[n] = field("service", text)
	key[n] = field("key", text)
	if (code == "GS_TOO_LATE") {
		late[from, service[n]]++
		same_key[from, service[n], key[n]]++
	}
	if (from < low)
		low = from
	if (from > high)
		high = from
}
function cause(i,    total, same) {
	if (codes[i] == "GS_TOO_LATE") {
		total = late[start[i], service[i]]
		same = same_key[start[i], service[i], key[i]]
		return key[i] >= 0 && same >= 10 && same * 5 >= total ? \
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
		part[start[i], cause(i)]++
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
	for (from = low; from <= high; from += span) {
		printf "%-12s", "from " from " s"
		for (k = 1; k <= causes; k++)
			printf " %9d", part[from, c[k]]
		printf "\n"
	}
}'
