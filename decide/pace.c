#include <limits.h>
#include <math.h>

#include "pace.h"

/*
 * Maximum time that a push to all hosts may occupy the sender's link:
 * heartbeats wait behind it, and hosts that receive none for 900 ms look for
 * another controller.
 */
#define PUSH_TIME_MAX_S 0.25
/*
 * Maximum number of bytes pushed to one host at once.  Its link speed is not
 * known to the sender; at 10 Mbit/s this takes 0.1 s.
 */
#define PUSH_BYTES_MAX 131072
/*
 * Share of the link for configurations that hosts request one by one; the rest
 * is for callers.
 */
#define REQUESTED_SHARE 0.25
/* Frames with changes that are sent each second at most, to all hosts. */
#define FRAMES_PER_SECOND 10000
/* Assumed link speed if none is configured, in Mbit/s. */
#define LINK_DEFAULT_MBPS 100.0

/* Returns the bytes per second of a link. */
static double
link_bytes(double link_mbps)
{
	return ((link_mbps > 0 ? link_mbps : LINK_DEFAULT_MBPS) * 1e6 / 8);
}

/* True if this many bytes may be pushed to each of this many hosts at once. */
int
pace_fits(size_t bytes, int hosts, double link_mbps)
{
	return (bytes <= PUSH_BYTES_MAX &&
	    (double)bytes * hosts <= link_bytes(link_mbps) * PUSH_TIME_MAX_S);
}

/* Returns the shortest interval between changes that are sent to all hosts: in
 * large fleets one frame has several changes. */
usec
pace_broadcast(int hosts)
{
	return ((usec)hosts * US_PER_SEC / FRAMES_PER_SECOND);
}

/* True if a copy may be sent now. */
int
pace_ready(const struct pace *p, usec now)
{
	return (now >= p->free_at);
}

/* Takes note that a copy of this many bytes was sent. */
void
pace_sent(struct pace *p, size_t bytes, double link_mbps, usec now)
{
	double s = (double)bytes / (link_bytes(link_mbps) * REQUESTED_SHARE);

	p->free_at = now + (usec)(s * 1e6);
}

/* Returns how many copies of this many bytes may be sent in a time, to as many
 * hosts; at least one. */
int
pace_copies(size_t bytes, usec span, double link_mbps)
{
	double s = (double)span / US_PER_SEC;
	double n =
	    link_bytes(link_mbps) * REQUESTED_SHARE * s / (double)(bytes + 1);

	return (n < 1 ? 1 : (int)fmin(n, INT_MAX));
}
