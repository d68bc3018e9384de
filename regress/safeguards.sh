#!/bin/bash
# Takes one safeguard of a rule at a time out of a copy of decide/, and looks
# whether the unit that stands for it fails: one that nothing misses is not
# tested.  Those of control are taken out in model/control.sh, those that need
# processes in regress/soak/mutants.sh.  Run by hand, minutes; with names as
# arguments, those alone.
# Prints a line for each, the last line sums them up.
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
only=$*
found=0
missed=0
# A unit that takes longer than this with a safeguard out does not end.
LONGEST_S=120

mkdir "$work/whole"
git ls-files -z rules.mk lib decide proto platform gspard regress/unit |
    xargs -0 cp --parents -t "$work/whole"
# What is left unused by a change is no reason not to play it.
sed -i 's/ -Werror//' "$work/whole/rules.mk"
for d in proto lib decide platform; do
	make -s -C "$work/whole/$d" || exit 1
done

# without NAME UNIT FILE SED: the unit is to fail with this change to one file.
without() {
	local tree=$work/$1
	case " $only " in
	"  " | *" $1 "*) ;;
	*) return ;;
	esac
	cp -a "$work/whole" "$tree"
	sed -i "$4" "$tree/decide/$3"
	if cmp -s "decide/$3" "$tree/decide/$3"; then
		echo "$1: nothing changed in $3"
		missed=$((missed + 1))
	elif ! make -s -C "$tree/decide" >"$work/log" 2>&1 ||
	    ! make -s -C "$tree/regress/unit" PROGS="t_$2" \
		>"$work/log" 2>&1; then
		echo "$1: does not build: $(grep -m1 error "$work/log")"
		missed=$((missed + 1))
	else
		judge "$1" "$2" "$tree"
	fi
	rm -rf "$tree"
}

# judge NAME UNIT TREE: runs the unit; one that does not end has found it too.
judge() {
	local status
	(cd "$3/regress/unit" && env -u KEYS_SEEDS timeout "$LONGEST_S" \
	    "$3/build/plain/unit/t_$2" >"$work/log" 2>&1)
	status=$?
	if [ $status -eq 0 ]; then
		echo "$1: NOT FOUND by unit $2"
		missed=$((missed + 1))
		return
	fi
	found=$((found + 1))
	if [ $status -eq 124 ]; then
		echo "$1: found by unit $2, which did not end"
		return
	fi
	echo "$1: found by unit $2: $(sed -n \
	    's/^Suite.*, Test \(.*\) had failures:/\1/p' "$work/log" |
	    paste -sd, | sed 's/,/, /g')"
}

# One owner for each key.
without grants-are-waited-for keys keys_grant.c \
    's/return (r->released ? r->unanswered_until : r->granted_until);/return (0);/'
without unanswered-grants-after-release keys keys_grant.c \
    's/return (r->released ? r->unanswered_until/return (r->released ? 0/'
without grants-read-late keys keys_grant.c \
    's/status == ORDER_UNREAD ? until + KEYS_UNREAD/status == ORDER_UNREAD ? until/'
without slow-clocks keys keys.h 's/KEYS_CLOCK_SLOW 1.02/KEYS_CLOCK_SLOW 1.0/'
without way-of-an-order keys keys.h 's/KEYS_WAY MS(150)/KEYS_WAY MS(0)/'
without no-renewal-while-let-go keys keys_grant.c \
    's/return (!r->letting_go \&\& /return (/'
without fence-stored-before-grant keys keys_grant.c \
    's/k->stored_seq >= r->fence_by/1/'
without move-stored-before-release keys keys_grant.c \
    's/ \&\& k->stored_seq >= r->plan_by//'
without order-under-way keys keys_grant.c \
    's/if (!r->open \&\& (r->inherits/if ((r->inherits/'
without tries-that-left-nothing keys keys_grant.c \
    's/if (status != ORDER_NOT_SENT)/if (1)/'
without fence-after-refusal keys keys_grant.c \
    's/r->fence = ++k->top_fence;/r->fence = k->top_fence;/'
