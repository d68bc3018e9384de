#!/bin/sh
# Measures what each mechanism of lib/feature.h is worth: turns one off at a
# time and plays the same days and seeds with and without it.
#
# ablate.sh TOOL OUT SITE...
#
# TOOL is the users' bench, OUT a folder for trees and for the output of each
# play, SITE a site file.  DAYS and SEEDS are played on each site, JOBS plays at
# once (default 3).  FEATURES (default all) are turned off one by one; "none"
# turns nothing off and shows how much two equal plays differ.  An interrupted
# run continues: plays of this commit that are in the journal are not repeated.
# All entries are put into the journal.  Prints a table, and draws PLOT if it is
# set.
[ $# -ge 3 ] || {
	echo "usage: ablate.sh TOOL OUT SITE..." >&2
	exit 2
}
tool=$1 out=$2
shift 2
mkdir -p "$out/trees" || exit 1
out=$(cd "$out" && pwd)
here=$(cd "$(dirname "$0")/.." && pwd)
days=${DAYS:-trouble-1 scale-1 scale-2} seeds=${SEEDS:-1 2}
features=${FEATURES:-$(sed -n 's/^    \[FEATURE_.* = "\(.*\)",$/\1/p' \
    "$here/lib/feature.c")}
commit=$(git -C "$here" rev-parse --short HEAD)

# tree NAME: makes a copy of this commit with that mechanism off; "all" has all
# on.
tree() {
	[ -d "$out/trees/$1" ] && return
	if [ "$1" = all ]; then
		git clone -q "$here" "$out/trees/.all" || exit 1
		sed -i 's/^build = .*/build = "make -j4 ablation"/' \
		    "$out/trees/.all/deploy/system.toml"
		make -s -C "$out/trees/.all" ablation || exit 1
	else
		cp -a "$out/trees/all" "$out/trees/.$1" || exit 1
		[ "$1" = none ] || printf '\n[ablation]\noff = %s\n' "$1" \
		    >>"$out/trees/.$1/deploy/settings.tmpl"
	fi
	mv "$out/trees/.$1" "$out/trees/$1"
}

# keep_entries: copies new journal entries of all trees into the journal.
keep_entries() {
	for t in "$out"/trees/*; do
		cp -rn "$t/journal/." "$here/journal/"
	done
}

# restore SITE: restores the output of plays of this commit from the journal.
restore() {
	grep -l "\"why\":\"ablation $1 $commit: " "$here"/journal/*.json 2>/dev/null |
	    while read -r f; do
		name=$(sed -n 's/^"why":".*: \([a-z]*\)",$/\1/p' "$f")
		play=$(sed -n 's/^"cmd":"run","argv":\["[^"]*","\([^"]*\)",'\
'"--seed","\([^"]*\)".*/\1-\2/p' "$f")
		text=$(sed -n 's/^"digest":"\(.*\)",*$/\1/p' "$f")
		[ -n "$name" ] && [ -n "$play" ] && [ -n "$text" ] || continue
		mkdir -p "$out/$1/$name"
		[ -s "$out/$1/$name/$play" ] ||
		    printf '%b\n' "$text" >"$out/$1/$name/$play"
	done
}

trees=
for n in all none $features; do
	tree "$n"
	trees="$trees $n=$out/trees/$n"
done
sites=
for s in "$@"; do
	site=$(basename "$s" .toml)
	restore "$site"
	# shellcheck disable=SC2086
	JOBS=${JOBS:-3} WHY="ablation $site $commit" sh "$here/bench/pair.sh" \
	    "$tool" "$(realpath "$s")" "$out/$site" "$days" "$seeds" $trees \
	    >"$out/$site.txt"
	keep_entries
	sites="$sites $site"
done
# shellcheck disable=SC2086
(cd "$out" && sh "$here/bench/ablation_table.sh" $sites)
