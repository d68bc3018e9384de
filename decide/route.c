#include "result.h"
#include "route.h"

/* The longest that a request is held while its key moves to another owner. */
#define ROUTE_HOLD_MAX MS(1000)
#define ROUTE_ATTEMPTS_MAX 3

/*
 * Decides what to do after an attempt ended with this result.
 *
 * A planned move of a key takes some hundred milliseconds, so its request is
 * held, but no longer than ROUTE_HOLD_MAX: after that the move has failed, and
 * the caller gets an error that says when to retry.  A request that may have
 * run is retried only if it is idempotent, and only within the retry budget.
 */
enum route_step
route_decide(const struct route_attempt *t, int code, int outcome, usec now,
    struct budget *b)
{
	if (code == GS_OK || now >= t->deadline)
		return (ROUTE_END);
	if (code == GS_MOVED && outcome == OUT_NOT_RUN)
		return (
		    t->held_since == 0 || now - t->held_since < ROUTE_HOLD_MAX
			? ROUTE_HOLD
			: ROUTE_END);
	if (!t->idempotent || t->attempts >= ROUTE_ATTEMPTS_MAX)
		return (ROUTE_END);
	switch (code) {
	case GS_PEER_LOST:
		/*
		 * When a connection between hosts breaks, every request in
		 * flight on it fails at once, more than the budget's burst.
		 * The first retry of each is exempt from the budget: their
		 * number is bounded by the requests in flight, and the loss
		 * does not mean that a target is overloaded.
		 */
		if (t->attempts == 1)
			return (ROUTE_RETRY);
		return (budget_withdraw(b) ? ROUTE_RETRY : ROUTE_END);
	case GS_TARGET_LOST:
	case GS_CUT_SHORT:
		return (budget_withdraw(b) ? ROUTE_RETRY : ROUTE_END);
	default:
		return (ROUTE_END);
	}
}
