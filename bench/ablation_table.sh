#!/bin/sh
# Prints the table of an ablation from the output of bench/pair.sh for each
# site, in the files SITE.txt of the current folder: ablation_table.sh SITE...
#
# One row for each mechanism, ordered by its worth averaged over the sites, the
# highest first.  For each site: worth with the mechanism minus worth without
# it, with the standard error of the difference; and how much more is served,
# refused and late with it, in percentage points.  Plays with a broken rule and
# plays without a result follow.  Draws PLOT, an SVG file, if it is set.
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
for s in "$@"; do
	sed -n 's/[:,()]//g; s/^all to //p' "$s.txt" | sed "s/^/$s /"
done >"$work/rows"
# Fields used of a row: 1 site, 2 mechanism, 3 days; 9 worth without minus worth
# with it, 10 its standard error; then with and without it: 12 and 14 served, 16
# and 18 refused, 24 and 26 late.
awk '
{ sum[$2] -= $9 }
END {
	for (f in sum)
		print sum[f], f
}' "$work/rows" | sort -rn | cut -d' ' -f2 >"$work/order"
awk -v sites="$*" -v plot="$work/plot" '
function points(with, without) {
	return sprintf("%+.1f", 100 * (with - without))
}
FILENAME ~ /rows$/ {
	days[$1] = $3
	worth[$2, $1] = sprintf("%+.4f (%.4f)", 0 - $9, $10)
	bar[$2, $1] = (0 - $9) " " $10
	shares[$2, $1] = points($12, $14) ", " points($16, $18) ", " points($24, $26)
	next
}
FNR == 1 {
	n = split(sites, site, " ")
	head = "| mechanism |"
	rule = "| --- |"
	for (i = 1; i <= n; i++) {
		head = head " " site[i] ", " days[site[i]] + 0 \
		    " days: worth | served, refused, late |"
		rule = rule " --- | --- |"
	}
	print head
	print rule
}
{
	line = "| " $1 " |"
	point = $1
	for (i = 1; i <= n; i++) {
		line = line " " worth[$1, site[i]] " | " \
		    shares[$1, site[i]] " |"
		point = point " " (($1, site[i]) in bar ? bar[$1, site[i]] \
							 : "? ?")
	}
	print line
	print point >plot
}' "$work/rows" "$work/order"
for s in "$@"; do
	sed -n "s/^\(rule broken\|no result\): /$s: &/p" "$s.txt"
done
[ -n "$PLOT" ] || exit 0
k=0
for s in "$@"; do
	printf '%s "%s" using ($0 + %s):%d:%d title "%s"' \
	    "$([ $k -eq 0 ] && echo plot || echo ,)" "$work/plot" \
	    "$(echo "$k" | awk '{ print 0.2 * $1 }')" $((2 + 2 * k)) \
	    $((3 + 2 * k)) "$s"
	k=$((k + 1))
done >"$work/plots"
gnuplot <<-P
	set terminal svg size 900,420
	set output "$PLOT"
	set title "Worth of each mechanism, with its standard error"
	set ylabel "worth"
	set grid y
	set datafile missing "?"
	set xrange [-0.5:*]
	set xtics rotate by -45 ($(awk '{
		printf "%s\"%s\" %d", (NR > 1 ? ", " : ""), $1, NR - 1
	}' "$work/plot"))
	set style data yerrorbars
	set pointsize 0.5
	$(cat "$work/plots")
P
