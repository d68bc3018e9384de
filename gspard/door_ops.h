/*
 * How callers' requests and our answers look on the wire.  A table, for the
 * platform has its own form beside ours.
 */
#ifndef DOOR_OPS_H
#define DOOR_OPS_H

#include "call.h"

struct door_ops {
	/* Reads a request's head by what is in force; a result code. */
	int (*parse)(struct call *, const void *in_force);
	/* Adds to an answer of our own what says whether and when to ask
	 * again; ms is 0 where asking again makes no sense. */
	void (*own_heads)(struct MHD_Response *, int code, uint32_t ms);
	/* Adds what belongs to a target's answer. */
	void (*target_heads)(struct MHD_Response *, const struct answer *);
	/* The path of the balancer's probe on the callers' address, or NULL. */
	const char *health;
};

extern const struct door_ops native_door;

#endif
