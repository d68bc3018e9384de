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
		rank = e->until > now ? e->until : e->last;
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

	for (i = 0; i < e->crashes; i++) {
		if (e->targets[i] == target)
			return (1);
	}
	return (0);
}

/* A target crashed under a content; 1 where that quarantines it. */
static int
crashed(struct quarantine *q, uint64_t digest, uint64_t target, usec now)
{
	struct quarantine_entry *e = find_or_add(q, digest, now);

	if (now - e->last > CRASHES_WITHIN && e->until == 0)
		e->crashes = 0;
	if (counted(e, target))
		return (0);
	e->targets[e->crashes % QUARANTINE_CRASHES] = target;
	if (e->crashes < QUARANTINE_CRASHES)
		e->crashes++;
	e->last = now;
	if (e->crashes < QUARANTINE_CRASHES || e->until > now)
		return (0);
	e->until = now + QUARANTINE_FOR;
	return (1);
}

/* Notes that a send ended without an answer; 1 where a content is quarantined
 * by that.  Told twice, it counts once. */
int
quarantine_broke(
    struct quarantine *q, uint64_t digest, uint64_t target, usec now)
{
	struct quarantine_break *b;
	unsigned i, n = q->nbreaks;

	for (i = 0; i < n && i < QUARANTINE_BREAKS; i++) {
		b = &q->breaks[i];
		if (b->digest == digest && b->target == target)
			return (0);
	}
	b = &q->breaks[q->nbreaks++ % QUARANTINE_BREAKS];
	b->digest = digest;
	b->target = target;
	b->at = now;
	for (i = 0; i < q->nends && i < QUARANTINE_ENDS; i++) {
		if (q->ends[i].target == target &&
		    now - q->ends[i].at <= ENDED_WITHIN)
			return (crashed(q, digest, target, now));
	}
	return (0);
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
			n += crashed(q, b->digest, target, now);
	}
	return (n);
}

/* Takes over that a content is quarantined for so much longer; 1 where that is
 * new here. */
int
quarantine_add(struct quarantine *q, uint64_t digest, usec left, usec now)
{
	struct quarantine_entry *e;
	int is_new;

	if (left <= 0)
		return (0);
	if (left > QUARANTINE_FOR)
		left = QUARANTINE_FOR;
	e = find_or_add(q, digest, now);
	is_new = e->until <= now;
	e->crashes = QUARANTINE_CRASHES;
	if (is_new)
		e->until = now + left;
	return (is_new);
}

/* What is quarantined now. */
void
quarantine_list(const struct quarantine *q, struct quarantine_list *l, usec now)
{
	int i;

	l->n = 0;
	for (i = 0; i < q->nentries; i++) {
		if (q->entries[i].until <= now)
			continue;
		l->items[l->n].digest = q->entries[i].digest;
		l->items[l->n++].until = q->entries[i].until;
	}
}

/* For how much longer an item of a list is quarantined; 0 is not any more. */
usec
quarantine_item_left(const struct quarantine_item *item, usec now)
{
	return (item->until > now ? item->until - now : 0);
}

/* For how much longer a content is quarantined; 0 is not. */
usec
quarantine_left(const struct quarantine_list *l, uint64_t digest, usec now)
{
	int i;

	for (i = 0; l != NULL && i < l->n; i++) {
		if (l->items[i].digest == digest)
			return (quarantine_item_left(&l->items[i], now));
	}
	return (0);
}

/* The same for the same contents in any order, to compare lists by; 0 is of an
 * empty one. */
uint64_t
quarantine_number(const struct quarantine_list *l)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < l->n; i++)
		n += l->items[i].digest;
	return (n);
}
