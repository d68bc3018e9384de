/* Immutable snapshot of the known targets, shared between services. */
#ifndef FLEET_H
#define FLEET_H

#include <stdint.h>

#include "clock.h"
#include "evacuation.h"
#include "str.h"

#define FLEET_ADDR 64
/* No target has more slots than this; an entry that says so was not written by
 * the target. */
#define FLEET_SLOTS_MAX 65536

/* What is looked at for each target of a list comes first. */
struct fleet_target {
	const char *service; /* of intern() */
	const char *dc;	     /* of intern() */
	int slots;
	int leaving;	     /* announced by the target, or its entry is gone */
	int leave_unwritten; /* its entry does not say yet that it leaves */
	int gone;	     /* its entry is gone */
	usec cold_until; /* 0 if warm; for membership_entry_put() the time left
			  */
	char id[NAME_MAX_GS]; /* of the incarnation, see incarnation.h */
	char addr[FLEET_ADDR];
};

struct fleet {
	struct fleet_target *targets;
	int ntargets;
	struct evacuations evacuations;
	int whole;	 /* if received: complete, not only changes */
	uint64_t digest; /* of targets, leaving flags and evacuations; equal on
			    hosts that know the same */
};

void fleet_free(void *);

#endif
