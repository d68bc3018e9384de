#!/bin/bash
# Runs seeds of the soak: run.sh FIRST [LAST [SECS [more arguments of
# soak.lua]]].  Prints a line for each seed and keeps the work folder of each
# that failed.
cd "$(dirname "$0")/../.." || exit 1
first=${1:-1} last=${2:-${1:-1}} secs=${3:-20}
shift 3 2>/dev/null || shift $#
build=${SOAK_BUILD:-build/plain}
work=${SOAK_WORK:-$(mktemp -d)}
failed=0
for seed in $(seq "$first" "$last"); do
	while [ "$(jobs -rp | wc -l)" -ge "${PARALLEL:-2}" ]; do
		wait -n || failed=$((failed + 1))
	done
	(
		d=$work/$seed
		rm -rf "$d"
		mkdir -p "$d"
		if timeout $((secs + 120)) "$build/scenario/scen" "$build" \
		    "$d" regress/scenario/lib.lua regress/soak/soak.lua \
		    "seed=$seed secs=$secs ports=150 $*" >"$d/out" 2>&1; then
			tail -1 "$d/out"
			rm -rf "$d"
		else
			echo "seed $seed FAILED: $(grep -m1 FAILED "$d/out"), in $d"
			exit 1
		fi
	) &
done
while [ "$(jobs -rp | wc -l)" -gt 0 ]; do
	wait -n || failed=$((failed + 1))
done
echo "$((last - first + 1 - failed)) seeds passed, $failed failed"
[ $failed -eq 0 ]
