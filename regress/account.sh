#!/bin/sh
# Tests bench/account.sh with a few log lines: each cause once, a hot key apart
# from other late requests, lines with and without a time in front.
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
line() {
	echo "t=$1 level=info host=h part=router request=r msg=\"$2: service" \
	    "$3, target -, key $4, tries 0, after 1 ms of 9, load there 0.0\""
}
{
	i=0
	while [ $i -lt 12 ]; do
		line "100.$i" GS_TOO_LATE s 7
		i=$((i + 1))
	done
	line 101 GS_TOO_LATE s 8
	line 101 GS_NO_OWNER s 9
	line 105 GS_SHED s 9
	line 105 GS_DEADLINE u -1
	line 105 GS_TARGET_LOST u -1
	line 106 GS_STOPPING u -1
	echo 't=106 part=router request=r msg="refused by target i-1"'
} >"$work/log"
cat >"$work/want" <<'EOT'
service       no owner   hot key     queue      full  deadline     broke  stopping
s                    1        12         1         1         0         0         0
u                    0         0         0         0         1         1         1
from 0 s             1        12         1         0         0         0         0
from 4 s             0         0         0         1         1         1         1
EOT
sh bench/account.sh 4 <"$work/log" | sort >"$work/g"
sort "$work/want" >"$work/w"
diff "$work/w" "$work/g" || exit 1
sed 's/^/3.5 h1 /' "$work/log" | sh bench/account.sh 4 | grep -q '^from 0 s' ||
    exit 1
echo "accounts as expected"
