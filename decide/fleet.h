/* The targets that are known, as of one moment; only read once published. */
#ifndef FLEET_H
#define FLEET_H

#include <stdint.h>

#include "clock.h"
#include "evacuation.h"
#include "str.h"

#define FLEET_ADDR 64
/* More slots than this no target has; an entry that says so is not its own. */
#define FLEET_SLOTS_MAX 65536

struct fleet_target {
	char id[NAME_MAX_GS]; /* of this life, see incarnation.h */
	char addr[FLEET_ADDR];
	char service[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	int slots;
	int leaving; /* says so itself, or its entry is gone */
	int gone;    /* its entry is gone */
	usec cold_until;
};

struct fleet {
	struct fleet_target *targets;
	int ntargets;
	struct evacuations evacuations;
	int whole;	 /* of what was told: all, not only what changed */
	uint64_t digest; /* of who is there, who leaves and what is evacuated;
			    the same at each host that knows the same */
};

void fleet_free(void *);

#endif
