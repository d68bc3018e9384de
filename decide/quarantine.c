#include <string.h>

#include "quarantine.h"

/* A target whose connections broke is found ended within this time: by the
 * next that connects to it, or once its entry is gone. */
#define ENDED_WITHIN MS(6000)
/* Crashes further apart than this are not taken for one request's. */
#define CRASHES_WITHIN MS(600000)
/* By then the target's software may have been mended.  A content that was
 * quarantined before needs one more crash only. */
#define QUARANTINE_FOR MS(3600000)
/* Probation ends after this time without another crash. */
#define PROBATION_FOR MS(60000)
/* Grace period at the start of probation: runs that were sent before it may
 * still crash, and hosts with a recent answer have yet to report it. */
#define PROBATION_SETTLES MS(600)
/* After an answer, crashes are not attributed to the content for this time. */
#define CLEARED_FOR MS(10000)

/* The entry of a content, or NULL. */
static struct quarantine_entry *
find(struct quarantine *q, uint64_t digest)
{
	int i;

	for (i = 0; i < q->nentries; i++) {
		if (q->entries[i].digest == digest)
			return (&q->entries[i]);
	}
	return (NULL);
}

/* When a content leaves the list; 0 where it is not on it. */
static usec
listed_until(const struct quarantine_entry *e)
{
	if (e->until != 0)
		return (e->until);
	return (e->probation_since == 0 ? 0 : e->last + PROBATION_FOR);
}

/* An entry to be used anew: of those that are not quarantined the one whose
 * last crash is the longest ago, else the one that ends first. */
static struct quarantine_entry *
spare(struct quarantine *q, usec now)
{
	struct quarantine_entry *e, *best = NULL;
	usec rank, least = 0;
	int i;

	if (q->nentries < QUARANTINE_KEPT)
		return (&q->entries[q->nentries++]);
	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		rank = listed_until(e) > now ? listed_until(e) : e->last;
		if (best == NULL || rank < least) {
			best = e;
			least = rank;
		}
	}
	return (best);
}

/* The entry of a content, made where there is none. */
static struct quarantine_entry *
find_or_add(struct quarantine *q, uint64_t digest, usec now)
{
	struct quarantine_entry *e = find(q, digest);

	if (e != NULL)
		return (e);
	e = spare(q, now);
	memset(e, 0, sizeof(*e));
	e->digest = digest;
	e->last = now;
	return (e);
}

/* True where the target's crash is one of those counted. */
static int
counted(const struct quarantine_entry *e, uint64_t target)
{
	int i;

	for (i = 0; i < e->crashes && i < QUARANTINE_TARGETS; i++) {
		if (e->targets[i] == target)
			return (1);
	}
	return (0);
}

/* Quarantines a content. */
static void
confirm(struct quarantine_entry *e, usec now)
{
	e->until = now + QUARANTINE_FOR;
	e->probation_since = 0;
}

/* Handles the crash of a further target; 1 where that quarantines the content.
 * The crash is proof where the run was sent on probation: it was the only one.
 */
static int
crashed_again(struct quarantine_entry *e, int proof, usec now)
{
	if (e->until > now)
		return (0);
	if (e->until == 0 && !proof &&
	    (e->probation_since == 0 ||
		now - e->probation_since < PROBATION_SETTLES))
		return (0);
	confirm(e, now);
	return (1);
}

/* Counts runs of a content that were under way when their target crashed; 1
 * where that quarantines it. */
static int
crashed(
    struct quarantine *q, const struct quarantine_break *b, int runs, usec now)
{
	struct quarantine_entry *e = find_or_add(q, b->digest, now);

	if (e->cleared != 0 && now - e->cleared < CLEARED_FOR)
		return (0);
	if (now - e->last > CRASHES_WITHIN && e->until == 0) {
		e->crashes = e->runs = 0;
		e->probation_since = 0;
	}
	e->runs += runs;
	if (!counted(e, b->target)) {
		e->targets[e->crashes++ % QUARANTINE_TARGETS] = b->target;
		e->last = now;
		if (crashed_again(e, b->on_probation, now))
			return (1);
	}
	if (e->runs >= PROBATION_RUNS && e->probation_since == 0 &&
	    e->until == 0)
		e->probation_since = now;
	return (0);
}

/* True where a target was found ended lately. */
static int
has_ended(const struct quarantine *q, uint64_t target, usec now)
{
	unsigned i;

	for (i = 0; i < q->nends && i < QUARANTINE_ENDS; i++) {
		if (q->ends[i].target == target &&
		    now - q->ends[i].at <= ENDED_WITHIN)
			return (1);
	}
	return (0);
}

/* The sends of a content that broke at a target, as one source told; NULL where
 * it told of none. */
static struct quarantine_break *
break_of(
    struct quarantine *q, uint64_t digest, uint64_t target, uint64_t source)
{
	struct quarantine_break *b;
	unsigned i;

	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS; i++) {
		b = &q->breaks[i];
		if (b->digest == digest && b->target == target &&
		    b->source == source)
			return (b);
	}
	return (NULL);
}

/* Records sends that ended without an answer, as a total for their source; 1
 * where that quarantines the content.  A repeated report counts once. */
int
quarantine_broke(
    struct quarantine *q, const struct quarantine_break *told, usec now)
{
	struct quarantine_break *b =
	    break_of(q, told->digest, told->target, told->source);
	int more = told->sends - (b == NULL ? 0 : b->sends);

