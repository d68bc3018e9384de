/*
 * Evacuations of data centres by the operator: until one ends, targets in the
 * data centre get no new requests.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include <stdint.h>

#include "clock.h"
#include "str.h"

#define EVACUATIONS_MAX 64

struct evacuation {
	char dc[NAME_MAX_GS];
	int ended;
	usec since; /* when its start or end became known; 0 if unknown */
};

struct evacuations {
	struct evacuation list[EVACUATIONS_MAX];
	int n;
	uint64_t as_of; /* store revision of this set; 0 if none was read */
};

int evacuations_begin(struct evacuations *, const char *dc, usec since);
void evacuations_end(struct evacuations *, const char *dc, usec now);
int evacuations_sync(
    struct evacuations *, const struct evacuations *listed, usec now);
int evacuations_adopt(struct evacuations *, const struct evacuations *received);
void evacuations_expire(struct evacuations *, usec now);
int evacuations_active(const struct evacuations *, const char *dc);
usec evacuations_closed_from(
    const struct evacuations *, const char *dc, usec grace);
usec evacuations_cold_until(
    const struct evacuations *, const char *dc, usec cold_start);
uint64_t evacuations_digest(const struct evacuations *);

#endif
