/* Which keys were asked for since the last report. */
#ifndef HEAT_H
#define HEAT_H

#include <stdint.h>

/* Keys told in one report at most; beyond it each stands for several. */
#define HEAT_KEPT 256

struct heat {
	uint16_t keys[HEAT_KEPT];
	int n;
	uint32_t seen; /* requests, kept or not */
	uint64_t seed;
};

void heat_add(struct heat *, uint16_t key);
void heat_clear(struct heat *);

#endif
