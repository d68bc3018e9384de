#include <string.h>

#include "quarantine.h"

/* A target that crashed is found to have ended within this time of its broken
 * connections: by the next host that connects to it, or when its entry is gone.
 */
#define ENDED_WITHIN MS(6000)
/* Crashes further apart than this are not attributed to the same request. */
#define CRASHES_WITHIN MS(600000)
/* How long a content is quarantined; the target's software may be fixed
 * meanwhile.  A content that has been quarantined before is quarantined again
 * after a single crash. */
#define QUARANTINE_FOR MS(3600000)
/* Probation ends after this time without another crash. */
#define PROBATION_FOR MS(60000)
/* Grace period at the start of probation: runs that were sent before it may
 * still crash, and hosts with a recent answer have yet to report it. */
#define PROBATION_GRACE MS(600)
/* After an answer, crashes are not attributed to the content for this time. */
#define CLEARED_FOR MS(10000)

/* Finds the entry of a content, or NULL. */
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

/* When a content leaves the list; 0 if it is not on it. */
static usec
listed_until(const struct quarantine_entry *e)
{
	if (e->until != 0)
		return (e->until);
	return (e->probation_since == 0 ? 0 : e->last_crash + PROBATION_FOR);
}

/* Finds an entry to reuse: the one with the oldest crash among those that are
 * not listed, else the one that leaves the list first. */
static struct quarantine_entry *
find_reusable(struct quarantine *q, usec now)
{
	struct quarantine_entry *e, *best = NULL;
	usec rank, least = 0;
	int i;

	if (q->nentries < QUARANTINE_ENTRIES_MAX)
		return (&q->entries[q->nentries++]);
	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		rank = listed_until(e) > now ? listed_until(e) : e->last_crash;
		if (best == NULL || rank < least) {
			best = e;
			least = rank;
		}
	}
	return (best);
}

/* Finds the entry of a content, or adds it. */
static struct quarantine_entry *
find_or_add(struct quarantine *q, uint64_t digest, usec now)
{
	struct quarantine_entry *e = find(q, digest);

	if (e != NULL)
		return (e);
	e = find_reusable(q, now);
	memset(e, 0, sizeof(*e));
	e->digest = digest;
	e->last_crash = now;
	return (e);
}

/* True if the target's crash has been counted already. */
static int
counted(const struct quarantine_entry *e, uint64_t target)
{
	int i;

	for (i = 0; i < e->crashes && i < QUARANTINE_TARGETS_MAX; i++) {
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

/* Handles the crash of a further target; returns 1 if that quarantines the
 * content.  A run that was sent on probation proves the cause, because it was
 * the only one. */
static int
count_crash(struct quarantine_entry *e, int proof, usec now)
{
	if (e->until > now)
		return (0);
	if (e->until == 0 && !proof &&
	    (e->probation_since == 0 ||
		now - e->probation_since < PROBATION_GRACE))
		return (0);
	confirm(e, now);
	return (1);
}

/* Counts runs of a content that were in flight when their target crashed;
 * returns 1 if that quarantines it. */
static int
count_runs(
    struct quarantine *q, const struct quarantine_break *b, int runs, usec now)
{
	struct quarantine_entry *e = find_or_add(q, b->digest, now);

	if (e->cleared != 0 && now - e->cleared < CLEARED_FOR)
		return (0);
	if (now - e->last_crash > CRASHES_WITHIN && e->until == 0) {
		e->crashes = e->runs = 0;
		e->probation_since = 0;
	}
	e->runs += runs;
	if (!counted(e, b->target)) {
		e->targets[e->crashes++ % QUARANTINE_TARGETS_MAX] = b->target;
		e->last_crash = now;
		if (count_crash(e, b->on_probation, now))
			return (1);
	}
	if (e->runs >= PROBATION_RUNS && e->probation_since == 0 &&
	    e->until == 0)
		e->probation_since = now;
	return (0);
}

/* True if the target was recently found to have ended. */
static int
has_ended(const struct quarantine *q, uint64_t target, usec now)
{
	unsigned i;

	for (i = 0; i < q->nends && i < QUARANTINE_ENDS_MAX; i++) {
		if (q->ends[i].target == target &&
		    now - q->ends[i].at <= ENDED_WITHIN)
			return (1);
	}
	return (0);
}

/* Finds the broken sends of a content at a target that one source reported, or
 * NULL. */
static struct quarantine_break *
find_break(
    struct quarantine *q, uint64_t digest, uint64_t target, uint64_t source)
{
	struct quarantine_break *b;
	unsigned i;

	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS_MAX; i++) {
		b = &q->breaks[i];
		if (b->digest == digest && b->target == target &&
		    b->source == source)
			return (b);
	}
	return (NULL);
}

/* Records sends that ended without an answer, as a total of their source;
 * returns 1 if that quarantines the content.  A repeated report counts once. */
int
quarantine_add_break(
    struct quarantine *q, const struct quarantine_break *report, usec now)
{
	struct quarantine_break *b =
	    find_break(q, report->digest, report->target, report->source);
	int more = report->sends - (b == NULL ? 0 : b->sends);

	if (more <= 0)
		return (0);
	if (b == NULL)
		b = &q->breaks[q->nbreaks++ % QUARANTINE_BREAKS_MAX];
	*b = *report;
	b->at = now;
	return (has_ended(q, b->target, now) ? count_runs(q, b, more, now) : 0);
}

/* Records one send of this host that ended without an answer; returns 1 if that
 * quarantines the content. */
int
quarantine_add_own_break(struct quarantine *q, uint64_t digest, uint64_t target,
    int on_probation, usec now)
{
	const struct quarantine_break *earlier =
	    find_break(q, digest, target, 0);
	struct quarantine_break b = {digest, target, 0,
	    earlier == NULL ? 1 : earlier->sends + 1, on_probation, now};

	return (quarantine_add_break(q, &b, now));
}

/* Records that a target has ended; returns how many contents that quarantines.
 * A repeated report counts once. */
int
quarantine_add_end(struct quarantine *q, uint64_t target, usec now)
{
	struct quarantine_break *b;
	struct quarantine_end *e;
	unsigned i;
	int n = 0;

	for (i = 0; i < q->nends && i < QUARANTINE_ENDS_MAX; i++) {
		if (q->ends[i].target == target)
			return (0);
	}
	e = &q->ends[q->nends++ % QUARANTINE_ENDS_MAX];
	e->target = target;
	e->at = now;
	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS_MAX; i++) {
		b = &q->breaks[i];
		if (b->target == target && now - b->at <= ENDED_WITHIN)
			n += count_runs(q, b, b->sends, now);
	}
	return (n);
}

