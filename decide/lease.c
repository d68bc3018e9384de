#include "lease.h"

/*
 * Clocks of two hosts may run apart by one part in this many.  Without the
 * margin a holder with a slow clock would go on after its granter, with a
 * fast one, had given the keys to another: two owners.
 */
#define DRIFT_PART 1000
#define MARGIN_MIN MS(1)

/* The allowance for both clocks over a span. */
static usec
margin(usec span)
{
	return (span / DRIFT_PART + MARGIN_MIN);
}

/*
 * When the holder must stop.  It counts from the moment it sent the request
 * that was answered: the answer may have waited anywhere on its way, and a
 * count from its arrival would outlive the granter's.
 */
usec
lease_holder_end(usec asked, usec length)
{
	return (asked + length - margin(length));
}

/*
 * When the granter may take the lease as lapsed.  It counts from the moment
 * it answered, which is never before the holder asked.
 */
usec
lease_granter_end(usec answered, usec length)
{
	return (answered + length + margin(length));
}

/*
 * A grant's absolute expiry in the receiver's clock.  clock_there is what the
 * receiver's clock read in an answer heard at `heard` here; end is when the
 * grant must end here.  A span "from receipt" would let a renewal that waited
 * in a frozen server's socket revive a lapsed grant on thawing; an absolute
 * moment is past by then.  The reading is older than `heard`, so the expiry
 * errs to the early side.  Returns 0 where nothing is left to grant.
 */
usec
grant_expiry(usec clock_there, usec heard, usec end)
{
	usec left;

	left = end - heard;
	left -= margin(left < 0 ? 0 : left);
	return (left <= 0 ? 0 : clock_there + left);
}
