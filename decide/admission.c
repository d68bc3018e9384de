#include <math.h>
#include <string.h>

#include "admission.h"
#include "feature.h"

/* A target is admitted to by one host once its room for requests, divided by
 * the hosts, is less than a quarter of a request: a host's own requests then
 * say nothing about how full it is. */
#define HOSTS_PER_SLOT 10
/* Weight of a new sample in the moving averages. */
#define HOLD_GAIN 0.05
/* Half-life of the moving sums of admitted requests, in seconds. */
#define DEMAND_HALF_LIFE 1.0
/* Of the permits that requests of several ranks wait for, one in this many goes
 * to a less urgent one, so that each kind is served. */
#define URGENT_STREAK_MAX 3
/* The least part of a target that the less urgent and the late get, as assumed
 * for their expected wait. */
#define SHARE_MIN_RANK (1.0 / (URGENT_STREAK_MAX + 1))
#define SHARE_MIN_LATE 0.05
/* An answer is expected to be in time if this many times the usual time of such
 * a request is left: it may wait for a slot, and many take longer than usual.
 */
#define IN_TIME_FACTOR 1.8
/* Classes of two ranks are this far apart; a request that can no longer be in
 * time goes after the next rank's that can. */
#define CLASS_STEP 2
#define CLASS_LATE 3
/* An expected wait may turn out to be this many times as long.  A request is
 * let wait only if its time suffices even then: it is better refused at once
 * than after a wait in vain. */
#define WAIT_FACTOR 1.4
#define WAIT_FACTOR_LATE 4
/* Interval at which waiting requests are reconsidered. */
#define REVIEW_INTERVAL MS(20)
/* A permit whose end was not reported lapses this long after the deadline of
 * its request. */
#define LAPSE_DELAY MS(100)

/* Initializes an admission without targets. */
void
admission_init(struct admission *a)
{
	memset(a, 0, sizeof(*a));
}

/* True if many hosts send to a target of so many slots. */
int
admission_called_for(int hosts, int slots)
{
	return (hosts > HOSTS_PER_SLOT * slots);
}

/*
 * Returns how many permits for a target are given out at a time: one for each
 * slot, and half as many more, so that a slot that becomes free has work while
 * the next permit is on its way.
 */
int
admission_limit(int slots)
{
	return (slots + (slots + 1) / 2);
}

/* Returns the index of a target, or -1. */
int
admission_find(const struct admission *a, const char *id)
{
	int i;

	for (i = 0; i < a->ntargets; i++) {
		if (strcmp(a->targets[i].id, id) == 0)
			return (i);
	}
	return (-1);
}

/* True if anybody waits for a target or holds a permit for it. */
static int
is_referred_to(const struct admission *a, int target)
{
	int i;

	for (i = 0; i < a->npermits; i++) {
		if (a->permits[i].target == target)
			return (1);
	}
	for (i = 0; i < a->nasks; i++) {
		if (a->asks[i].target == target || a->asks[i].avoid == target)
			return (1);
	}
	return (0);
}

/* Returns the index of a target, which is added if it is new and takes the
 * place of one that is closed; -1 if there is none. */
int
admission_target(struct admission *a, const char *id, int slots)
{
	struct admission_target *t;
	int i = admission_find(a, id);

	if (i >= 0) {
		a->targets[i].dest.slots = slots;
		return (i);
	}
	for (i = 0; i < a->ntargets; i++) {
		if (!a->targets[i].open && !is_referred_to(a, i))
			break;
	}
	if (i == ADMISSION_TARGETS_MAX)
		return (-1);
	if (i == a->ntargets)
		a->ntargets++;
	t = &a->targets[i];
	memset(t, 0, sizeof(*t));
	name_copy(t->id, sizeof(t->id), id);
	dest_init(&t->dest, slots);
	t->dest.same_dc = 1;
	return (i);
}

/* Closes all targets; those that still exist are opened again. */
void
admission_sweep(struct admission *a)
{
	int i;

	for (i = 0; i < a->ntargets; i++) {
		a->targets[i].open = 0;
		a->targets[i].shared = 0;
	}
}

