/* What is known of targets from the platform's list, and how far to trust it.
 */
#ifndef KNOWN_H
#define KNOWN_H

#include <stdint.h>

#include "fleet.h"

/* Entries that lapsed in an outage are back this long after its end: the
 * platform's operators say about two seconds. */
#define LAPSE_BACK MS(2000)
/* How long a target that is gone is still named, for its keys. */
#define GONE_KEPT MS(20000)

struct known_target {
	struct fleet_target t;
	usec missing_since; /* its entry went in an outage; 0 where it is there
			     */
	usec gone_since;
	int said_so; /* it said itself that it leaves: it never comes back */
	int seen;    /* while a list is read */
	int next;    /* of its chain: 1 + index, 0 ends it */
};

struct known {
	struct known_target *list;
	int n;
	int room;
	int *heads; /* of chains of lives of targets: 1 + index, 0 is none */
	int nheads; /* a power of two */
	struct evacuations evacuations;
	usec heartbeat;
	usec failing_since; /* the store; 0 while it answers */
	usec doubt_until;   /* entries that go until then may have lapsed */
	int changed;
};

void known_free(struct known *);
void known_store_failed(struct known *, usec now);
void known_store_answered(struct known *, usec now);
void known_put(struct known *, const struct fleet_target *, usec now);
void known_gone(struct known *, const char *target, usec now);
void known_unusable(struct known *, const char *target, usec now);
void known_list_begin(struct known *);
void known_list_end(struct known *, usec now);
void known_batch(struct known *, int gone, usec now);
void known_tick(struct known *, usec now);
void known_told(struct known *, const struct fleet *, usec now);
struct fleet *known_fleet(struct known *);

#endif