without takeover-waits keys keys_store.c \
    's/_until = clear_at;/_until = 0;/'
# A range that was on its way is let go before anything is granted, anyhow.
without takeover-waits-for-next keys keys_store.c \
    's/r->letting_go = r->next != NO_TARGET;/r->letting_go = 0;/'
# Grants under raised fences make targets refuse what they have not read yet.
without takeover-fences-and-order-wait keys keys_store.c \
    's/k->ranges\[i\].fence = k->top_fence;/;/;s/now + k->conf.order_wait + KEYS_WAY/now + KEYS_WAY/'
without takeover-reckons-order-wait keys keys_store.c \
    's/now + k->conf.order_wait + KEYS_WAY/now + KEYS_WAY/'
without takeover-raises-fences keys keys_store.c \
    's/k->ranges\[i\].fence = k->top_fence;/;/'
without writes-of-earlier-terms keys keys_store.c \
    's/ || write != keys_write(k)//'
without conflict-is-not-ours keys keys_store.c \
    's/if (found \&\& is_ours(k, json, n))/if (found)/'
without spoilt-owners-wait keys keys_store.c \
    's/k->ranges\[0\].granted_until = earlier_clear(k, 0, now);/;/'
without spoilt-owners-raise-fences keys keys_store.c \
    's/k->top_fence = k->term << FENCES_EACH;/;/'
without heir-waits-in-a-move keys keys_plan.c \
    's/ || r->letting_go || r->next != NO_TARGET)/)/'
without heir-keeps-grants keys keys_grant.c 's/if (!r->inherits) {/if (1) {/'
without reused-addresses keys keys.c \
    '/strcmp(t->id, f->id) != 0)/{n;s/t->listed = 0/;/}'
without joined-ranges-keep-grants keys keys.c \
    's/a->unanswered_until = b->unanswered_until;/;/'
without later-life-only incarnation incarnation.c \
    's/born(later) > born(earlier)/born(later) != born(earlier)/'

# No new work to a leaving target.
without said-so-for-good membership membership.c 's/e->t.leaving |= e->said_so;/;/'
without past-lives-are-old-news membership membership.c \
    's/^	if (is_past(k, t->id))/	if (0)/'
without earlier-life-ends membership membership.c 's/^	end_earlier(k, t->id, now);/;/'
without missing-in-a-whole-list membership membership.c \
    's/for (i = 0; f->whole \&\& i < k->n; i++)/for (i = 0; 0; i++)/'
without doubt-ends membership membership.c \
    's/e->missing_since != 0 \&\& now >= k->doubt_until/0/'
without unusable-entry membership membership.c \
    's/each_life(k, target, now, mark_gone)/each_life(k, target, now, lost)/'
without leaving-is-not-usable dest dest.c 's/!d->leaving \&\& //'
without digest-of-now-and-lately superseded superseded.c \
    's/l->was\[i\].number == number/1/'

# Control, beyond what the model has.
without deaf-controller hearing hearing.c \
    's/return (2 \* lately >= before);/return (1);/'
without heir-of-control-reaches-store standby standby.c \
    's/c\[i\].is_one \&\& c\[i\].store \&\&/c[i].is_one \&\&/'
without outdone-by-a-later-term term term.c \
    's/if (t->role != TERM_HOLDER || term <= t->rec.term)/if (1)/'
without two-looks-far-apart term term.c \
    's/ ||$/ || 0 ||/;s/now - t->last_seen > 2 \* t->conf.lease) {/0) {/'
without unsettled-after-takeover term term.c \
    's/ \&\& !t->must_withdraw \&\& now >= t->settle_at);/);/'
without yielded-by-another term term.c \
    's/    !same(&t->taken_from.holder, who))/    0)/'
without yielded-to-an-earlier-term term term.c \
    's/t->role != TERM_HOLDER || term < t->rec.term ||/t->role != TERM_HOLDER ||/'

