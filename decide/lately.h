/* The versions of a value that were replaced most recently. */
#ifndef LATELY_H
#define LATELY_H

#include <stdint.h>

#include "clock.h"

#define LATELY_KEPT 16

struct lately {
	struct {
		uint64_t version;
		usec replaced_at; /* 0 is an unused entry */
	} replaced[LATELY_KEPT];
	unsigned next; /* replacements so far; the array is a ring */
};

void lately_changed(struct lately *, uint64_t replaced, usec now);
int lately_stood(const struct lately *, uint64_t version, usec span, usec now);

#endif
