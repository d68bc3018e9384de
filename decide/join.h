/*
 * Whether a host that has started waits for a controller to send the targets,
 * or lists them from the store itself.
 */
#ifndef JOIN_H
#define JOIN_H

#include <stdint.h>

#include "clock.h"

struct join {
	usec began;
	uint64_t seed; /* differs by host */
	usec heard;    /* the last heartbeat of a controller; 0 if none */
	int told;      /* that controller follows the store for its hosts */
};

void join_begin(struct join *, uint64_t seed, usec now);
void join_heard(struct join *, int told, usec now);
int join_waits(const struct join *, usec now);

#endif