	if (more <= 0)
		return (0);
	if (b == NULL)
		b = &q->breaks[q->nbreaks++ % QUARANTINE_BREAKS];
	*b = *told;
	b->at = now;
	return (has_ended(q, b->target, now) ? crashed(q, b, more, now) : 0);
}

/* Records one send of this host that ended without an answer. */
int
quarantine_broke_here(struct quarantine *q, uint64_t digest, uint64_t target,
    int on_probation, usec now)
{
	const struct quarantine_break *was = break_of(q, digest, target, 0);
	struct quarantine_break b = {digest, target, 0,
	    was == NULL ? 1 : was->sends + 1, on_probation, now};

	return (quarantine_broke(q, &b, now));
}

/* Notes that a target was found ended; how many contents are quarantined by
 * that.  Told twice, it counts once. */
int
quarantine_ended(struct quarantine *q, uint64_t target, usec now)
{
	struct quarantine_break *b;
	struct quarantine_end *e;
	unsigned i;
	int n = 0;

	for (i = 0; i < q->nends && i < QUARANTINE_ENDS; i++) {
		if (q->ends[i].target == target)
			return (0);
	}
	e = &q->ends[q->nends++ % QUARANTINE_ENDS];
	e->target = target;
	e->at = now;
	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS; i++) {
		b = &q->breaks[i];
		if (b->target == target && now - b->at <= ENDED_WITHIN)
			n += crashed(q, b, b->sends, now);
	}
	return (n);
}

/*
 * Quarantines contents under which several targets crashed at about the same
 * time, after the grace period in which hosts may report an answer; returns how
 * many.
 */
int
quarantine_settle(struct quarantine *q, usec now)
{
	struct quarantine_entry *e;
	int i, n = 0;

	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		if (e->probation_since == 0 ||
		    e->crashes < QUARANTINE_TARGETS ||
		    now - e->probation_since < PROBATION_SETTLES)
			continue;
		confirm(e, now);
		n++;
	}
	return (n);
}

/*
 * Clears a content that was answered: its runs were under way when targets
 * crashed for another reason.
 */
void
quarantine_answered(struct quarantine *q, uint64_t digest, usec now)
{
	struct quarantine_entry *e = find(q, digest);

	if (e == NULL || e->until != 0)
		return;
	e->crashes = e->runs = 0;
	e->probation_since = 0;
	e->cleared = now;
}

/* Adds an item of another host's list; 1 where it is new here. */
int
quarantine_add(
    struct quarantine *q, const struct quarantine_item *item, usec now)
{
	usec left = quarantine_item_left(item, now);
	struct quarantine_entry *e;

	if (left <= 0)
		return (0);
	e = find_or_add(q, item->digest, now);
	if (e->until > now || (item->probation && e->probation_since != 0))
		return (0);
	if (item->probation) {
		if (e->cleared != 0 && now - e->cleared < CLEARED_FOR)
			return (0);
		e->runs = PROBATION_RUNS;
		e->probation_since = now;
		e->last = now;
		return (1);
	}
	confirm(e, now);
	if (left < QUARANTINE_FOR)
		e->until = now + left;
	return (1);
}

/* Adopts the controller's list.  Contents that it does not list are off
 * probation here too; quarantined ones stay. */
void
quarantine_told(struct quarantine *q, const struct quarantine_list *l, usec now)
{
	struct quarantine_entry *e;
	int i;

	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		if (e->probation_since == 0 ||
		    quarantine_find(l, e->digest, now) != NULL)
			continue;
		e->crashes = e->runs = 0;
		e->probation_since = 0;
	}
	for (i = 0; i < l->n; i++)
		quarantine_add(q, &l->items[i], now);
}

/* What is quarantined or on probation now. */
void
quarantine_list(const struct quarantine *q, struct quarantine_list *l, usec now)
{
	struct quarantine_item *to;
	int i;

	l->n = 0;
	for (i = 0; i < q->nentries; i++) {
		if (listed_until(&q->entries[i]) <= now)
			continue;
		to = &l->items[l->n++];
		to->digest = q->entries[i].digest;
		to->until = listed_until(&q->entries[i]);
		to->probation = q->entries[i].until == 0;
	}
}

/* Of a list, what is quarantined. */
void
quarantine_confirmed(
    const struct quarantine_list *l, struct quarantine_list *out)
{
	int i;

	out->n = 0;
	for (i = 0; i < l->n; i++) {
		if (!l->items[i].probation)
			out->items[out->n++] = l->items[i];
	}
}

/* For how much longer an item of a list is on it; 0 is not any more. */
usec
quarantine_item_left(const struct quarantine_item *item, usec now)
{
	return (item->until > now ? item->until - now : 0);
}

/* The item of a content, or NULL where it is not on the list any more. */
const struct quarantine_item *
quarantine_find(const struct quarantine_list *l, uint64_t digest, usec now)
{
	int i;

	for (i = 0; l != NULL && i < l->n; i++) {
		if (l->items[i].digest == digest && l->items[i].until > now)
			return (&l->items[i]);
	}
	return (NULL);
}

/* True where this host is the one that may run a content on probation. */
int
probation_is_here(uint64_t digest, int rank, int hosts)
{
	return (hosts > 0 && digest % (uint64_t)hosts == (uint64_t)rank);
}

/* The same for the same contents in any order, to compare lists by; 0 is of an
 * empty one. */
uint64_t
quarantine_number(const struct quarantine_list *l)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < l->n; i++)
		n += l->items[i].digest * 2 + (l->items[i].probation != 0);
	return (n);
}
