#!/bin/sh
# Checks the model of control, then removes each safeguard and expects the
# search to find two owners: otherwise it is not modelled or not needed.
cd "$(dirname "$0")" || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
# Each safeguard with the configuration in which its removal is found.
safeguards="LEASE_FROM_REPLY:T PROMISE_FROM_ARRIVAL:WITH_X
HOST_LEASE_FROM_REPLY:T SINGLE_LIST:T RELEASE_RENEWS:WITH_X NO_LAPSE_WAIT:T
PROMISES_DURING_WRITE:WITH_X NO_PROMISE_WAIT:WITH_X UNLISTED_BY_TIME:WITH_X
WITHDRAWAL_AT_ONCE:WITH_X STOPPED_TAKES_CONTROL:WITH_STOP
FINAL_PROMISE_NOT_WAITED:WITH_STOP"

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
errors COMPLETE T >"$work/t" &
errors COMPLETE WITH_X >"$work/x" &
errors COMPLETE WITH_STOP >"$work/l" &
wait
all="$(cat "$work/t") $(cat "$work/x") $(cat "$work/l")"
echo "complete model: $all errors"
[ "$all" = "0 0 0" ] || res=1
for d in $safeguards; do
	n=$(errors "${d%:*}" "${d#*:}")
	echo "without the safeguard against ${d%:*}: $n"
	[ "$n" = 1 ] || res=1
done
exit $res
