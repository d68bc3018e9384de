#include <math.h>
#include <string.h>

#include "feature.h"
#include "standby.h"

/* What a controller spends for each host of its fleet, with ten targets each:
 * cores, and Mbit/s of its link. */
#define CORES_EACH 0.0008
#define MBPS_EACH 0.09
/* The rest of a host is for callers' requests. */
#define PART_FOR_CONTROL 0.5
/* One that bears fewer hosts than this leaves larger ones time to take control
 * of a site that nobody controls: as long as first takers are spread over. */
#define BEARS_MANY 150
#define LEAVE_TO_LARGER MS(200)

/* How many hosts one of this size could control. */
int
hosts_borne(double cores, double link_mbps)
{
	if (cores <= 0 || link_mbps <= 0)
		return (0);
	return ((int)(PART_FOR_CONTROL *
	    fmin(cores / CORES_EACH, link_mbps / MBPS_EACH)));
}

/* How long a host waits for larger ones before it takes control of a site that
 * has had no controller. */
usec
first_wait(int bears)
{
	if (!feature_on(FEATURE_STANDBY))
		return (0);
	return (bears > 0 && bears < BEARS_MANY ? LEAVE_TO_LARGER : 0);
}

/*
 * How much a host is wanted as standby: first in a data centre where the
 * others are not, so that one is left whatever data centre is lost; then large,
 * for on a host with a tenth of a core and 10 Mbit/s the signs of life of a
 * controller of 100 hosts come late, and it would be replaced over and over;
 * then one that stands by already.
 */
static double
worth(const struct candidate *c, const char *dc, const struct candidate *first)
{
	int apart = strcmp(c->dc, dc) != 0;

	if (!feature_on(FEATURE_STANDBY))
		return (c->is_one);
	if (first != NULL)
		apart += strcmp(c->dc, first->dc) != 0;
	return (apart * 1e9 + c->bears * 10.0 + c->is_one);
}

/* Picks the standbys of a controller in a data centre; how many. */
int
standbys_pick(const struct candidate *c, int n, const char *dc,
    struct member out[STANDBYS])
{
	const struct candidate *first = NULL, *best;
	int i, got;

	for (got = 0; got < STANDBYS; got++) {
		best = NULL;
		for (i = 0; i < n; i++) {
			if (&c[i] != first &&
			    (best == NULL ||
				worth(&c[i], dc, first) >
				    worth(best, dc, first)))
				best = &c[i];
		}
		if (best == NULL)
			break;
		out[got] = best->who;
		first = best;
	}
	return (got);
}

/* True where a controller cannot bear its fleet. */
int
strained(int bears, int hosts)
{
	return (bears > 0 && bears < hosts);
}

/*
 * True where a controller that cannot bear its fleet should give control to one
 * of its standbys.
 *
 * A small host may have taken control while large ones were cut off from the
 * store.  With 81 hosts and 358 targets, and 21 targets leaving at once, its
 * link of 10 Mbit/s stood still for over 900 ms: all looked for another
 * controller, and some hosts used targets 2.7 s after they had begun to leave.
 * A standby takes over in milliseconds; it must bear the fleet, or more of it,
 * and reach the store, or control would go to and fro.
 */
int
larger_stands_by(const struct candidate *c, int n, int bears, int hosts)
{
	int i;

	if (!strained(bears, hosts) || !feature_on(FEATURE_STANDBY))
		return (0);
	for (i = 0; i < n; i++) {
		if (c[i].is_one && c[i].store &&
		    (c[i].bears >= hosts || c[i].bears >= 2 * bears))
			return (1);
	}
	return (0);
}
