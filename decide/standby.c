#include <math.h>
#include <string.h>

#include "feature.h"
#include "standby.h"

/*
 * Load on the controller for each host of its fleet, with ten targets per host:
 * cores, and Mbit/s of its link.
 */
#define CORES_PER_HOST 0.0008
#define MBPS_PER_HOST 0.09
/*
 * Share of a host's cores and link that control may use; the rest is for
 * callers' requests.
 */
#define CONTROL_SHARE 0.5
/* A standby relays to this many times the hosts that it could control: it sends
 * fewer frames than a controller, and gets no reports. */
#define RELAY_FACTOR 2
/*
 * A host that could control fewer hosts than LARGE_HOST_MIN waits this long
 * before it takes control of a site that has no controller, so that larger ones
 * go first. It equals the range of delays for the first controller in term.c
 * (BOOTSTRAP_JITTER).
 */
#define LARGE_HOST_MIN 150
#define SMALL_HOST_DELAY MS(200)

/*
 * Returns how many hosts a host of this size could control; 0 if its size is
 * not known.
 */
int
host_capacity(double cores, double link_mbps)
{
	if (cores <= 0 || link_mbps <= 0)
		return (0);
	return ((int)(CONTROL_SHARE *
	    fmin(cores / CORES_PER_HOST, link_mbps / MBPS_PER_HOST)));
}

/*
 * Returns how long a host waits for larger ones before it takes control of a
 * site that has had no controller; max_hosts is host_capacity().
 */
usec
bootstrap_delay(int max_hosts)
{
	if (!feature_on(FEATURE_STANDBY))
		return (0);
	return (
	    max_hosts > 0 && max_hosts < LARGE_HOST_MIN ? SMALL_HOST_DELAY : 0);
}

/*
 * Rates a host as standby. First counts a data centre where neither the
 * controller nor the other standby is, so that one remains whichever data
 * centre is lost. Then size: on a host with a tenth of a core and 10 Mbit/s, a
 * controller of 100 hosts sends its heartbeats late and would be replaced over
 * and over. Last, whether it is a standby now.
 */
static double
standby_score(
    const struct candidate *c, const char *dc, const struct candidate *first)
{
	int apart = strcmp(c->dc, dc) != 0;

	if (!feature_on(FEATURE_STANDBY))
		return (c->is_standby);
	if (first != NULL)
		apart += strcmp(c->dc, first->dc) != 0;
	return (apart * 1e9 + c->max_hosts * 10.0 + c->is_standby);
}

/* Picks the standbys of a controller in data centre dc; returns how many. */
int
standbys_pick(const struct candidate *c, int n, const char *dc,
    struct member out[STANDBYS_MAX])
{
	const struct candidate *first = NULL, *best;
	int i, got;

	for (got = 0; got < STANDBYS_MAX; got++) {
		best = NULL;
		for (i = 0; i < n; i++) {
			if (&c[i] != first &&
			    (best == NULL ||
				standby_score(&c[i], dc, first) >
				    standby_score(best, dc, first)))
				best = &c[i];
		}
		if (best == NULL)
			break;
		out[got] = best->process;
		first = best;
	}
	return (got);
}

/*
 * True if a controller is too small for its fleet; max_hosts is 0 if not known.
 */
int
is_overloaded(int max_hosts, int hosts)
{
	return (max_hosts > 0 && max_hosts < hosts);
}

/*
 * True if a standby that could control max_hosts hosts can relay the store's
 * news to so many; max_hosts is 0 if not known.  Small ones must not: 300 hosts
 * of a fifth of a core took 4.5 s after the loss of all until they served.
 * Where none relays, each host follows the store itself.
 */
int
can_relay(int max_hosts, int hosts)
{
	return (!is_overloaded(RELAY_FACTOR * max_hosts, hosts));
}

/*
 * True if a controller that is too small for its fleet should release control
 * to one of its standbys.
 *
 * A small host may have taken control while large ones were cut off from the
 * store. With 81 hosts and 358 targets, of which 21 left at once, its link of
 * 10 Mbit/s stalled for over 900 ms, longer than hosts wait for heartbeats: all
 * looked for another controller, and some used targets 2.7 s after these had
 * begun to leave. A standby takes over in milliseconds. It must be able to
 * control the fleet, or twice as many hosts as this one, and reach the store,
 * or control would go back and forth.
 */
int
larger_standby_ready(const struct candidate *c, int n, int max_hosts, int hosts)
{
	int i;

	if (!is_overloaded(max_hosts, hosts) || !feature_on(FEATURE_STANDBY))
		return (0);
	for (i = 0; i < n; i++) {
		if (c[i].is_standby && c[i].store &&
		    (c[i].max_hosts >= hosts ||
			c[i].max_hosts >= 2 * max_hosts))
			return (1);
	}
	return (0);
}
