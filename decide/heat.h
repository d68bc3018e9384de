/* Sample of the keys that were requested since the last report. */
#ifndef HEAT_H
#define HEAT_H

#include <stdint.h>

/* Keys in a report at most; beyond that each stands for several requests. */
#define HEAT_SAMPLE_MAX 256

struct heat {
	uint16_t keys[HEAT_SAMPLE_MAX];
	int n;
	uint32_t requests; /* all requests, in the sample or not */
	uint64_t seed;
};

void heat_add(struct heat *, uint16_t key);
void heat_clear(struct heat *);

#endif
