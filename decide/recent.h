/* A hash table of request contents that were recorded recently, by digest. */
#ifndef RECENT_H
#define RECENT_H

#include <stdint.h>

#include "clock.h"

#define RECENT_MAX 512

struct recent {
	struct {
		uint64_t digest;
		usec at; /* 0 is an unused place */
	} entries[RECENT_MAX];
};

void recent_add(struct recent *, uint64_t digest, usec now);
int recent_has(const struct recent *, uint64_t digest, usec now);

#endif
