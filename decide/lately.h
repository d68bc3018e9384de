/* The versions of a value that were replaced most recently. */
#ifndef LATELY_H
#define LATELY_H

#include <stdint.h>

#include "clock.h"

#define LATELY_KEPT 16

struct lately {
	struct {
		uint64_t number;
		usec until; /* when it was replaced; 0 is an unused entry */
	} was[LATELY_KEPT];
	unsigned next; /* replacements so far; the array is a ring */
};

void lately_changed(struct lately *, uint64_t was, usec now);
int lately_stood(const struct lately *, uint64_t number, usec span, usec now);

#endif
