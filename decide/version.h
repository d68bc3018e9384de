/*
 * Versions of objects in the store.  The store numbers changes by revision.  If
 * it comes back from an old copy, revisions go back and are given out again, so
 * a version consists of the store's era, which rises each time, and a revision.
 */
#ifndef VERSION_H
#define VERSION_H

#include <stdint.h>

/* Largest era and revision. */
#define VERSION_ERA_MAX 0xffffffu
#define VERSION_REVISION_MAX 0xffffffffffu

/* The store's era, as last seen. */
struct store_era {
	uint64_t number;
	int known;
};

int era_rose(struct store_era *, uint64_t number);
uint64_t version_make(uint64_t era, uint64_t revision);
uint64_t version_era(uint64_t version);
uint64_t version_revision(uint64_t version);

#endif
