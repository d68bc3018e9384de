/*
 * The schedule of a host's orderly stop: when it stops accepting requests, and
 * when the last of them must be answered.
 */
#ifndef STOP_PLAN_H
#define STOP_PLAN_H

#include "clock.h"

struct stop_plan {
	usec accept_all_until; /* the load balancer no longer sends callers here
				*/
	usec end;	       /* every request has been answered */
};

struct stop_plan stop_plan_make(usec now, usec grace);
int stop_plan_accepts(const struct stop_plan *, usec now, usec deadline);
usec stop_plan_deadline(const struct stop_plan *, usec deadline);

#endif
