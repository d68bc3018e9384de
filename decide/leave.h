/*
 * An orderly stop of a host: until when it takes requests, and when each must
 * have its answer.
 */
#ifndef LEAVE_H
#define LEAVE_H

#include "clock.h"

struct leave {
	usec shut; /* callers are no longer sent here by their balancer */
	usec end;  /* each request has had its answer */
};

struct leave leave_plan(usec now, usec grace);
int leave_takes(const struct leave *, usec now, usec deadline);
usec leave_deadline(const struct leave *, usec deadline);

#endif
