/*
 * Membership: the targets that this host knows, from the platform's store or
 * from the controller, and how far missing entries are trusted.
 */
#ifndef KNOWN_H
#define KNOWN_H

#include <stdint.h>

#include "fleet.h"

/* Entries that lapsed in a store outage are back this long after its end: the
 * platform's operators give about two seconds. */
#define LAPSE_GRACE MS(2000)
/* How long a target that is gone stays in the list, so that its keys can be
 * moved. */
#define GONE_RETENTION MS(20000)

struct known_target {
	struct fleet_target t;
	usec missing_since;  /* entry removed while in doubt; else 0 */
	usec gone_since;     /* 0 if not gone */
	int leave_announced; /* the target announced that it leaves, which is
				final */
	int seen;	     /* in the list that is being read */
	int next;	     /* in its bucket: 1 + index, 0 at the end */
};

struct known {
	struct known_target *list;
	int n;
	int capacity;
	int *buckets; /* hash table by target id: 1 + index, 0 if empty */
	int nbuckets; /* a power of two */
	struct evacuations evacuations;
	usec heartbeat;	    /* interval at which targets renew their entries */
	usec failing_since; /* the store; 0 while it answers */
	usec doubt_until;   /* entries removed before this may have lapsed */
	int changed;	    /* since the last snapshot; the user clears it */
};

void known_free(struct known *);
void known_store_failed(struct known *, usec now);
void known_store_answered(struct known *, usec now);
void known_entry_put(struct known *, const struct fleet_target *, usec now);
void known_entry_removed(struct known *, const char *target, usec now);
void known_entry_invalid(struct known *, const char *target, usec now);
void known_list_begin(struct known *);
void known_list_end(struct known *, usec now);
void known_mass_removal(struct known *, int removed, usec now);
void known_tick(struct known *, usec now);
void known_adopt(struct known *, const struct fleet *, usec now);
struct fleet *known_snapshot(struct known *);

#endif
