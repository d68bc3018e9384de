#!/bin/bash
# Runs every test.  Prints one line for each; the last line sums them up.  Tests
# in KNOWN-RED.txt may fail: they are run and printed, but do not fail the run.
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

known_red() {
	grep -v '^#' KNOWN-RED.txt 2>/dev/null | grep -q "^$1[ ,:]"
}

# result NAME STATUS LOGFILE
result() {
	if [ "$2" -eq 0 ]; then
		echo "ok $1"
		passed=$((passed + 1))
	elif known_red "$1"; then
		echo "KNOWN RED $1: $(grep "^$1" KNOWN-RED.txt)"
	else
		echo "FAILED $1"
		sed 's/^/    /' "$3"
		failed=$((failed + 1))
	fi
}

# run NAME COMMAND...
run() {
	local name=$1
	shift
	timeout 300 "$@" >"$work/log" 2>&1 </dev/null
	result "$name" $? "$work/log"
}

# scenario BUILD NAME: runs one script, compares its output with its golden
# file.
scenario() {
	local dir=$work/$1-$2
	mkdir -p "$dir"
	timeout 300 build/plain/scenario/scen "build/$1" "$dir" \
	    regress/scenario/lib.lua "regress/scenario/$2.lua" \
	    >"$dir/out" 2>"$dir/err" </dev/null
	local status=$?
	cat "$dir/err" "$dir/out" >"$dir/all"
	if [ $status -eq 0 ] && ! diff "regress/scenario/golden/$2.out" \
	    "$dir/out" >>"$dir/all"; then
		status=1
	fi
	# A sanitizer report in any log fails the scenario.
	if grep -l -E 'ERROR: (Address|Leak|Thread)|WARNING: Thread|runtime error' \
	    "$dir"/*.log >>"$dir/all" 2>/dev/null; then
		grep -h -A25 -E 'ERROR: |WARNING: Thread|runtime error' \
		    "$dir"/*.log | head -50 >>"$dir/all"
		status=1
	fi
	if [ $status -ne 0 ]; then
		tail -n 12 "$dir"/*.log >>"$dir/all" 2>/dev/null
	fi
	echo $status >"$dir/status"
}

# scenarios BUILD NAME...: runs three at a time, prints the results in order.
scenarios() {
	local build=$1 n
	shift
	for n in "$@"; do
		while [ "$(jobs -rp | wc -l)" -ge "${PARALLEL:-3}" ]; do
			wait -n
		done
		scenario "$build" "$n" &
	done
	wait
	for n in "$@"; do
		result "scenario-$n-$build" \
		    "$(cat "$work/$build-$n/status")" "$work/$build-$n/all"
	done
}

sources=$(git ls-files '*.c' '*.h' 2>/dev/null | grep -v '^proto/')
[ -n "$sources" ] || sources=$(ls */*.[ch] regress/*/*.[ch] | grep -v ^proto/)
run lint-format clang-format --dry-run -Werror $sources
run lint-cppcheck cppcheck -q -j4 --error-exitcode=1 --inline-suppr \
    --suppress=missingIncludeSystem --enable=warning,portability \
    --std=c11 -Ilib -Idecide -Iproto -Igspard -Iplatform lib decide gspard gsparctl platform standin
run lint-manuals sh -c 'mandoc -T lint -W warning */*.[1-9]'
run docs-errors sh regress/errors.sh
run words sh regress/words.sh
run examples sh regress/examples.sh
run account sh regress/account.sh
run ablate sh regress/ablate.sh
for t in build/asan/unit/t_*; do
	case $t in *.o | *.d) continue ;; esac
	run "unit-${t##*/t_}" "$t"
done
run unit-feature build/ablation/unit/t_feature
run unit-jcheck sh regress/unit/jcheck.sh
for m in model/*.sh; do
	[ -e "$m" ] && run "model-$(basename "$m" .sh)" sh "$m"
done
if [ -n "$SCENARIOS" ]; then
	scenarios plain $SCENARIOS
else
	all=$(cd regress/scenario && ls *.lua | grep -v '^lib' |
	    sed 's/\.lua$//')
	scenarios plain $(echo "$all" | grep -v '^crowd_')
	# Crowds of clients take the machine for themselves.
	for n in $(echo "$all" | grep '^crowd_'); do
		scenarios plain "$n"
	done
	scenarios asan path door site_path site_door site_answers site_tunnel \
	    site_unread unread \
	    site_relay_lost
	scenarios tsan path site_path site_tunnel site_unread
fi
# A short soak; seeds that failed once are run again in full.
run soak-short bash regress/soak/run.sh 1 2 8
run soak-again bash regress/soak/run.sh 301 302 8 again=1
run soak-large bash regress/soak/run.sh 501 502 8 routes=3000
run soak-more bash regress/soak/run.sh 601 602 8 more=1 centres=3
run soak-evacuation bash regress/soak/run.sh 801 802 14 evac=1 centres=3 calm=1
run soak-cut bash regress/soak/run.sh 901 902 12 cut=1 centres=3
run soak-second bash regress/soak/run.sh 1001 1002 12 second=1 calm=1
run soak-denied bash regress/soak/run.sh 1103 1105 12 second=1 calm=1 hosts=12 \
    centres=3
run soak-admit bash regress/soak/run.sh 951 952 12 admit=1 centres=2
for s in $(grep -v '^#' regress/soak/seeds.txt | cut -d: -f1); do
	run "soak-seed-$s" bash regress/soak/run.sh "$s" "$s" 20
done

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
