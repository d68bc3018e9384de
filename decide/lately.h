/* Which numbers stood a little while ago, of something that changes often. */
#ifndef LATELY_H
#define LATELY_H

#include <stdint.h>

#include "clock.h"

#define LATELY_KEPT 16

struct lately {
	struct {
		uint64_t number;
		usec until; /* it stood until then */
	} was[LATELY_KEPT];
	unsigned next;
};

void lately_changed(struct lately *, uint64_t was, usec now);
int lately_stood(const struct lately *, uint64_t number, usec span, usec now);

#endif
