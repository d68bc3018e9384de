/*
 * The HTTP form of callers' requests and of answers.  There are two: the native
 * one, and that of the platform.
 */
#ifndef DOOR_OPS_H
#define DOOR_OPS_H

#include "call.h"

struct door_ops {
	/* Parses a request's head; GS_OK, or the code to refuse it with.
	 * active is the catalogue or site configuration, or NULL. */
	int (*parse)(struct call *, const void *active);
	/* Formats when to retry, given in milliseconds, as the value of
	 * Retry-After. */
	void (*retry_text)(char *, size_t, uint32_t ms);
	/* Adds the headers of an error answer; ms is when to retry, in
	 * milliseconds, or 0 if a retry cannot help. */
	void (*error_headers)(struct MHD_Response *, int code, uint32_t ms);
	/* Adds the headers of a target's answer. */
	void (*target_headers)(struct MHD_Response *, const struct answer *);
	/* Number of copies of a body that the router has at most, with that of
	 * the call. */
	int copies;
	/* Path of the load balancer's health check, or NULL for none. */
	const char *health_uri;
};

extern const struct door_ops native_door;

#endif
