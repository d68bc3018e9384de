#!/bin/sh
# Draws plots of bench/results/control.txt in docs/plots/.
cd "$(dirname "$0")/.." || exit 1
mkdir -p docs/plots
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT

# column NAME FILTER FIELD-OF-X: writes x and the bytes a second of the
# controller and of another host, for the matching lines.
column() {
	grep -E "$2" bench/results/control.txt |
	    sed 's/[:;,]//g' |
	    awk -v x="$3" '{ print $x, $8, $17 }' | sort -n >"$work/$1"
}
column hosts 'targets 6 shards 64:' 2
column targets 'hosts 6 targets [0-9]* shards 64:' 4
column shards 'hosts 6 targets 6 shards' 6
for n in hosts targets shards; do
	gnuplot <<-P
	set terminal svg size 640,400
	set output "docs/plots/control-$n.svg"
	set title "Control traffic at rest against $n, TCP/IP headers included"
	set xlabel "$n"
	set ylabel "bytes a second"
	set yrange [0:*]
	set key top left
	plot "$work/$n" using 1:2 with linespoints title "controller", \
	     "$work/$n" using 1:3 with linespoints title "other host", \
	     16384 title "budget"
	P
done
