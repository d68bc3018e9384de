/* The lease that a host holds from the controller of a cell. */
#ifndef HOSTLEASE_H
#define HOSTLEASE_H

#include <stdint.h>

#include "clock.h"
#include "str.h"

#define LEASE_REQUESTS_MAX 64

struct hostlease {
	char controller[NAME_MAX_GS];
	uint64_t term;
	uint64_t seq;
	usec sent[LEASE_REQUESTS_MAX];
	usec until;
	usec last_heard;
	usec next_request;
};

uint64_t hostlease_request(struct hostlease *, usec now, usec interval);
int hostlease_reply(struct hostlease *, usec now, const char *from,
    uint64_t term, uint64_t seq, usec length);
int hostlease_hint(struct hostlease *, const char *controller, uint64_t term);

#endif
