/* What the router does after an attempt: fail, retry, or hold the request. */
#ifndef ROUTE_H
#define ROUTE_H

#include "budget.h"
#include "clock.h"

enum route_step { ROUTE_END, ROUTE_AGAIN, ROUTE_HOLD };

struct route_try {
	int idempotent;
	int tries;	/* so far, with the one that ended */
	usec held_from; /* when it was first held; 0 is never */
	usec deadline;
};

enum route_step route_after(
    const struct route_try *, int code, int outcome, usec now, struct budget *);

#endif
