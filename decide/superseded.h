/* The versions of a value that were replaced most recently. */
#ifndef SUPERSEDED_H
#define SUPERSEDED_H

#include <stdint.h>

#include "clock.h"

#define SUPERSEDED_MAX 16

struct superseded {
	struct {
		uint64_t version;
		usec replaced_at; /* 0 is an unused entry */
	} replaced[SUPERSEDED_MAX];
	unsigned next; /* replacements so far; the array is a ring */
};

void superseded_add(struct superseded *, uint64_t replaced, usec now);
int superseded_within(
    const struct superseded *, uint64_t version, usec span, usec now);

#endif
