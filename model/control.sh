#!/bin/sh
# Checks the model of control; then takes each safeguard out and expects two
# owners: a safeguard whose loss goes unnoticed is not modelled, or not needed.
cd "$(dirname "$0")" || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
# Each safeguard with the configuration that shows its loss.
safeguards="LEASE_FROM_ANSWER:T PROMISE_FROM_ARRIVAL:WITH_X
HOST_LEASE_FROM_ANSWER:T SINGLE_LIST:T RESIGN_RENEWS:WITH_X NO_SETTLE:T
UNRESOLVED_PROMISES:WITH_X NO_PROMISE_WAIT:WITH_X UNLISTED_BY_TIME:WITH_X
WITHDRAWAL_AT_ONCE:WITH_X LEFT_TAKES:WITH_LEFT
LEFT_NOT_WAITED:WITH_LEFT"

# errors SAFEGUARD CONFIGURATION: prints how many errors the search finds.
errors() {
	mkdir -p "$work/$1-$2" && cp control.pml "$work/$1-$2/" &&
	    cd "$work/$1-$2" || exit 1
	spin -a "-D$1" "-D$2" control.pml >out 2>&1 &&
	    gcc -O3 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -w -o pan pan.c &&
	    ./pan -m1000000 -n -w25 >out 2>&1
	if grep -q "out of memory\|max search depth" out; then
		echo "incomplete"
	else
		sed -n 's/.*errors: \([0-9]*\).*/\1/p' out
	fi
}

res=0
errors WHOLE T >"$work/t" &
errors WHOLE WITH_X >"$work/x" &
errors WHOLE WITH_LEFT >"$work/l" &
wait
all="$(cat "$work/t") $(cat "$work/x") $(cat "$work/l")"
echo "whole model: $all errors"
[ "$all" = "0 0 0" ] || res=1
for d in $safeguards; do
	n=$(errors "${d%:*}" "${d#*:}")
	echo "without the safeguard against ${d%:*}: $n"
	[ "$n" = 1 ] || res=1
done
exit $res
