#include "result.h"
#include "route.h"

/* Longest hold of a request whose key is on its way to another server. */
#define HOLD_MAX MS(1000)
#define TRIES_MAX 3

/*
 * Decides what follows an attempt.
 *
 * A key that moves by plan is back within some hundred milliseconds, so its
 * request is held, but not longer than HOLD_MAX: beyond that something failed
 * and the caller is better told at once when to come back.  What may have run
 * is sent again only where running twice does no harm, and only within the
 * retry budget.
 */
enum route_step
route_after(const struct route_try *t, int code, int outcome, usec now,
    struct budget *b)
{
	if (code == GS_OK || now >= t->deadline)
		return (ROUTE_END);
	if (code == GS_MOVED && outcome == OUT_NOT_RUN)
		return (t->held_from == 0 || now - t->held_from < HOLD_MAX
			? ROUTE_HOLD
			: ROUTE_END);
	if (!t->idempotent || t->tries >= TRIES_MAX)
		return (ROUTE_END);
	switch (code) {
	case GS_PEER_LOST:
		/*
		 * A connection between hosts is lost with all that is on it at
		 * once, more than a budget's burst.  Sending each again once
		 * is bounded by what was in flight, and says nothing of a
		 * server in distress.
		 */
		if (t->tries == 1)
			return (ROUTE_AGAIN);
		return (budget_retry(b) ? ROUTE_AGAIN : ROUTE_END);
	case GS_TARGET_LOST:
	case GS_CUT_SHORT:
		return (budget_retry(b) ? ROUTE_AGAIN : ROUTE_END);
	default:
		return (ROUTE_END);
	}
}