/*
 * Quarantines the contents on probation that were in flight at several crashed
 * targets, after the grace period in which hosts may report an answer; returns
 * how many.
 */
int
quarantine_confirm_due(struct quarantine *q, usec now)
{
	struct quarantine_entry *e;
	int i, n = 0;

	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		if (e->probation_since == 0 ||
		    e->crashes < QUARANTINE_TARGETS_MAX ||
		    now - e->probation_since < PROBATION_GRACE)
			continue;
		confirm(e, now);
		n++;
	}
	return (n);
}

/*
 * Clears a content that was answered: the targets that crashed while they ran
 * it had another reason.  A quarantined content stays.  Returns 1 if that ends
 * its probation.
 */
int
quarantine_clear(struct quarantine *q, uint64_t digest, usec now)
{
	struct quarantine_entry *e = find(q, digest);
	int was_on_probation;

	if (e == NULL || e->until != 0)
		return (0);
	was_on_probation = e->probation_since != 0;
	e->crashes = e->runs = 0;
	e->probation_since = 0;
	e->cleared = now;
	return (was_on_probation);
}

/* Adds an item of another host's list; returns 1 if it is new here. */
int
quarantine_add_item(
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
		e->last_crash = now;
		return (1);
	}
	confirm(e, now);
	if (left < QUARANTINE_FOR)
		e->until = now + left;
	return (1);
}

/* Adopts the controller's list.  Contents that it does not list are taken off
 * probation; quarantined ones stay.  Returns how many were taken off. */
int
quarantine_adopt(
    struct quarantine *q, const struct quarantine_list *l, usec now)
{
	struct quarantine_entry *e;
	int i, n = 0;

	for (i = 0; i < q->nentries; i++) {
		e = &q->entries[i];
		if (e->probation_since == 0 ||
		    quarantine_find(l, e->digest, now) != NULL)
			continue;
		e->crashes = e->runs = 0;
		e->probation_since = 0;
		n++;
	}
	for (i = 0; i < l->n; i++)
		quarantine_add_item(q, &l->items[i], now);
	return (n);
}

/* Lists the contents that are quarantined or on probation now. */
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

/* Copies the quarantined items of a list. */
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

/* How much longer an item stays on its list; 0 if it has expired. */
usec
quarantine_item_left(const struct quarantine_item *item, usec now)
{
	return (item->until > now ? item->until - now : 0);
}

/* Finds the unexpired item of a content, or NULL. */
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

/* True if this host is the one that may run a content on probation. */
int
quarantine_runs_here(uint64_t digest, int rank, int hosts)
{
	return (hosts > 0 && digest % (uint64_t)hosts == (uint64_t)rank);
}

/* A checksum of a list's contents and states, in any order, to compare lists; 0
 * for an empty one. */
uint64_t
quarantine_checksum(const struct quarantine_list *l)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < l->n; i++)
		n += l->items[i].digest * 2 + (l->items[i].probation != 0);
	return (n);
}
