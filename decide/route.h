/* What a router does after an attempt ended: end, try again, or hold. */
#ifndef ROUTE_H
#define ROUTE_H

#include "budget.h"
#include "clock.h"

enum route_step { ROUTE_END, ROUTE_AGAIN, ROUTE_HOLD };

struct route_try {
	int idempotent;
	int tries;	/* attempts made so far */
	usec held_from; /* since when its key has been moving; 0 is not */
	usec deadline;
};

enum route_step route_after(
    const struct route_try *, int code, int outcome, usec now, struct budget *);

#endif
