#include "host_count.h"

/* A number counts for at least one period and at most two. */
#define PERIOD (300 * US_PER_SEC)
/* A controller that has just begun learns of the hosts by their reports; after
 * this time it tells the number of all. */
#define SETTLE_TIME (5 * US_PER_SEC)

/* Begins a new period if the present one has ended. */
static void
next_period(struct host_count *c, usec now)
{
	usec late = now - c->period_until;

	if (late < 0)
		return;
	c->most[1] = late < PERIOD ? c->most[0] : c->hosts;
	c->most[0] = c->hosts;
	c->period_until = now - late % PERIOD + PERIOD;
}

/* Records the number of hosts that the controller has told. */
void
host_count_told(struct host_count *c, int hosts, usec now)
{
	next_period(c, now);
	if (c->hosts == 0)
		c->known_from = now + SETTLE_TIME;
	c->hosts = hosts;
	if (hosts > c->most[0])
		c->most[0] = hosts;
}

/*
 * Returns the largest number of hosts that was told lately, or 0 if it is not
 * known.  Hosts that are not heard may only be cut off, and go on with their
 * part of the limit: both sides of a partition divide it by all hosts.
 */
int
host_count_most(struct host_count *c, usec now)
{
	next_period(c, now);
	if (c->hosts == 0 || now < c->known_from)
		return (0);
	return (c->most[0] > c->most[1] ? c->most[0] : c->most[1]);
}
