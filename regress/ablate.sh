#!/bin/sh
# Tests bench/pair.sh and bench/ablate.sh with a tool that prints made-up
# results: each day is played with all trees, an interrupted run continues, also
# from the journal alone, the signs in the table are right, and broken rules are
# listed.
cd "$(dirname "$0")/.." || exit 1
here=$(pwd)
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
fail() {
	echo "$1"
	exit 1
}

# A tool that reports a higher worth with all mechanisms than without `far`, as
# the settings in the tree say.  The play of `cold` with seed 20 breaks a rule.
cat >"$work/tool" <<'EOT'
#!/bin/sh
[ "$1" = build ] && exit 0
off=$(sed -n 's/^off = //p' deploy/settings.tmpl)
worth=0.800
[ "$off" = far ] && worth=0.7$5
why=$(echo "$*" | sed 's/.*--why //')
echo "$off $3 $5 $7" >>"$PLAYED"
printf 'day own/srv score worth served refused failed weakest part\n'
printf '%s 8/29 0.78 %s 0.900 0.050 0.050 windows 0.6' "$3" "$worth"
[ "$off" = cold ] && [ "$5" = 20 ] && printf '  BROKEN: OWNER 1 (else 0.70)'
printf '\n\nclass asked in aim late refused failed\n'
printf 'a 100 80 10 5 5\nb 300 250 30 10 10\n\nzone asked in aim late\n'
printf 'z 400 0 399\n'
cat >"journal/$(basename "$PWD")-$3-$5.json" <<J
{"v":1,
"cmd":"run","argv":["x.toml","$3","--seed","$5","--jobs","1","--why","$why"],
"why":"$why",
"digest":"$3 8/29 0.78 $worth 0.900 0.050 0.050 w\n\nclass asked in\na 100 80 10\n\nz",
J
EOT
chmod +x "$work/tool"
export PLAYED="$work/played"

# pair.sh alone, with two trees.
for t in all far; do
	mkdir -p "$work/$t/deploy" "$work/$t/journal"
done
: >"$work/all/deploy/settings.tmpl"
echo 'off = far' >"$work/far/deploy/settings.tmpl"
pair() {
	JOBS=1 sh bench/pair.sh "$work/tool" s "$work/out" "d1 d2" "20 40" \
	    "all=$work/all" "far=$work/far"
}
pair >"$work/got"
cat >"$work/want" <<'EOT'
all to far: 4 days, worth 0.8000 to 0.7300, -0.0700 (0.0058), served 0.9000 to 0.9000, refused 0.0500 to 0.0500, failed 0.0500 to 0.0500, late 0.1000 to 0.1000
EOT
diff "$work/want" "$work/got" || fail "pairs"
# Both plays of a pair are run one after the other.
sed -n 1,2p "$PLAYED" >"$work/two"
printf ' d1 20 1\nfar d1 20 1\n' | diff - "$work/two" || fail "batches"
# A second run plays only what is missing.
rm "$work/out/far/d2-40"
: >"$PLAYED"
pair | diff "$work/want" - || fail "pairs after an interrupted run"
[ "$(cat "$PLAYED")" = "far d2 40 1" ] || fail "played again"
# A play without a result is reported and does not count as worth 0.
echo nothing >"$work/out/far/d2-40"
pair | grep -q '^all to far: 3 days, .*' || fail "a play without a result is counted"
pair | grep -q '^no result: far d2-40$' || fail "a play without a result is not reported"

# ablate.sh, in a repository of its own.
mkdir "$work/repo"
git ls-files -z Makefile rules.mk lib bench/pair.sh bench/ablate.sh \
    bench/ablation_table.sh deploy | xargs -0 cp --parents -t "$work/repo"
cd "$work/repo" || exit 1
printf 'ablation:\n\t@true\n' >Makefile
mkdir journal
: >journal/none
git init -q . && git add -A && git -c user.name=t -c user.email=t@t commit -qm t
: >s1.toml
ablate() {
	FEATURES="cold far" DAYS="d1" SEEDS="20 40" JOBS=1 PLOT=$work/plot.svg \
	    sh bench/ablate.sh "$work/tool" "$1" s1.toml
}
: >"$PLAYED"
ablate "$work/one" >"$work/got" || fail "ablate"
cat >"$work/want" <<'EOT'
| mechanism | s1, 2 days: worth | served, refused, late |
| --- | --- | --- |
| far | +0.0700 (0.0100) | +0.0, +0.0, +0.0 |
| none | +0.0000 (0.0000) | +0.0, +0.0, +0.0 |
| cold | +0.0000 (0.0000) | +0.0, +0.0, +0.0 |
s1: rule broken: cold d1-20
EOT
diff "$work/want" "$work/got" || fail "table"
[ "$(wc -l <"$PLAYED")" -eq 8 ] || fail "not eight plays"
[ "$(ls journal | grep -c json)" -eq 8 ] || fail "journal entries not kept"
grep -q svg "$work/plot.svg" || fail "no plot"
# In another folder, as after a new checkout, all results come from the journal.
: >"$PLAYED"
ablate "$work/again" | head -5 >"$work/got"
head -5 "$work/want" | diff - "$work/got" || fail "not restored from the journal"
[ ! -s "$PLAYED" ] || fail "played again although it is in the journal"
cd "$here" || exit 1
echo "pairs and ablations as expected"
