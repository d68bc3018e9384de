/* What the router does after an attempt: fail, retry, or hold the request. */
#ifndef ROUTE_H
#define ROUTE_H

#include "budget.h"
#include "clock.h"

enum route_step { ROUTE_END, ROUTE_RETRY, ROUTE_HOLD };

struct route_attempt {
	int idempotent;
	int attempts;	 /* so far, with the one that ended */
	usec held_since; /* when it was first held; 0 if never */
	usec deadline;
};

enum route_step route_decide(const struct route_attempt *, int code,
    int outcome, usec now, struct budget *);

#endif