/* Returns the usual time of an ask's request, in microseconds: at a target, or
 * at a usual one if that is ADMISSION_ANY. */
static double
usual_time(const struct admission *a, const struct admission_ask *q, int target)
{
	if (q->target != ADMISSION_ANY)
		target = q->target;
	if (target == ADMISSION_ANY)
		return ((double)q->work);
	return ((double)q->work * a->targets[target].dest.latency_ratio);
}

/* True if an ask that gets its permit at a time is expected to be answered in
 * time. */
static int
in_time(const struct admission *a, const struct admission_ask *q, int target,
    usec at)
{
	return (at + (usec)(IN_TIME_FACTOR * usual_time(a, q, target)) <=
	    q->aim_at);
}

/* Returns the class of an ask at a target, by its rank and whether its answer
 * can still be in time; lower ones go first. */
static int
class_of(const struct admission *a, const struct admission_ask *q, int target,
    usec now)
{
	int rank = q->rank < ADMISSION_RANKS ? q->rank : ADMISSION_RANKS - 1;

	return (
	    CLASS_STEP * rank + (in_time(a, q, target, now) ? 0 : CLASS_LATE));
}

/* True if a class is of requests that can no longer be in time. */
static int
is_late(int class)
{
	return (class % CLASS_STEP != 0);
}

/* Lets a moving sum decay. */
static void
demand_decay(struct admission_demand *d, usec now)
{
	double factor =
	    exp2(-(double)(now - d->at) / US_PER_SEC / DEMAND_HALF_LIFE);
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++)
		d->sum[i] *= factor;
	d->at = now;
}

/* Counts an admitted request of a class. */
static void
demand_add(
    struct admission *a, const struct admission_ask *q, int class, usec now)
{
	struct admission_demand *d = q->target == ADMISSION_ANY
	    ? &a->demand
	    : &a->targets[q->target].demand;

	demand_decay(d, now);
	d->sum[class] += 1;
}

/* Returns the requests a second of the classes before one. */
static double
demand_before(struct admission_demand *d, int class, usec now)
{
	double sum = 0;
	int i;

	demand_decay(d, now);
	for (i = 0; i < class; i++)
		sum += d->sum[i];
	return (sum * M_LN2 / DEMAND_HALF_LIFE);
}

/* Returns the requests a second that a target serves, for requests that take
 * `work` where nothing is known yet. */
static double
service_rate(const struct admission_target *t, usec work)
{
	double hold =
	    t->hold > 0 ? t->hold : (double)work * t->dest.latency_ratio;

	return (admission_limit(t->dest.slots) * (double)US_PER_SEC /
	    fmax(hold, 1000));
}

/* True if both are served by the same targets. */
static int
competes(const struct admission_ask *q, const struct admission_ask *other)
{
	return (q->target == other->target);
}

/* Returns how many asks wait that go before one of a class. */
static int
asks_ahead(const struct admission *a, const struct admission_ask *q, int class,
    usec now)
{
	int i, n = 0;

	for (i = 0; i < a->nasks; i++)
		n += competes(q, &a->asks[i]) &&
		    class_of(a, &a->asks[i], q->target, now) <= class &&
		    a->asks[i].arrived <= q->arrived;
	return (n);
}

/*
 * Returns how long an ask is expected to wait, in microseconds.  A class before
 * which others take nearly all of the targets waits for the rest that they
 * leave: under lasting overload what can no longer be in time is refused at
 * once, and does not wait for its deadline.
 */
static usec
expected_wait(
    struct admission *a, const struct admission_ask *q, int class, usec now)
{
	double rate = 0, before, share, least;
	int i, ahead;

