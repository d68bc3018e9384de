/*
 * Lease arithmetic: from when holder and granter count, and the margin for
 * clock drift.
 */
#ifndef LEASE_H
#define LEASE_H

#include "clock.h"

usec lease_holder_end(usec asked, usec length);
usec lease_granter_end(usec answered, usec length);
usec grant_expiry(usec clock_there, usec heard, usec end);

#endif
