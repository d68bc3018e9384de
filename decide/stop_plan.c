#include "stop_plan.h"

/* Time from the start of a stop until the load balancer sends the host no more
 * requests: it probes once a second and acts on the second failed probe. */
#define BALANCER_NOTICES MS(2600)
/* The last sixth of the grace period is left for writing the last answers and
 * ending threads; the platform allows for targets that still work during it.
 * Requests may be answered up to FINISH_OVERLAP into it. */
#define FINISH_DIVISOR 6
#define FINISH_OVERLAP MS(50)

/* The plan of a stop that begins now; the host is killed after `grace`. */
struct stop_plan
stop_plan_make(usec now, usec grace)
{
	struct stop_plan l;

	l.end = now + grace - grace / FINISH_DIVISOR + FINISH_OVERLAP;
	l.accept_all_until = now + BALANCER_NOTICES;
	if (l.accept_all_until > l.end)
		l.accept_all_until = l.end;
	return (l);
}

/*
 * True if a stopping host accepts a request that arrives now.  Until the load
 * balancer has noticed the stop it accepts all: many hosts may stop at once,
 * and then no other host could take them.  After that it accepts only requests
 * whose deadline is before the end.  Others might be cut off while they run,
 * and by then their callers can reach another host.
 */
int
stop_plan_accepts(const struct stop_plan *l, usec now, usec deadline)
{
	return (now < l->accept_all_until || deadline <= l->end);
}

/*
 * The deadline of a request on a stopping host.  With its own deadline alone, a
 * request that waits or is retried could outlive the host, and its caller's
 * connection would close without an answer.
 */
usec
stop_plan_deadline(const struct stop_plan *l, usec deadline)
{
	return (deadline < l->end ? deadline : l->end);
}