# Configurations, repeats, stops.
without change-of-another-version site_change site_change.c \
    's/if (was->version != change->since)/if (0)/'
without older-versions-are-not-wanted behind behind.c \
    's/if (version <= own || version <= b->wanted)/if (version <= own)/'
without asked-once behind behind.c 's/ || now < b->ask_at)/)/'
without pace-of-copies pace pace.c 's/return (now >= p->free_at);/return (1);/'
without pace-of-telling pace pace.c 's/ <= link_bytes(link_mbps) \* TELL_SPAN_S/ >= 0/'
without budget-of-repeats route budget.c 's/if (b->tokens < 1)/if (0)/'
without end-of-a-stopping-host stop_plan stop_plan.c \
    's/return (deadline < l->end ? deadline : l->end);/return (deadline);/'
without late-requests-of-a-stop stop_plan stop_plan.c \
    's/return (now < l->shut || deadline <= l->end);/return (1);/'

# Limits of targets.
without limit-of-all-hosts rate rate.c 's/r->turns.hosts \* US_PER_SEC/US_PER_SEC/'
without turns-lie-apart rate rate.c 's/r->turns.rank \* (/0 * (/'
without turns-not-saved rate rate.c 's/if (lost <= 0)/if (1)/'
without turns-not-put-off rate rate.c 's/if (was != 0 \&\& was < r->next)/if (0)/'
without change-gives-no-turn rate rate.c \
    's/if (r->last != 0 \&\& r->last + r->every > from)/if (0)/'

# Requests that crash targets.
without crash-counts-once quarantine quarantine.c \
    's/if (!counted(e, b->target))/if (1)/'
without crash-needs-an-end quarantine quarantine.c \
    's/if (q->ends\[i\].target == target \&\&/if (1 \&\&/'
without crash-ended-before quarantine quarantine.c \
    's/now - q->ends\[i\].at <= ENDED_WITHIN/0/'
without end-long-after quarantine quarantine.c \
    's/ \&\& now - b->at <= ENDED_WITHIN//'
without quarantine-kept-in-full-table quarantine quarantine.c \
    's/listed_until(e) > now ? listed_until(e) : e->last/e->last/'
without answered-is-not-to-blame quarantine recent.c \
    's/r->kept\[i\].digest == digest \&\&/0 \&\&/'
without sends-count-once quarantine quarantine.c \
    's/if (more <= 0)/if (0)/'
without probation-by-runs quarantine quarantine.c \
    's/if (e->runs >= PROBATION_RUNS/if (e->runs >= 100/'
without probation-settles quarantine quarantine.c \
    's/now - e->probation_since < PROBATION_SETTLES/0/'
without cleared-stays-cleared quarantine quarantine.c \
    's/if (e->cleared != 0 \&\& now - e->cleared < CLEARED_FOR)/if (0)/'
without quarantine-not-cleared quarantine quarantine.c \
    's/if (e == NULL || e->until != 0)/if (e == NULL)/'

# Data centres that are evacuated, targets that are cold.
without evacuation-known-later evacuation evacuation.c \
    's/if (told->as_of <= e->as_of)/if (0)/'
without evacuation-list-later evacuation evacuation.c \
    's/if (listed->as_of < e->as_of)/if (0)/'
without evacuation-time-kept evacuation evacuation.c \
    's/if (own >= 0 \&\&/if (0 \&\&/'
without evacuation-at-once evacuation evacuation.c \
    's/e->list\[i\].since == 0 ? 1 : //'
without evacuated-is-closed dest dest.c \
    's/(d->closed_from != 0 \&\& now >= d->closed_from)/0/'
without evacuated-gives-keys keys keys_plan.c 's/ || t->evacuated ||/ ||/'
without cold-takes-few dest dest.c \
    's/if (now >= d->cold_until || d->cold_rate <= 0)/if (1)/'
without cold-gets-no-keys keys keys_plan.c \
    's/if (few \&\& best != NO_TARGET \&\& !best_few)/if (0)/'

echo "$found found, $missed not found"
[ $missed -eq 0 ]