	if (q->target != ADMISSION_ANY) {
		rate = service_rate(&a->targets[q->target], q->work);
		before =
		    demand_before(&a->targets[q->target].demand, class, now);
	} else {
		for (i = 0; i < a->ntargets; i++) {
			if (a->targets[i].open && a->targets[i].shared)
				rate += service_rate(&a->targets[i], q->work);
		}
		before = demand_before(&a->demand, class, now);
	}
	if (rate <= 0)
		return (-1);
	ahead = asks_ahead(a, q, class, now) + 1;
	least = is_late(class) ? SHARE_MIN_LATE : SHARE_MIN_RANK;
	share = fmax(1 - before / rate, least);
	return ((usec)(ahead * (double)US_PER_SEC / (rate * share)));
}

/* True if one more permit for a target may be given. */
static int
has_room(const struct admission_target *t, usec now)
{
	return (t->open && dest_usable(&t->dest, now) &&
	    dest_load(&t->dest, now) + 0.5 < admission_limit(t->dest.slots));
}

/* True if there is a target other than one for requests that any can serve. */
static int
has_other(const struct admission *a, int target)
{
	int i;

	for (i = 0; i < a->ntargets; i++) {
		if (i != target && a->targets[i].open && a->targets[i].shared)
			return (1);
	}
	return (0);
}

/* True if an ask may get a permit for a target. */
static int
fits(const struct admission *a, const struct admission_ask *q, int target)
{
	if (q->target != ADMISSION_ANY)
		return (q->target == target);
	return (a->targets[target].shared &&
	    (q->avoid != target || !has_other(a, target)));
}

/* Returns the target for which an ask can have a permit now and where it is
 * served soonest, or -1. */
static int
find_room(const struct admission *a, const struct admission_ask *q, usec now)
{
	double cost, least = 0;
	int i, best = -1;

	for (i = 0; i < a->ntargets; i++) {
		if (!fits(a, q, i) || !has_room(&a->targets[i], now))
			continue;
		cost =
		    dest_cost(&a->targets[i].dest, now, q->work, (usec)a->work);
		if (best < 0 || cost < least) {
			best = i;
			least = cost;
		}
	}
	return (best);
}

/* Gives a permit. */
static void
give(struct admission *a, const struct admission_ask *q, int target, usec now,
    struct admission_reply *r)
{
	struct admission_permit *p = &a->permits[a->npermits++];

	p->host = q->host;
	p->id = q->id;
	p->target = target;
	p->ahead = a->targets[target].dest.inflight -
	    a->targets[target].dest.slots + 1;
	if (p->ahead < 0)
		p->ahead = 0;
	p->given = now;
	p->expires = q->deadline + LAPSE_DELAY;
	dest_sent(&a->targets[target].dest, now);
	r->host = q->host;
	r->id = q->id;
	r->verdict = ADMISSION_GRANTED;
	r->target = target;
	r->wait = 0;
}

/* True if another ask goes before one that a target has room for. */
static int
is_overtaken(const struct admission *a, const struct admission_ask *q,
    int target, usec now)
{
	int i, class = class_of(a, q, target, now);

	for (i = 0; i < a->nasks; i++) {
		if (fits(a, &a->asks[i], target) &&
		    class_of(a, &a->asks[i], target, now) <= class)
			return (1);
	}
	return (0);
}

/* Fills in a verdict other than a permit. */
static void
say(struct admission_reply *r, const struct admission_ask *q,
    enum admission_verdict verdict, usec wait)
{
	r->host = q->host;
	r->id = q->id;
	r->verdict = verdict;
	r->target = -1;
	r->wait = wait > 0 ? wait : 0;
}

/* Answers an ask that was answered before: its first answer, or its permit, may
 * have been lost.  Returns 0 if it is new. */
static int
answer_again(struct admission *a, const struct admission_ask *q, usec now,
    struct admission_reply *r)
{
	int i;

	for (i = 0; i < a->npermits; i++) {
		if (a->permits[i].host != q->host || a->permits[i].id != q->id)
			continue;
		say(r, q, ADMISSION_GRANTED, 0);
		r->target = a->permits[i].target;
		return (1);
	}
	for (i = 0; i < a->nasks; i++) {
		if (a->asks[i].host != q->host || a->asks[i].id != q->id)
			continue;
		say(r, q, ADMISSION_WAITS,
		    expected_wait(a, &a->asks[i],
			class_of(a, &a->asks[i], a->asks[i].target, now), now));
		return (1);
	}
	return (0);
}

