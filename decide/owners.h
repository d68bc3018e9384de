/*
 * Snapshot of which target owns which keys, as used by hosts to route requests.
 * The caller frees snapshots with owners_free.
 */
#ifndef OWNERS_H
#define OWNERS_H

#include <stdint.h>

#include "clock.h"
#include "str.h"

/* Key numbers run from 0 to KEYS - 1. */
#define KEYS 65536

struct owner_range {
	uint32_t from;
	uint32_t to;	/* inclusive */
	int target;	/* index into owners.targets; -1 if unowned */
	int moving;	/* between owners; requests may wait */
	usec served_at; /* when it is served again; 0 if unknown */
};

struct owner_service {
	char name[NAME_MAX_GS];
	struct owner_range *ranges; /* sorted; together they cover all keys */
	int nranges;
};

struct owners {
	uint64_t number; /* version; increases with each change */
	char (*targets)[NAME_MAX_GS];
	int ntargets;
	struct owner_service *services;
	int nservices;
};

struct owners *owners_diff(const struct owners *old, const struct owners *new);
struct owners *owners_apply(
    const struct owners *base, const struct owners *diff);
void owners_free(void *);
const struct owner_range *owners_find(
    const struct owners *, const char *service, uint32_t key);

#endif
