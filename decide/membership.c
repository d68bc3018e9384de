#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "feature.h"
#include "incarnation.h"
#include "membership.h"

/* Entries do not lapse in outages shorter than this many heartbeats. */
#define LAPSE_HEARTBEATS 2
/* Fewer entries removed at once are planned work, not a lapse. */
#define MASS_REMOVAL_MIN 4

/* Frees the list and resets all of it. */
void
membership_free(struct membership *k)
{
	free(k->list);
	hash_index_free(&k->by_target);
	memset(k, 0, sizeof(*k));
}

/* Returns the hash of a target, which all its incarnations share. */
static uint64_t
hash_of(const char *id)
{
	return (XXH3_64bits(id, incarnation_id_length(id)));
}

/* Returns the first that may be an incarnation of a target, or -1.  Lists of
 * all targets are read entry by entry: scanning all targets for each would take
 * quadratic time. */
static int
first_of(const struct membership *k, const char *id)
{
	return (hash_index_first(&k->by_target, hash_of(id)));
}

/* Rebuilds the index. */
static void
rehash(struct membership *k)
{
	int i;

	hash_index_clear(&k->by_target);
	for (i = 0; i < k->n; i++)
		hash_index_add(&k->by_target, i, hash_of(k->list[i].t.id));
}

/* Grows the list, if needed, to hold one more target; 0, or -1 if out of
 * memory. */
static int
grow(struct membership *k)
{
	struct membership_target *list = hash_index_grow(
	    &k->by_target, k->list, sizeof(*list), k->n, &k->capacity);

	if (list == NULL)
		return (-1);
	k->list = list;
	return (0);
}

/* Finds a target by the id of its incarnation; NULL if absent. */
static struct membership_target *
find(struct membership *k, const char *id)
{
	int i;

	for (i = first_of(k, id); i >= 0;
	     i = hash_index_next(&k->by_target, i)) {
		if (strcmp(k->list[i].t.id, id) == 0)
			return (&k->list[i]);
	}
	return (NULL);
}

/* Records that a call to the store failed. */
void
membership_store_failed(struct membership *k, usec now)
{
	if (k->failing_since == 0)
		k->failing_since = now;
}

/*
 * Records that the store answered.  After an outage entries of live targets may
 * be missing, as these could not renew them.  If they were taken for gone, all
 * targets of a service would stop getting requests just as the store is back.
 */
void
membership_store_answered(struct membership *k, usec now)
{
	if (k->failing_since != 0 &&
	    now - k->failing_since >= LAPSE_HEARTBEATS * k->heartbeat)
		k->doubt_until = now + LAPSE_GRACE;
	k->failing_since = 0;
}

/*
 * Records that the store has come back from an old copy.  Entries that targets
 * wrote since may be missing until they write them again.
 */
void
membership_store_restored(struct membership *k, usec now)
{
	k->doubt_until = now + LAPSE_GRACE;
}

/* True if a later incarnation of the target is known, so that news of this one
 * is outdated. */
static int
is_superseded(const struct membership *k, const char *id)
{
	int i;

	for (i = first_of(k, id); i >= 0;
	     i = hash_index_next(&k->by_target, i)) {
		if (incarnation_follows(k->list[i].t.id, id))
			return (1);
	}
	return (0);
}

/* Marks a target as gone. */
static void
mark_gone(struct membership *k, struct membership_target *e, usec now)
{
	e->missing_since = 0;
	if (e->gone_since == 0)
		e->gone_since = now;
	e->t.leaving = 1;
	e->t.leave_unwritten = 0;
	e->t.gone = 1;
	k->changed = 1;
}

/*
 * Marks earlier incarnations of a target as gone.  They would not expire by
 * their entry, for it now belongs to the later incarnation.
 */
static void
end_earlier(struct membership *k, const char *id, usec now)
{
	int i;

	for (i = first_of(k, id); i >= 0;
	     i = hash_index_next(&k->by_target, i)) {
		if (incarnation_follows(id, k->list[i].t.id))
			mark_gone(k, &k->list[i], now);
	}
}

/* Adds or updates a target from its entry; its cold_until is the time left. */
void
membership_entry_put(
    struct membership *k, const struct fleet_target *t, usec now)
{
	struct membership_target *e = find(k, t->id);
	usec cold = t->cold_until;

	if (is_superseded(k, t->id))
		return;
	end_earlier(k, t->id, now);
	if (e == NULL) {
		if (grow(k) != 0)
			return;
		e = &k->list[k->n++];
		memset(e, 0, sizeof(*e));
		name_copy(e->t.id, sizeof(e->t.id), t->id);
		hash_index_add(&k->by_target, k->n - 1, hash_of(t->id));
	}
	e->t = *t;
	/* A target that has announced that it leaves does not come back: an
	 * older entry that arrives late must not reset the flag. */
	e->leave_announced |= t->leaving && !t->gone;
	e->t.leave_unwritten = e->leave_announced && !t->leaving;
	e->t.leaving |= e->leave_announced;
	e->t.cold_until = cold > 0 ? now + cold : 0;
	e->missing_since = 0;
	e->gone_since = 0;
	e->seen = 1;
	k->changed = 1;
}

/* Records that a target has announced in an answer that it is leaving, before
 * its entry says so. */
