#include "leave.h"

/* A balancer that probes once a second believes the second miss. */
#define PROBED_OUT MS(2600)
/* Between the answers and the kill: the last of them are written, threads end.
 * The platform allows for targets that still work in this sixth of the time. */
#define LAST_PART 6
#define LAST_PART_BEGUN MS(50)

/* The stop of a host that is killed so long after it was asked to stop. */
struct leave
leave_plan(usec now, usec grace)
{
	struct leave l;

	l.end = now + grace - grace / LAST_PART + LAST_PART_BEGUN;
	l.shut = now + PROBED_OUT;
	if (l.shut > l.end)
		l.shut = l.end;
	return (l);
}

/*
 * True where a stopping host takes a request that has come now.  Until its
 * balancer has noticed it takes all, for many hosts may stop at once and then
 * there is nobody else.  Later only what is sure to be answered before the end:
 * anything else could be cut by it at work, and its caller finds another host.
 */
int
leave_takes(const struct leave *l, usec now, usec deadline)
{
	return (now < l->shut || deadline <= l->end);
}

/*
 * When a request must have its answer on a stopping host.  Bounded by its own
 * deadline alone, one that waits or is sent once more outlives the host, and
 * its caller's connection ends without a word.
 */
usec
leave_deadline(const struct leave *l, usec deadline)
{
	return (deadline < l->end ? deadline : l->end);
}
