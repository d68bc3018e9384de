#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "feature.h"
#include "incarnation.h"
#include "known.h"

/* Outages shorter than so many heartbeats let no entry lapse. */
#define LAPSE_BEATS 2
/* So many entries that go at once are a lapse, not work on the targets. */
#define MASS_MIN 4

/* Room for so many targets at first. */
#define ROOM_FIRST 16

/* Frees the list. */
void
known_free(struct known *k)
{
	free(k->list);
	free(k->heads);
	memset(k, 0, sizeof(*k));
}

/* The chain that all lives of a target are in. */
static int *
head_of(const struct known *k, const char *id)
{
	uint64_t h = XXH3_64bits(id, incarnation_target(id));

	return (&k->heads[h & (uint64_t)(k->nheads - 1)]);
}

/* Begins a walk of the chain of a target: 1 + index, 0 is none.  A list of all
 * targets is read entry by entry: a walk of all for each costs by their square.
 */
static int
first_of(const struct known *k, const char *id)
{
	return (k->nheads == 0 ? 0 : *head_of(k, id));
}

/* Puts an entry into its chain. */
static void
chain(struct known *k, int i)
{
	int *head = head_of(k, k->list[i].t.id);

	k->list[i].next = *head;
	*head = i + 1;
}

/* Makes all chains anew. */
static void
chain_all(struct known *k)
{
	int i;

	memset(k->heads, 0, sizeof(*k->heads) * (size_t)k->nheads);
	for (i = 0; i < k->n; i++)
		chain(k, i);
}

/* Makes room for one more; 0, or -1 without memory. */
static int
make_room(struct known *k)
{
	int room = k->room == 0 ? ROOM_FIRST : k->room * 2;
	struct known_target *list;
	int *heads;

	if (k->n < k->room)
		return (0);
	heads = malloc(sizeof(*heads) * (size_t)room);
	list = realloc(k->list, sizeof(*list) * (size_t)room);
	if (list != NULL)
		k->list = list;
	if (heads == NULL || list == NULL) {
		free(heads);
		return (-1);
	}
	free(k->heads);
	k->heads = heads;
	k->nheads = k->room = room;
	chain_all(k);
	return (0);
}

/* The target with an id, or NULL. */
static struct known_target *
find(struct known *k, const char *id)
{
	int i;

	for (i = first_of(k, id); i != 0; i = k->list[i - 1].next) {
		if (strcmp(k->list[i - 1].t.id, id) == 0)
			return (&k->list[i - 1]);
	}
	return (NULL);
}

/* A call to the store failed. */
void
known_store_failed(struct known *k, usec now)
{
	if (k->failing_since == 0)
		k->failing_since = now;
}

/*
 * The store answered.  After an outage entries may be missing whose targets
 * live: they could not renew them.  Taken for gone, all targets of a service
 * would be left without work at once, just when the store is back.
 */
void
known_store_answered(struct known *k, usec now)
{
	if (k->failing_since != 0 &&
	    now - k->failing_since >= LAPSE_BEATS * k->heartbeat)
		k->doubt_until = now + LAPSE_BACK;
	k->failing_since = 0;
}

/* True where a later life of the target is known: what is heard of this one
 * is old news. */
static int
is_past(const struct known *k, const char *id)
{
	int i;

	for (i = first_of(k, id); i != 0; i = k->list[i - 1].next) {
		if (incarnation_follows(k->list[i - 1].t.id, id))
			return (1);
	}
	return (0);
}

/* The target is gone for sure. */
static void
mark_gone(struct known *k, struct known_target *e, usec now)
{
	e->missing_since = 0;
	if (e->gone_since == 0)
		e->gone_since = now;
	e->t.leaving = 1;
	e->t.gone = 1;
	k->changed = 1;
}

/*
 * Earlier lives of a target that has started again are over.  Left to their
 * entries they would never go, for the entry is now that of the later one.
 */
static void
end_earlier(struct known *k, const char *id, usec now)
{
	int i;

	for (i = first_of(k, id); i != 0; i = k->list[i - 1].next) {
		if (incarnation_follows(id, k->list[i - 1].t.id))
			mark_gone(k, &k->list[i - 1], now);
	}
}

/* An entry was read. */
void
known_put(struct known *k, const struct fleet_target *t, usec now)
{
	struct known_target *e = find(k, t->id);
	usec cold = t->cold_until;

	if (is_past(k, t->id))
		return;
	end_earlier(k, t->id, now);
	if (e == NULL) {
		if (make_room(k) != 0)
			return;
		e = &k->list[k->n++];
		memset(e, 0, sizeof(*e));
		name_copy(e->t.id, sizeof(e->t.id), t->id);
		chain(k, k->n - 1);
	}
	e->t = *t;
	/* What is heard late must not take that back. */
	e->said_so |= t->leaving && !t->gone;
	e->t.leaving |= e->said_so;
	e->t.cold_until = cold > 0 ? now + cold : 0;
	e->missing_since = 0;
	e->gone_since = 0;
	e->seen = 1;
	k->changed = 1;
}

