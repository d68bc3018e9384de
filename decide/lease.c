#include "lease.h"

/*
 * Clocks of two hosts may drift apart by one part in this many. Without the
 * margin a holder with a slow clock would go on after its granter, with a fast
 * one, had given the keys to another: two owners.
 */
#define DRIFT_DIVISOR 1000
#define MARGIN_MIN MS(1)

/* Returns the allowance for the drift of both clocks over a span. */
static usec
drift_margin(usec span)
{
	return (span / DRIFT_DIVISOR + MARGIN_MIN);
}

/*
 * Returns when the holder must stop. It counts from when it sent the request
 * that was answered: the answer may have been delayed, and a count from its
 * arrival would outlive the granter's.
 */
usec
lease_holder_end(usec requested, usec length)
{
	return (requested + length - drift_margin(length));
}

/*
 * Returns when the granter may count the lease as lapsed. It counts from its
 * answer, which is never before the holder's request.
 */
usec
lease_granter_end(usec replied, usec length)
{
	return (replied + length + drift_margin(length));
}

/*
 * Returns a grant's absolute expiry by the receiver's clock, or 0 if it has
 * expired. receiver_clock is the receiver's clock as of an answer that arrived
 * at `heard` by the local clock; end is when the grant must end, by the local
 * clock.
 *
 * A duration "from receipt" would let a renewal that waited in the socket of a
 * frozen server revive a lapsed grant on thawing; an absolute time is past by
 * then. The clock was read before `heard`, so the expiry errs to the early
 * side.
 */
usec
grant_expiry(usec receiver_clock, usec heard, usec end)
{
	usec left;

	left = end - heard;
	left -= drift_margin(left < 0 ? 0 : left);
	return (left <= 0 ? 0 : receiver_clock + left);
}
