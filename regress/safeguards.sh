#!/bin/bash
# Removes one safeguard at a time from a copy of decide/ and checks that the
# unit test that covers it fails.  A safeguard whose removal no test notices is
# not tested.  The safeguards of control are removed by model/control.sh, those
# that need processes by regress/soak/mutants.sh.  Run by hand, takes minutes;
# with names as arguments, only those are tried.  Prints a line for each; the
# last line sums them up.
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
only=$*
found=0
missed=0
# A unit test that runs longer than this without the safeguard hangs.
LONGEST_S=120

mkdir "$work/original"
git ls-files -z rules.mk lib decide proto platform gspard regress/unit |
    xargs -0 cp --parents -t "$work/original"
# A variable or function that a removal leaves unused must not stop the build.
sed -i 's/ -Werror//' "$work/original/rules.mk"
for d in proto lib decide platform; do
	make -s -C "$work/original/$d" || exit 1
done

# without NAME UNIT FILE SED: the unit test must fail with this change to a
# file.
without() {
	local tree=$work/$1
	case " $only " in
	"  " | *" $1 "*) ;;
	*) return ;;
	esac
	cp -a "$work/original" "$tree"
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
		run_unit "$1" "$2" "$tree"
	fi
	rm -rf "$tree"
}

# run_unit NAME UNIT TREE: runs the unit test.  One that hangs has also failed.
run_unit() {
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
		echo "$1: found by unit $2, which hung"
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
    's/? until + KEYS_READ_DELAY/? until/'
without clock-drift keys keys.h 's/KEYS_CLOCK_DRIFT 1.02/KEYS_CLOCK_DRIFT 1.0/'
without network-delay-of-orders keys keys.h \
    's/KEYS_NETWORK_DELAY MS(150)/KEYS_NETWORK_DELAY MS(0)/'
without no-renewal-while-releasing keys keys_grant.c \
    's/return (!r->releasing \&\& /return (/'
without fence-stored-before-grant keys keys_grant.c \
    's/k->stored_seq >= r->fence_write/1/'
without move-stored-before-release keys keys_grant.c \
    's/ \&\& k->stored_seq >= r->plan_write//'
without no-move-while-order-pending keys keys_grant.c \
    's/if (!r->order_pending \&\&$/if (/'
without orders-not-sent keys keys_grant.c \
    's/if (status != ORDER_NOT_SENT)/if (1)/'
without fence-after-refusal keys keys_grant.c \
    's/r->fence = ++k->top_fence;/r->fence = k->top_fence;/'
without takeover-waits keys keys_store.c \
    's/_until = grants_lapse_at;/_until = 0;/'
# Without this, a range that is being moved is still released before any grant.
without takeover-waits-for-next keys keys_store.c \
    's/r->releasing = r->next != NO_TARGET;/r->releasing = 0;/'
# Grants under raised fences make targets refuse orders that they have not read
# yet, so this fails only with both removed.
without takeover-fences-and-order-wait keys keys_store.c \
    's/k->ranges\[i\].fence = k->top_fence;/;/;s/now + k->conf.order_timeout + KEYS_NETWORK_DELAY/now + KEYS_NETWORK_DELAY/'
without takeover-reckons-order-wait keys keys_store.c \
    's/now + k->conf.order_timeout + KEYS_NETWORK_DELAY/now + KEYS_NETWORK_DELAY/'
without takeover-raises-fences keys keys_store.c \
    's/k->ranges\[i\].fence = k->top_fence;/;/'
without writes-of-earlier-terms keys keys_store.c \
    's/ || write != keys_write_id(k)//'
without conflict-with-own-write keys keys_store.c \
    's/if (found \&\& is_own_write(k, json, n))/if (found)/'
without invalid-owners-wait keys keys_store.c \
    's/k->ranges\[0\].granted_until = earlier_grants_lapse_at(k, 0, now);/;/'
without invalid-owners-raise-fences keys keys_store.c \
    's/k->top_fence = k->term << FENCE_TERM_SHIFT;/;/'
without one-move-at-a-time keys keys_plan.c \
    's/ || r->releasing || r->next != NO_TARGET)/)/'
without restarted-owner-keeps-grants keys keys_grant.c \
    's/if (!r->owner_restarted) {/if (1) {/'
without reused-addresses keys keys.c \
    '/if (is_addr_reused(/{n;s/t->listed = 0/;/}'
without joined-ranges-keep-grants keys keys.c \
    's/a->unanswered_until = b->unanswered_until;/;/'
without later-incarnation-only incarnation incarnation.c \
    's/started_at(later) > started_at(earlier)/started_at(later) != started_at(earlier)/'

# Requests that may run once run once.
without second-answers-to-attempts answers answers.c \
    's/\&\& !f->resent \&\&/\&\&/'
without answers-name-their-request answers answers.c \
    's/(!f->new_conn || (f->is_signed \&\& f->has_id))/f->is_signed \&\& f->has_id/'
without refusals-name-their-request answers answers.c \
    's/(f->id == ANSWER_ID_OWN || !f->has_id)/1/'
without refusals-are-stated answers answers.c 's/(f->is_stated \&\& /(/'
without refusals-are-not-signed answers answers.c \
    's/\&\& !f->is_signed \&\&/\&\&/'

# A release is answered by its own answer.
without tokens-that-came-before order_conns order_conns.c \
    's/if (c->tokens\[i\] == token)/if (0)/'
without answers-of-unknown-connections order_conns order_conns.c \
    's/if (c == NULL || c->ntokens > ORDER_TOKENS_MAX)/if (c == NULL)\n\t\treturn (0);\n\tif (0)/'
without releases-are-answered-by-tokens order_conns order_conns.c \
    's/a->release ? a->token == 0 ||/a->release ? a->token != 0 \&\&/'

# No new requests to a leaving target.
without announced-leave-stays membership membership.c \
    's/e->t.leaving |= e->leave_announced;/;/'
without superseded-incarnations-ignored membership membership.c \
    's/^	if (is_superseded(k, t->id))/	if (0)/'
without earlier-incarnation-ends membership membership.c \
    's/^	end_earlier(k, t->id, now);/;/'
without missing-in-a-complete-list membership membership.c \
    's/for (i = 0; f->whole \&\& i < k->n; i++)/for (i = 0; 0; i++)/'
without doubt-window-ends membership membership.c \
    's/e->missing_since != 0 \&\& now >= k->doubt_until/0/'
without invalid-entry-is-gone membership membership.c \
    's/each_incarnation(k, target, now, mark_gone)/each_incarnation(k, target, now, entry_removed)/'
without leaving-is-not-usable dest dest.c 's/(d->leaving || /(/'
without leave-by-answer-closes dest dest.c \
    's/ || dest_left(d, now) ||/ ||/'
without first-announcement-counts dest dest.c \
    's/^	if (d->leaving_from != 0)$/	if (0)/'
without leave-by-answer-is-final membership membership.c \
    '/^membership_leave_announced/,/^}/s/e->leave_announced = 1;/;/'
without only-superseded-versions superseded superseded.c \
    's/l->replaced\[i\].version == version/1/'

# Control, beyond what the model covers.
without controller-hears-too-few hearing hearing.c \
    's/return (2 \* lately >= before);/return (1);/'
without larger-standby-reaches-store standby standby.c \
    's/c\[i\].is_standby \&\& c\[i\].store \&\&/c[i].is_standby \&\&/'
without superseded-by-a-later-term term term.c \
    's/if (t->role != TERM_HOLDER || term <= t->rec.term)/if (1)/'
without reads-far-apart term term.c \
    's/ ||$/ || 0 ||/;s/now - t->last_seen > 2 \* t->conf.lease) {/0) {/'
without old-leases-after-takeover term term.c \
    '/!t->need_withdrawal &&$/{N;s/ \&\& !t->need_withdrawal \&\&\n[^\n]*now >= t->old_leases_lapse_at);/);/}'
without followed-by-another-host term term.c \
    's/    !same_process(&t->previous_record.holder, process))/    0)/'
without followed-in-an-earlier-term term term.c \
    's/t->role != TERM_HOLDER || term < t->rec.term ||/t->role != TERM_HOLDER ||/'

# Site configurations, retries, stops.
without difference-to-another-version site_change site_change.c \
    's/if (old->version != diff->since)/if (0)/'
without older-versions-not-wanted behind behind.c \
    's/if (version <= own || version <= b->wanted)/if (version <= own)/'
without requested-once behind behind.c 's/ || now < b->ask_at)/)/'
without pace-of-copies pace pace.c 's/return (now >= p->free_at);/return (1);/'
without pace-of-pushes pace pace.c \
    's/ <= link_bytes(link_mbps) \* PUSH_TIME_MAX_S/ >= 0/'
without retry-budget route budget.c 's/if (b->tokens < 1)/if (0)/'
without end-of-a-stopping-host stop_plan stop_plan.c \
    's/return (deadline < l->end ? deadline : l->end);/return (deadline);/'
without late-requests-of-a-stop stop_plan stop_plan.c \
    's/return (now < l->accept_all_until || deadline <= l->end);/return (1);/'

# Limits of targets.
without limit-shared-by-hosts rate rate.c \
    's/r->turns.hosts \* US_PER_SEC/US_PER_SEC/'
without turns-lie-apart rate rate.c 's/r->turns.rank \* (/0 * (/'
without turns-not-saved-up rate rate.c 's/if (lost <= 0)/if (1)/'
without turns-not-postponed rate rate.c \
    's/if (was != 0 \&\& was < r->next)/if (0)/'
without rate-change-gives-no-turn rate rate.c \
    's/if (r->last_sent != 0 \&\& r->last_sent + r->interval > from)/if (0)/'

# Requests that crash targets.
without crash-counted-once quarantine quarantine.c \
    's/if (!counted(e, b->target))/if (1)/'
without crash-needs-target-end quarantine quarantine.c \
    's/if (q->ends\[i\].target == target \&\&/if (1 \&\&/'
without target-ended-before-report quarantine quarantine.c \
    's/now - q->ends\[i\].at <= ENDED_WITHIN/0/'
without target-ended-long-after quarantine quarantine.c \
    's/ \&\& now - b->at <= ENDED_WITHIN//'
without quarantine-kept-in-full-table quarantine quarantine.c \
    's/listed_until(e) > now ? listed_until(e) : e->last/e->last/'
without answered-is-not-blamed quarantine recent.c \
    's/r->entries\[i\].digest == digest \&\&/0 \&\&/'
without sends-counted-once quarantine quarantine.c \
    's/if (more <= 0)/if (0)/'
without probation-by-runs quarantine quarantine.c \
    's/if (e->runs >= PROBATION_RUNS/if (e->runs >= 100/'
without probation-grace quarantine quarantine.c \
    's/now - e->probation_since < PROBATION_GRACE/0/'
without cleared-stays-cleared quarantine quarantine.c \
    's/if (e->cleared != 0 \&\& now - e->cleared < CLEARED_FOR)/if (0)/'
without quarantine-not-cleared quarantine quarantine.c \
    's/if (e == NULL || e->until != 0)/if (e == NULL)/'

# Evacuated data centres, cold targets.
without later-evacuations-adopted evacuation evacuation.c \
    's/if (received->as_of <= e->as_of)/if (0)/'
without later-evacuation-list evacuation evacuation.c \
    's/if (listed->as_of < e->as_of)/if (0)/'
without evacuation-start-kept evacuation evacuation.c \
    's/if (own >= 0 \&\&/if (0 \&\&/'
without evacuation-at-once evacuation evacuation.c \
    's/e->list\[i\].since == 0 ? 1 : //'
without evacuated-gets-no-requests dest dest.c \
    's/(d->closed_from != 0 \&\& now >= d->closed_from)/0/'
without evacuated-owns-no-keys keys keys_plan.c 's/ || t->evacuated ||/ ||/'
without cold-rate-limit dest dest.c \
    's/if (now >= d->cold_until || d->cold_rate <= 0)/if (1)/'
without cold-gets-no-keys keys keys_plan.c \
    's/if (is_limited \&\& best != NO_TARGET \&\& !best_limited)/if (0)/'


# No requests to a target that wants none.
without paused-gets-no-requests dest dest.c \
    's/dest_wait(d, now) == 0/now >= d->backoff_until/'
without pause-is-not-cut-short dest dest.c \
    's/if (d->paused_until < until)/if (1)/'

# Nothing that the store has lost is trusted.
without stale-owners-are-waited-for keys keys_store.c \
    's/^	else if (k->stale)$/	else if (0)/'
without fences-above-lost-ones keys keys_store.c \
    '/^distrust_owners/,/^}/s/skip_earlier_fences(k);/;/'
without restored-owners-are-written keys keys_store.c \
    's/k->rewrite = k->claimed;/;/'
without later-claim-stays keys keys_store.c 's/if (term > k->term) {/if (0) {/'
without restored-record-is-written term term.c 's/^		t->rewrite = 1;/		;/'
without stale-record-is-waited-for term term.c 's/^	if (t->stale)$/	if (0)/'
without later-holder-stays term term.c \
    '/^holder_read_again/,/^}/s/if (r != NULL \&\&/if (0 \&\&/'
without terms-above-lost-ones term term.c 's/last + STALE_TERM_STEP/last + 1/'
without promises-waited-for-again term term.c \
    's/^		span += t->conf.renew;/		;/'
without restore-ends-takeover term term.c \
    's/^	if (t->role == TERM_ACQUIRING)$/	if (0)/'
without heard-terms-end-promises term term.c \
    '/^term_heard/,/^}/s/t->highest_term = term;/;/'
without restored-targets-are-doubted membership membership.c \
    '/^membership_store_restored/,/^}/s/k->doubt_until = .*/(void)now;/'
without eras-in-versions version version.c 's/(era \& VERSION_ERA_MAX) << REVISION_BITS |/0 |/'

# A host that is cut off is told from one whose targets are lost.
without cut-needs-another-host reach reach.c \
    's/else if (r->found\[0\] != .* \&\& unreached)/else if (unreached)/'
without one-target-is-no-cut reach reach.c \
    's/^	else if (r->reached > 0)$/	else if (0)/'
without cut-ends-when-sure reach reach.c 's/RETURN_ROUNDS 2/RETURN_ROUNDS 1/'
without other-centres-are-tried reach reach.c 's/NEAR_FIRST 2/NEAR_FIRST 1000/'
without failed-host-is-tried-last reach reach.c \
    's/if (failed_recently(r, h->name, now))/if (0)/'
without no-probes-without-doubt reach reach.c \
    's/else if (r->path.doubted || r->path.unreachable)/else/'
without targets-probed-in-all-centres reach reach.c \
    's/for (apart = 1;/for (apart = 0;/'
without doubted-orders-move-no-keys keys keys.c \
    's/ || now < k->doubted_until//'
without forgets-failures-of-the-path dest dest.c \
    '/^dest_forget_failures/,/^}/s/d->backoff_until = 0;/;/'


# Admission: who is served under overload, and what is lost on the way.
without permits-have-a-limit admission admission.c \
    's/^	    dest_load(&t->dest, now) + 0.5 < admission_limit(t->dest.slots));/	    1);/'
without lost-permits-lapse admission admission.c 's/^		lapse_permits(a, now);/		;/'
without asks-are-answered-again admission admission.c \
    's/^	if (answer_again(a, q, now, r))/	if (0)/'
without one-host-does-not-close-a-target admission admission.c \
    's/^		if (t->failed_at == p->host)/		if (0)/'
without less-urgent-are-served admission admission.c \
    's/else if (t->urgent_streak++ >= URGENT_STREAK_MAX)/else if (0)/'
without late-ones-wait-for-others admission admission.c \
    's/(in_time(a, q, target, now) ? 0 : CLASS_LATE)/0/'
without silent-hosts-are-passed-over rendezvous rendezvous.c \
    's/^		if (now < hosts\[set\[i\]\].silent_until)/		if (0)/'

# Retry budgets: parts of one limit of all hosts.
without budget-begins-empty budget budget.c 's/b->tokens = 0;/b->tokens = max;/'
without slack-is-kept-back budget budget.c 's/SLACK_DIVIDED 0.75/SLACK_DIVIDED 1.0/'
without small-parts-earn-less budget budget.c \
    's/SMALL_PART_SHARE 0.5/SMALL_PART_SHARE 1.0/'
without one-retry-until-hosts-are-known budget budget.c \
    's/slack \/ hosts : 1;/slack \/ hosts : slack \/ 12;/'
without number-of-hosts-settles budget host_count.c \
    's/^#define SETTLE_TIME .*/#define SETTLE_TIME 0/'
without reload-cuts-budgets budget budget.c '/^budget_set_part/,/^}/s/> b->max/> 1e9/'
without most-hosts-count budget host_count.c \
    's/return (c->most.*/return (c->hosts);/'

# Large fleets: what each host is sent, and who reads the store.
without list-of-hosts-as-difference hosts hosts.c \
    's/return (LIST_DIFFERENCE);/return (LIST_WHOLE);/'
without lost-differences-are-made-up hosts hosts.c \
    's/if (update == LIST_WHOLE || in_step(t, h, now))/if (1)/'
without new-controllers-wait-for-reports hosts hosts.c \
    's/if (!h->has_reported || /if (/'
without copies-stay-in-their-data-centre copies copies.c \
    's/strcmp(h->dc, to->dc) == 0);/1);/'
without copies-come-from-other-hosts copies copies.c \
    's/\*from = c->bytes <= SMALL_LIST ? NULL : .*/*from = NULL;/'
without copies-are-not-sent-twice copies copies.c \
    's/report_retry_delay(t->n) + 2 \* took/0/'
without hosts-wait-for-the-list join join.c \
    's/wait = j->told ? WAIT_TOLD : WAIT_UNTOLD;/;/'
without hosts-do-not-wait-for-ever join join.c 's/WAIT_TOLD MS(10000)/WAIT_TOLD MS(90000)/'
without reports-are-limited hearing hearing.c \
    's/return (shared > INTERVAL_MIN ? shared : INTERVAL_MIN);/return (INTERVAL_MIN);/'
without owners-are-limited keys_size keys_plan.c \
    's/return (t->owns > 0 || k->owners < KEYS_OWNERS_MAX);/return (1);/'
without spare-targets-are-logged keys_size keys_plan.c \
    's/^	log_spare(k, .*/	;/'
without unused-targets-are-found-at-once keys_size keys.c \
    's/^	k->unused_from = i;/	;/'

# Answers that are not whole, and heads that can be read in two ways.
without answers-end-after-their-head framing framing.c \
    's/if (!ended || f->state != FRAMING_IN_BODY/if (!ended/'
without stated-lengths-are-kept framing framing.c \
    's/ || !f->has_length || f->body_size == f->length/ || 1/'
without lengths-do-not-contradict framing framing.c \
    's/if (f->has_length \&\& f->length != length)/if (0)/'
without header-lines-have-an-end framing framing.c \
    's/f->head_size > FRAMING_HEAD_MAX/0/'
without bodies-have-an-end framing framing.c \
    's/if (n > max - f->body_size)/if (0)/'
without lines-after-the-head-are-left-out framing framing.c \
    's/if (f->state == FRAMING_IN_BODY)/if (0)/'
without headers-of-interim-answers-are-left-out framing framing.c \
    's/f->status < 200 ? FRAMING_IGNORED : FRAMING_FIELD/FRAMING_FIELD/'
without the-largest-answer-is-given-up excess excess.c \
    's/if (weight <= e->heaviest)/if (0)/'
without small-requests-find-room room room.c \
    's/room_is_small(size) ? max : max - max \/ 16/max/'
without what-stands-still-gives-way room room.c \
    's/age > 0 ? age \/ 1000 + 1 : 1/1/'
without connections-leave-descriptors room room.c \
    's/descriptors \/ 8 \* 3/CONNECTIONS_MAX/'
without requests-have-one-length fields fields.c \
    's/f->lengths + f->codings <= 1/1/'
without values-have-no-control-characters fields fields.c \
    's/ || !value_ok(value, nvalue)//'
without request-targets-have-no-spaces fields fields.c \
    's/(unsigned char)p\[i\] <= . . || //'
without answers-are-awaited-at-a-close delivery delivery.c \
    's/if (delivery_is_complete(unsent))/if (1)/'
without received-answers-can-be-read delivery delivery.c \
    's/if (now - d->since < READ_TIME)/if (0)/'
without callers-that-do-not-read-are-given-up delivery delivery.c \
    's/now - d->progress_at >= STALL_MAX || //'
without callers-that-read-little-are-given-up delivery delivery.c \
    's/ || now - d->since >= DELIVERY_MAX//'
without requests-that-cross-an-idle-close-stay-unread delivery delivery.c \
    's/ || !delivery_is_complete(unsent))/ || 1)/'

echo "$found found, $missed not found"
[ $missed -eq 0 ]
