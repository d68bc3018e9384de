#!/bin/bash
# Shows that the soak fails where it should: removes one safeguard at a time
# from a copy of the daemon and runs seeds of the soak, of which one must fail.
# mutants.sh [SEEDS [SECS [NAME...]]]: with names, only those are tried.  Run by
# hand, takes minutes.
cd "$(dirname "$0")/../.." || exit 1
seeds=${1:-8} secs=${2:-20}
shift 2 2>/dev/null || shift $#
only=$*
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
missed=0

# mutant NAME ARGS FILE SED [FILE SED...]: each SED must change its FILE; ARGS
# are arguments of soak.lua.
mutant() {
	local name=$1 args=$2 tree=$work/$1
	shift 2
	case " $only " in
	"  " | *" $name "*) ;;
	*) return ;;
	esac
	mkdir -p "$tree"
	git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$tree"
	while [ $# -ge 2 ]; do
		sed -i "$2" "$tree/$1"
		if cmp -s "$1" "$tree/$1"; then
			echo "$name: nothing changed in $1"
			missed=$((missed + 1))
			return
		fi
		shift 2
	done
	if ! make -s -C "$tree" fleet >"$work/log" 2>&1; then
		echo "$name: does not build"
		missed=$((missed + 1))
		return
	fi
	cp -r build/plain "$work/$name.build"
	cp "$tree/target/gspard" "$work/$name.build/gspard/gspard"
	# shellcheck disable=SC2086
	SOAK_BUILD=$work/$name.build SOAK_WORK=$work/$name.runs \
	    bash regress/soak/run.sh 101 $((100 + seeds)) "$secs" $args \
	    >"$work/log"
	if grep -m1 FAILED "$work/log" | sed "s/^/$name: found: /; s/, in .*//"; then
		:
	fi
	if ! grep -q FAILED "$work/log"; then
		echo "$name: not found in $seeds seeds"
		missed=$((missed + 1))
	fi
}

mutant no-wait-for-grants "" decide/keys_grant.c \
    's/return (r->released ? r->unanswered_until : r->granted_until);/return (0);/'
mutant unknown-reported-as-not-run "" gspard/direct_flow.c \
    's/if (p->ran > 0 \&\& result_outcome(code) == OUT_NOT_RUN)/if (0)/'
mutant answer-of-another-target "" platform/target.c \
    's/strcmp(r->id, c->id) != 0)/0)/'
mutant leaving-targets-used calm=1 gspard/direct_pick.c \
    's/p->dest.leaving = t->leaving \&\& !t->leave_unwritten;/p->dest.leaving = 0;/' \
    gspard/direct_pick.c 's/^	if (t->leaving \&\& !t->gone)$/	if (0)/'
# A configuration that is not pushed is read from the store 0.4 s later, so
# either of the two is enough.
mutant configurations-not-pushed calm=1 gspard/sitectl_config.c \
    's/if (t != NULL \&\& told->version <= t->version)/if (t != NULL)/'
mutant configurations-not-pushed-nor-read calm=1 gspard/sitectl_config.c \
    's/if (t != NULL \&\& told->version <= t->version)/if (t != NULL)/' \
    decide/behind.c 's/if (now >= b->read_at) {/if (0) {/'
mutant no-retry-budget "more=1 calm=1" decide/budget.c \
    's/if (b->tokens < 1)/if (0)/'
mutant unknown-state-is-ready "more=1 calm=1" platform/decode.c \
    's/entry_state(status, t) != 0)/(entry_state(status, t), 0))/'
echo "$missed not found"
[ $missed -eq 0 ]
