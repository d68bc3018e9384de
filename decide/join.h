/*
 * How long hosts wait for others before they read the store themselves: one
 * that has started, for a controller to send the targets; one that hears of
 * nobody who follows the store, for a standby or the next controller.
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
usec follow_delay(int hosts, uint64_t seed, usec leave_bound);

#endif