void
membership_leave_announced(struct membership *k, const char *id)
{
	struct membership_target *e = find(k, id);

	if (e == NULL || e->leave_announced)
		return;
	e->leave_announced = 1;
	e->t.leave_unwritten = !e->t.leaving;
	e->t.leaving = 1;
	k->changed = 1;
}

/* Handles the removal of a target's entry. */
static void
entry_removed(struct membership *k, struct membership_target *e, usec now)
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

/* Calls a function for each incarnation of a target. */
static void
each_incarnation(struct membership *k, const char *target, usec now,
    void (*fn)(struct membership *, struct membership_target *, usec))
{
	int i;

	for (i = first_of(k, target); i >= 0;
	     i = hash_index_next(&k->by_target, i)) {
		if (incarnation_is_of(k->list[i].t.id, target))
			fn(k, &k->list[i], now);
	}
}

/* Handles the removal of an entry; target is an id without start time. */
void
membership_entry_removed(struct membership *k, const char *target, usec now)
{
	each_incarnation(k, target, now, entry_removed);
}

/*
 * Handles an entry that cannot be read or is invalid, because somebody other
 * than the target has written it.  It gives no address to send requests to,
 * whether or not the store had an outage.  Whether the target still serves is
 * unknown, so it is asked to release its keys, like one that is gone.
 */
void
membership_entry_invalid(struct membership *k, const char *target, usec now)
{
	each_incarnation(k, target, now, mark_gone);
}

/*
 * Adopts targets and evacuations received from the controller.  The controller
 * is trusted even if this host would doubt that a target is gone; targets
 * that are missing from a complete list are gone.
 */
void
membership_adopt(struct membership *k, const struct fleet *f, usec now)
{
	const struct fleet_target *t;
	struct membership_target *e;
	int i;

	if (f->whole)
		membership_list_begin(k);
	for (i = 0; i < f->ntargets; i++) {
		t = &f->targets[i];
		if (!t->gone)
			membership_entry_put(k, t, now);
		else if ((e = find(k, t->id)) != NULL) {
			e->seen = 1;
			mark_gone(k, e, now);
		}
	}
	for (i = 0; f->whole && i < k->n; i++) {
		if (!k->list[i].seen)
			mark_gone(k, &k->list[i], now);
	}
	k->changed |= evacuations_adopt(&k->evacuations, &f->evacuations);
}

/* Starts reading a complete list of the entries. */
void
membership_list_begin(struct membership *k)
{
	int i;

	for (i = 0; i < k->n; i++)
		k->list[i].seen = 0;
}

/* Ends reading a complete list: entries that were not in it are removed. */
void
membership_list_end(struct membership *k, usec now)
{
	int i, missing = 0;

	for (i = 0; i < k->n; i++)
		missing += !k->list[i].seen && k->list[i].gone_since == 0;
	membership_mass_removal(k, missing, now);
	for (i = 0; i < k->n; i++) {
		if (!k->list[i].seen)
			entry_removed(k, &k->list[i], now);
	}
}

/*
 * Records how many entries were removed at once.  Half of all targets or more
 * is no planned work: the entries lapsed in a store outage that this host did
 * not notice.
 */
void
membership_mass_removal(struct membership *k, int removed, usec now)
{
	int i, live = 0;

	for (i = 0; i < k->n; i++)
		live += k->list[i].gone_since == 0;
	if (removed >= MASS_REMOVAL_MIN && removed * 2 >= live &&
	    k->doubt_until < now + LAPSE_GRACE)
		k->doubt_until = now + LAPSE_GRACE;
}

/* Marks targets as gone whose entries have not come back in time, and drops
 * those that have been gone for long. */
void
membership_tick(struct membership *k, usec now)
{
	struct membership_target *e;
	int i, before = k->n;

	evacuations_expire(&k->evacuations, now);
	for (i = 0; i < k->n; i++) {
		e = &k->list[i];
		if (e->missing_since != 0 && now >= k->doubt_until) {
			e->missing_since = 0;
			entry_removed(k, e, now);
		}
		if (e->gone_since != 0 &&
		    now - e->gone_since > GONE_RETENTION) {
			*e = k->list[--k->n];
			i--;
			k->changed = 1;
		}
	}
	if (k->n != before)
		rehash(k);
}

/* True if entries are missing and it is not known yet whether their targets are
 * gone. */
int
membership_has_doubts(const struct membership *k)
{
	int i;

	for (i = 0; i < k->n; i++) {
		if (k->list[i].missing_since != 0)
			return (1);
	}
	return (0);
}

/* Returns a digest of one target and its state; sums of these do not depend on
 * the order of targets. */
static uint64_t
digest_of(const struct fleet_target *t)
{
	return (
	    XXH3_64bits_withSeed(t->id, strlen(t->id), (uint64_t)t->leaving));
}

/* Returns a snapshot, to be freed with fleet_free; NULL if out of memory. */
struct fleet *
membership_snapshot(struct membership *k)
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

/* Frees a snapshot; takes void * so that it can be a shared object's
 * destructor.
 */
void
fleet_free(void *arg)
{
	struct fleet *f = arg;

	if (f == NULL)
		return;
	free(f->targets);
	free(f);
}