/* True if a request that waits that long can be answered by its deadline. */
static int
can_wait(const struct admission *a, const struct admission_ask *q, int class,
    usec wait, usec now)
{
	double factor = is_late(class) ? WAIT_FACTOR_LATE : WAIT_FACTOR;

	return (
	    now + (usec)(factor * (double)wait + usual_time(a, q, q->target)) <=
	    q->deadline);
}

/* Answers an ask: with a permit, or by letting it wait, or by refusing it if it
 * could not be served by its deadline. */
void
admission_ask(struct admission *a, const struct admission_ask *q, usec now,
    struct admission_reply *r)
{
	int target, class = class_of(a, q, q->target, now);
	usec wait;

	if (answer_again(a, q, now, r))
		return;
	a->work += HOLD_GAIN * ((double)q->work - a->work);
	target = find_room(a, q, now);
	if (target >= 0 && a->npermits < ADMISSION_PERMITS_MAX &&
	    !is_overtaken(a, q, target, now)) {
		demand_add(a, q, class, now);
		give(a, q, target, now, r);
		return;
	}
	wait = expected_wait(a, q, class, now);
	/* A request whose turn comes too late is served after those that can
	 * be in time, unless its turn is the next. */
	if (wait >= 0 && asks_ahead(a, q, class, now) > 0 &&
	    !in_time(
		a, q, q->target, now + (usec)(WAIT_FACTOR * (double)wait)) &&
	    !is_late(class)) {
		class += CLASS_LATE;
		wait = expected_wait(a, q, class, now);
	}
	if (wait < 0)
		say(r, q, ADMISSION_UNKNOWN, 0);
	else if (q->no_wait || !can_wait(a, q, class, wait, now) ||
	    a->nasks == ADMISSION_ASKS_MAX)
		say(r, q, ADMISSION_REFUSED, wait);
	else {
		demand_add(a, q, class, now);
		a->asks[a->nasks++] = *q;
		say(r, q, ADMISSION_WAITS, wait);
	}
}

/* Removes a waiting ask. */
static void
drop_ask(struct admission *a, int i)
{
	memmove(&a->asks[i], &a->asks[i + 1],
	    sizeof(a->asks[0]) * (size_t)(a->nasks - i - 1));
	a->nasks--;
}

/*
 * Updates what is known of a target from the end of a request.  A failure to
 * reach it counts once from each host in turn: a host that is cut off reaches
 * no target, and the others should go on.
 */
static void
learn(struct admission_target *t, const struct admission_permit *p, usec now,
    const struct dest_answer *ans)
{
	struct dest_answer seen = *ans;

	/* It waited for the first of the slots to become free. */
	seen.expected += ans->expected * p->ahead / t->dest.slots;
	switch (ans->end) {
	case DEST_UNREACHED:
	case DEST_BROKEN:
	case DEST_TIMED_OUT:
		if (t->failed_at == p->host)
			seen.end = DEST_NOT_SENT;
		t->failed_at = p->host;
		break;
	case DEST_NOT_SENT:
		break;
	default:
		t->failed_at = 0;
		if (t->hold <= 0)
			t->hold = (double)(now - p->given);
		t->hold += HOLD_GAIN * ((double)(now - p->given) - t->hold);
		break;
	}
	dest_ended(&t->dest, now, &seen);
}

/* Ends a permit or an ask of a host. */
void
admission_end(struct admission *a, uint64_t host, uint64_t id, usec now,
    const struct dest_answer *ans)
{
	struct admission_permit p;
	int i;

	for (i = 0; i < a->npermits; i++) {
		p = a->permits[i];
		if (p.host != host || p.id != id)
			continue;
		a->permits[i] = a->permits[--a->npermits];
		learn(&a->targets[p.target], &p, now, ans);
		return;
	}
	for (i = 0; i < a->nasks; i++) {
		if (a->asks[i].host == host && a->asks[i].id == id) {
			drop_ask(a, i);
			return;
		}
	}
}

