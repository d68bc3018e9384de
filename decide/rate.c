#include <string.h>

#include "rate.h"

/*
 * An unused turn expires after this time.  If turns were kept longer, those of
 * many idle hosts would add up, and a burst of callers through all of them
 * would exceed the rate many times over.
 */
#define TURN_LIFETIME MS(1500)
/* Lowest rate that is applied, in requests a second: a target with a lower
 * limit still gets a request now and then, whose answer may report a higher
 * one. */
#define LIMIT_MIN 0.1
/* Turns are kept when the time of day is adjusted by less than this. */
#define EPOCH_SLACK MS(100)

/* Initializes a rate without a limit. */
void
rate_init(struct rate *r)
{
	memset(r, 0, sizeof(*r));
	r->limit = -1;
}

/* True if both schedules have their turns at the same times. */
static int
same_turns(const struct rate_turns *a, const struct rate_turns *b)
{
	return (a->hosts == b->hosts && a->rank == b->rank &&
	    a->epoch - b->epoch < EPOCH_SLACK &&
	    b->epoch - a->epoch < EPOCH_SLACK);
}

/* The first turn that has not expired. */
static usec
next_turn(const struct rate *r, usec now)
{
	usec lost = now - TURN_LIFETIME - r->next;

	if (lost <= 0)
		return (r->next);
	return (r->next + (lost / r->interval + 1) * r->interval);
}

/* This host's first turn at or after a time. */
static usec
first_turn(const struct rate *r, usec from)
{
	usec first =
	    r->turns.epoch + r->turns.rank * (r->interval / r->turns.hosts);
	usec late = (from - first) % r->interval;

	if (late < 0)
		late += r->interval;
	return (late == 0 ? from : from + r->interval - late);
}

/*
 * Sets the limit, in requests a second from all hosts; negative if none.  A
 * limit that changes with each answer must not give a host additional turns.
 */
void
rate_set(struct rate *r, double limit, const struct rate_turns *t, usec now)
{
	double applied = limit < LIMIT_MIN ? LIMIT_MIN : limit;
	usec from = now, was = r->limit < 0 ? 0 : next_turn(r, now);

	if (limit >= 0 && limit == r->limit && same_turns(&r->turns, t))
		return;
	r->limit = limit;
	if (limit < 0)
		return;
	r->turns = *t;
	if (r->turns.hosts < 1)
		r->turns.hosts = 1;
	r->interval = (usec)(r->turns.hosts * US_PER_SEC / applied);
	if (r->last_sent != 0 && r->last_sent + r->interval > from)
		from = r->last_sent + r->interval;
	r->next = first_turn(r, from);
	/* Postponed by each change, the turn would never come. */
	if (was != 0 && was < r->next)
		r->next = was > from ? was : from;
}

/* True if a request may be sent now. */
int
rate_allows(const struct rate *r, usec now)
{
	return (r->limit < 0 || next_turn(r, now) <= now);
}

/* Records that a request is sent, in its turn or early. */
void
rate_sent(struct rate *r, usec now)
{
	r->last_sent = now;
	if (r->limit >= 0)
		r->next = next_turn(r, now) + r->interval;
}

/* How long a request waits for its turn, with `ahead` others before it. */
usec
rate_wait(const struct rate *r, int ahead, usec now)
{
	usec at;

	if (r->limit < 0)
		return (0);
	at = next_turn(r, now) + ahead * r->interval;
	return (at > now ? at - now : 0);
}
