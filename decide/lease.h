/*
 * Lease arithmetic: from when holder and granter count, and the margin for
 * clock drift.
 */
#ifndef LEASE_H
#define LEASE_H

#include "clock.h"

usec lease_holder_end(usec requested, usec length);
usec lease_granter_end(usec replied, usec length);
usec grant_expiry(usec receiver_clock, usec heard, usec end);

#endif