/* Ends the permits whose end was never reported. */
static void
lapse_permits(struct admission *a, usec now)
{
	static const struct dest_answer none = {.end = DEST_NOT_SENT};
	struct admission_permit p;
	int i;

	for (i = 0; i < a->npermits; i++) {
		p = a->permits[i];
		if (now < p.expires)
			continue;
		a->permits[i--] = a->permits[--a->npermits];
		dest_ended(&a->targets[p.target].dest, now, &none);
	}
}

/*
 * Returns which waiting ask gets a target's next permit, or -1: the first to
 * come of the lowest class; but now and then one of a less urgent rank that can
 * still be in time.
 */
static int
next_for(struct admission *a, int target, usec now)
{
	struct admission_target *t = &a->targets[target];
	int i, c, best = -1, best_class = 0, lesser = -1, lesser_class = 0;

	for (i = 0; i < a->nasks; i++) {
		if (!fits(a, &a->asks[i], target))
			continue;
		c = class_of(a, &a->asks[i], target, now);
		if (best < 0 || c < best_class) {
			if (best >= 0 && !is_late(best_class)) {
				lesser = best;
				lesser_class = best_class;
			}
			best = i;
			best_class = c;
		} else if (c > best_class && !is_late(c) &&
		    (lesser < 0 || c < lesser_class)) {
			lesser = i;
			lesser_class = c;
		}
	}
	if (lesser < 0)
		t->urgent_streak = 0;
	else if (t->urgent_streak++ >= URGENT_STREAK_MAX) {
		t->urgent_streak = 0;
		return (lesser);
	}
	return (best);
}

/* Finds a waiting ask that can no longer be served in time, or that no target
 * of this host can serve; returns its index, or -1. */
static int
find_hopeless(struct admission *a, usec now, usec *wait)
{
	struct admission_ask *q;
	int i;

	for (i = 0; i < a->nasks; i++) {
		q = &a->asks[i];
		*wait =
		    expected_wait(a, q, class_of(a, q, q->target, now), now);
		if (*wait < 0 || now + q->work > q->deadline ||
		    (is_late(class_of(a, q, q->target, now)) &&
			now + *wait + q->work > q->deadline))
			return (i);
	}
	return (-1);
}

/* Returns 1 and fills in the next reply that has become due, or 0. */
int
admission_next(struct admission *a, usec now, struct admission_reply *r)
{
	struct admission_ask q;
	usec wait = 0;
	int i, n;

	if (now >= a->next_review)
		lapse_permits(a, now);
	for (i = 0; a->nasks > 0 && i < a->ntargets; i++) {
		if (!has_room(&a->targets[i], now) ||
		    a->npermits == ADMISSION_PERMITS_MAX ||
		    (n = next_for(a, i, now)) < 0)
			continue;
		q = a->asks[n];
		drop_ask(a, n);
		give(a, &q, i, now, r);
		return (1);
	}
	if (now < a->next_review)
		return (0);
	if ((n = find_hopeless(a, now, &wait)) >= 0) {
		q = a->asks[n];
		drop_ask(a, n);
		say(r, &q, wait < 0 ? ADMISSION_UNKNOWN : ADMISSION_REFUSED,
		    wait);
		return (1);
	}
	a->next_review = now + REVIEW_INTERVAL;
	return (0);
}

/* Returns 1 and fills in a reply that sends a waiting ask elsewhere, or 0 if
 * none waits: this host is stopping. */
int
admission_drain(struct admission *a, struct admission_reply *r)
{
	struct admission_ask q;

	if (a->nasks == 0)
		return (0);
	q = a->asks[a->nasks - 1];
	a->nasks--;
	say(r, &q, ADMISSION_UNKNOWN, 0);
	return (1);
}
