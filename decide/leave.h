/*
 * The schedule of a host's orderly stop: until when it accepts requests, and
 * when the last of them must be answered.
 */
#ifndef LEAVE_H
#define LEAVE_H

#include "clock.h"

struct leave {
	usec shut; /* the load balancer no longer sends callers here */
	usec end;  /* every request has been answered */
};

struct leave leave_plan(usec now, usec grace);
int leave_takes(const struct leave *, usec now, usec deadline);
usec leave_deadline(const struct leave *, usec deadline);

#endif
