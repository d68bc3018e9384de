#include <string.h>

#include <xxhash.h>

#include "evacuation.h"

/* Ended evacuations are kept this long, until the targets are warm again. */
#define ENDED_RETENTION MS(30000)

/* Returns the index of a data centre, or -1. */
static int
find(const struct evacuations *e, const char *dc)
{
	int i;

	for (i = 0; i < e->n; i++) {
		if (strcmp(e->list[i].dc, dc) == 0)
			return (i);
	}
	return (-1);
}

/* Allocates a slot: a new one, or that of the evacuation that ended first; NULL
 * if all are active. */
static struct evacuation *
alloc_slot(struct evacuations *e)
{
	struct evacuation *oldest = NULL;
	int i;

	if (e->n < EVACUATIONS_MAX)
		return (&e->list[e->n++]);
	for (i = 0; i < e->n; i++) {
		if (e->list[i].ended &&
		    (oldest == NULL || e->list[i].since < oldest->since))
			oldest = &e->list[i];
	}
	return (oldest);
}

/*
 * Starts an evacuation; since is 0 if its start is unknown.  One that is
 * already active keeps its start.  0, or -1 if the table is full.
 */
int
evacuations_begin(struct evacuations *e, const char *dc, usec since)
{
	int i = find(e, dc);
	struct evacuation *v = i < 0 ? NULL : &e->list[i];

	if (v != NULL && !v->ended)
		return (0);
	if (v == NULL && (v = alloc_slot(e)) == NULL)
		return (-1);
	memset(v, 0, sizeof(*v));
	name_copy(v->dc, sizeof(v->dc), dc);
	v->since = since;
	return (0);
}

/* Ends an evacuation. */
void
evacuations_end(struct evacuations *e, const char *dc, usec now)
{
	int i = find(e, dc);

	if (i < 0 || e->list[i].ended)
		return;
	e->list[i].ended = 1;
	e->list[i].since = now;
}

/*
 * Adopts the complete set as listed from the store, unless the present set is
 * of a later revision.  Returns 1 if that changes anything.
 */
int
evacuations_sync(
    struct evacuations *e, const struct evacuations *listed, usec now)
{
	uint64_t before = evacuations_digest(e);
	int i;

	if (listed->as_of < e->as_of)
		return (0);
	e->as_of = listed->as_of;
	for (i = 0; i < e->n; i++) {
		if (!evacuations_active(listed, e->list[i].dc))
			evacuations_end(e, e->list[i].dc, now);
	}
	for (i = 0; i < listed->n; i++)
		evacuations_begin(e, listed->list[i].dc, listed->list[i].since);
	return (evacuations_digest(e) != before);
}

/*
 * Adopts the set received from another host if it is newer, and returns 1 then.
 * Known start times are kept: a host that only listed the store does not have
 * them.
 */
int
evacuations_adopt(struct evacuations *e, const struct evacuations *received)
{
	struct evacuations adopted = *received;
	int i, own;

	if (received->as_of <= e->as_of)
		return (0);
	for (i = 0; i < adopted.n; i++) {
		own = find(e, adopted.list[i].dc);
		if (own >= 0 && adopted.list[i].since == 0 &&
		    e->list[own].ended == adopted.list[i].ended)
			adopted.list[i].since = e->list[own].since;
	}
	*e = adopted;
	return (1);
}

/* Drops evacuations that ended long ago. */
void
evacuations_expire(struct evacuations *e, usec now)
{
	int i;

	for (i = 0; i < e->n; i++) {
		if (e->list[i].ended &&
		    now - e->list[i].since > ENDED_RETENTION)
			e->list[i--] = e->list[--e->n];
	}
}

/* True if a data centre is being evacuated. */
int
evacuations_active(const struct evacuations *e, const char *dc)
{
	int i = find(e, dc);

	return (i >= 0 && !e->list[i].ended);
}

/*
 * Returns when targets of a data centre stop getting new requests; 0 if it is
 * not being evacuated.  The grace period is for targets that own keys, which
 * are moved during it.
 */
usec
evacuations_closed_from(const struct evacuations *e, const char *dc, usec grace)
{
	int i = find(e, dc);

	if (i < 0 || e->list[i].ended)
		return (0);
	return (e->list[i].since == 0 ? 1 : e->list[i].since + grace);
}

/*
 * Returns the time until which targets of a data centre are cold after its
 * evacuation has ended; 0 if none has.  Their entries may report the cold start
 * later than the end of the evacuation becomes known.
 */
usec
evacuations_cold_until(
    const struct evacuations *e, const char *dc, usec cold_start)
{
	int i = find(e, dc);

	return (i < 0 || !e->list[i].ended ? 0 : e->list[i].since + cold_start);
}

/* Returns a digest of the active evacuations, independent of their order; 0 if
 * there are none. */
uint64_t
evacuations_digest(const struct evacuations *e)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < e->n; i++) {
		if (!e->list[i].ended)
			n += XXH3_64bits(e->list[i].dc, strlen(e->list[i].dc));
	}
	return (n);
}