/* The target's entry is no longer there. */
static void
lost(struct known *k, struct known_target *e, usec now)
{
	if (e->gone_since != 0 || e->missing_since != 0)
		return;
	if (now < k->doubt_until && !e->t.leaving &&
	    feature_on(FEATURE_DOUBT)) {
		e->missing_since = now;
		return;
	}
	mark_gone(k, e, now);
}

/* Does something to each life of a target. */
static void
each_life(struct known *k, const char *target, usec now,
    void (*fn)(struct known *, struct known_target *, usec))
{
	int i;

	for (i = first_of(k, target); i != 0; i = k->list[i - 1].next) {
		if (incarnation_is_of(k->list[i - 1].t.id, target))
			fn(k, &k->list[i - 1], now);
	}
}

/* The entry of a target, by its own id, was removed. */
void
known_gone(struct known *k, const char *target, usec now)
{
	each_life(k, target, now, lost);
}

/*
 * The entry of a target can no longer be read, or makes no sense: another has
 * written it.  It names nobody to send work to, whatever the store went
 * through; that the target goes on serving is not known, so its keys are asked
 * back from it as from one that is gone.
 */
void
known_unusable(struct known *k, const char *target, usec now)
{
	each_life(k, target, now, mark_gone);
}

/*
 * Takes in what the controller tells: its word counts, also where it doubted
 * an entry that was missing.  What it does not name in a whole list is gone.
 */
void
known_told(struct known *k, const struct fleet *f, usec now)
{
	const struct fleet_target *t;
	struct known_target *e;
	int i;

	if (f->whole)
		known_list_begin(k);
	for (i = 0; i < f->ntargets; i++) {
		t = &f->targets[i];
		if (!t->gone)
			known_put(k, t, now);
		else if ((e = find(k, t->id)) != NULL) {
			e->seen = 1;
			mark_gone(k, e, now);
		}
	}
	for (i = 0; f->whole && i < k->n; i++) {
		if (!k->list[i].seen)
			mark_gone(k, &k->list[i], now);
	}
	k->changed |= evacuations_told(&k->evacuations, &f->evacuations);
}

/* A whole list is about to be read. */
void
known_list_begin(struct known *k)
{
	int i;

	for (i = 0; i < k->n; i++)
		k->list[i].seen = 0;
}

/* The whole list was read: what it did not name is gone. */
void
known_list_end(struct known *k, usec now)
{
	int i, missing = 0;

	for (i = 0; i < k->n; i++)
		missing += !k->list[i].seen && k->list[i].gone_since == 0;
	known_batch(k, missing, now);
	for (i = 0; i < k->n; i++) {
		if (!k->list[i].seen)
			lost(k, &k->list[i], now);
	}
}

/*
 * So many entries went together.  Half of all at once is no planned work: the
 * store let them lapse, and this host had not noticed that it was away.
 */
void
known_batch(struct known *k, int gone, usec now)
{
	int i, live = 0;

	for (i = 0; i < k->n; i++)
		live += k->list[i].gone_since == 0;
	if (gone >= MASS_MIN && gone * 2 >= live &&
	    k->doubt_until < now + LAPSE_BACK)
		k->doubt_until = now + LAPSE_BACK;
}

/* Gives up on entries that are not back, and forgets those long gone. */
void
known_tick(struct known *k, usec now)
{
	struct known_target *e;
	int i, was = k->n;

	evacuations_expire(&k->evacuations, now);
	for (i = 0; i < k->n; i++) {
		e = &k->list[i];
		if (e->missing_since != 0 && now >= k->doubt_until) {
			e->missing_since = 0;
			lost(k, e, now);
		}
		if (e->gone_since != 0 && now - e->gone_since > GONE_KEPT) {
			*e = k->list[--k->n];
			i--;
			k->changed = 1;
		}
	}
	if (k->n != was)
		chain_all(k);
}

/* A number for one target and its state; the sum does not depend on order. */
static uint64_t
digest_of(const struct fleet_target *t)
{
	return (
	    XXH3_64bits_withSeed(t->id, strlen(t->id), (uint64_t)t->leaving));
}

/* What is known now, to be published; NULL without memory. */
struct fleet *
known_fleet(struct known *k)
{
	struct fleet *f;
	int i;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return (NULL);
	f->targets = calloc((size_t)k->n + 1, sizeof(*f->targets));
	if (f->targets == NULL) {
		free(f);
		return (NULL);
	}
	for (i = 0; i < k->n; i++) {
		f->targets[f->ntargets++] = k->list[i].t;
		if (!k->list[i].t.gone)
			f->digest += digest_of(&k->list[i].t);
	}
	f->evacuations = k->evacuations;
	f->digest += evacuations_digest(&f->evacuations);
	return (f);
}

/* Frees what known_fleet gave. */
void
fleet_free(void *arg)
{
	struct fleet *f = arg;

	if (f == NULL)
		return;
	free(f->targets);
	free(f);
}
