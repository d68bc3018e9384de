#!/bin/sh
# Tests jcheck, the checker of journals: it must reject invalid journals, each
# for the right reason.
cd "$(dirname "$0")/../.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
j=build/plain/standin/jcheck

# try NAME STATUS TEXT: checks the journals a and b; the exit status must be
# STATUS and the output must contain TEXT.
try() {
	$j "$work/a" "$work/b" >"$work/out" 2>&1
	status=$?
	if [ $status -ne "$2" ] || ! grep -q "$3" "$work/out"; then
		echo "$1: exit status $status, expected $2 with '$3':"
		cat "$work/out"
		exit 1
	fi
}

good_a='boot - 0 0 0
hold s 1 5 100
until - 0 0 900
start s 1 5 200 k gs1-a
end s 1 5 300 k gs1-a done
'
printf '%s' "$good_a" >"$work/a"
printf 'boot - 0 0 0\nhold s 1 6 901\nuntil - 0 0 1500\n' >"$work/b"
try good 0 "0 faults"
printf 'boot - 0 0 0\nhold s 1 6 850\nuntil - 0 0 1500\n' >"$work/b"
try overlap 1 "two owners"
printf 'boot - 0 0 0\nhold s 1 4 901\nuntil - 0 0 1500\n' >"$work/b"
try fence 1 "fence fell"
printf 'hold s 2 6 901\nuntil - 0 0 1500\nstart s 2 6 1000 k gs1-a\n' >"$work/b"
try twice 1 "run twice"
printf 'hold s 2 6 901\nuntil - 0 0 1500\nstart s 2 6 1501 k gs1-b\n' >"$work/b"
try lapsed 1 "run by no owner"
printf 'hold s 2 6 901\nuntil - 0 0 1500\nstart s 2 5 1000 k gs1-b\n' >"$work/b"
try stale 1 "run by no owner"
# A process that died owned its shards until its last grant ended, not forever.
printf '%sboot - 0 0 2000\nhold s 1 9 3000\nuntil - 0 0 4000\n' "$good_a" >"$work/a"
printf 'hold s 1 6 901\nuntil - 0 0 1500\n' >"$work/b"
try restart 0 "0 faults"
exit 0
