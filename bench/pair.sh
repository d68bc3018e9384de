#!/bin/sh
# Plays the same days and seeds with several trees and compares the trees in
# pairs.
#
# pair.sh TOOL SITE OUT "DAYS" "SEEDS" NAME=TREE NAME=TREE ...
#
# TOOL is the users' bench, SITE a site file, OUT a folder that keeps the output
# of each play: a play whose output exists is not repeated, so an interrupted
# run continues.  All trees are compared with the first.  Each day and seed is
# played with all trees one after the other, JOBS plays at once (default 4), so
# that other load on the machine affects both plays of a pair.  WHY goes into
# each journal entry, with the tree's name.  The table has for each tree the
# number of days played with both, the mean worth of the first tree and of this
# one, the mean difference with its standard error, and the shares served,
# refused, failed and late.  A further line names each play that broke a rule or
# has no result.
[ $# -ge 6 ] || {
	echo "usage: pair.sh TOOL SITE OUT \"DAYS\" \"SEEDS\" NAME=TREE ..." >&2
	exit 2
}
tool=$1 site=$2 out=$3 days=$4 seeds=$5
shift 5
mkdir -p "$out" || exit 1
out=$(cd "$out" && pwd)

for t in "$@"; do
	mkdir -p "$out/${t%%=*}"
	(cd "${t#*=}" && "$tool" build >/dev/null 2>&1) || {
		echo "${t#*=} does not build" >&2
		exit 1
	}
done
for d in $days; do
	for s in $seeds; do
		for t in "$@"; do
			[ -s "$out/${t%%=*}/$d-$s" ] ||
			    echo "${t#*=} $out/${t%%=*} $d $s ${t%%=*}"
		done
	done
done | xargs -r -P "${JOBS:-4}" -L1 sh -c '
	cd "$4" && "$1" run "$2" "$6" --seed "$7" --jobs 1 \
	    --why "$3: $8" >"$5/.$6-$7" 2>&1
	mv "$5/.$6-$7" "$5/$6-$7"' sh "$tool" "$site" "${WHY:-paired}"
for t in "$@"; do
	name=${t%%=*}
	for d in $days; do
		for s in $seeds; do
			awk -v name="$name" -v play="$d-$s" '
			$2 ~ /^[0-9]+\/[0-9]+$/ && $4 ~ /^-?[0-9.]+$/ &&
			    line == "" {
				line = $4 " " $5 " " $6 " " $7
				broken = /BROKEN/ ? "broken" : "-"
			}
			NF == 0 { classes = 0 }
			classes { asked += $2; late += $4 }
			$1 == "class" { classes = 1 }
			END {
				if (line == "")
					print name, play, "none"
				else
					print name, play, line, broken,
					    (asked > 0 ? late / asked : 0)
			}' "$out/$name/$d-$s"
		done
	done
done | awk '
NR == 1 { base = $1 }
$3 == "none" { none[++nnone] = $1 " " $2; next }
$1 == base { w[$2] = $3; sv[$2] = $4; rf[$2] = $5; fl[$2] = $6; lt[$2] = $8 }
$7 == "broken" { bad[++nbad] = $1 " " $2 }
$1 != base && ($2 in w) {
	if (!($1 in n))
		order[++trees] = $1
	n[$1]++
	d = $3 - w[$2]
	sum[$1] += d
	sq[$1] += d * d
	a[$1] += w[$2]
	b[$1] += $3
	s0[$1] += sv[$2]; s1[$1] += $4
	r0[$1] += rf[$2]; r1[$1] += $5
	f0[$1] += fl[$2]; f1[$1] += $6
	l0[$1] += lt[$2]; l1[$1] += $8
}
END {
	for (i = 1; i <= trees; i++) {
		t = order[i]
		k = n[t]
		m = sum[t] / k
		var = k > 1 ? (sq[t] - k * m * m) / (k - 1) : 0
		printf "%s to %s: %d days, worth %.4f to %.4f, %+.4f (%.4f), " \
		    "served %.4f to %.4f, refused %.4f to %.4f, " \
		    "failed %.4f to %.4f, late %.4f to %.4f\n", base, t, k,
		    a[t] / k, b[t] / k, m,
		    sqrt((var > 0 ? var : 0) / k), s0[t] / k, s1[t] / k,
		    r0[t] / k, r1[t] / k, f0[t] / k, f1[t] / k,
		    l0[t] / k, l1[t] / k
	}
	for (i = 1; i <= nbad; i++)
		print "rule broken: " bad[i]
	for (i = 1; i <= nnone; i++)
		print "no result: " none[i]
}'
