/*
 * How much a host may tell others of what is large, so that its link stays free
 * for signs of life and for callers.
 */
#ifndef PACE_H
#define PACE_H

#include <stddef.h>

#include "clock.h"

struct pace {
	usec free_at; /* when what was told before has left */
};

int pace_fits(size_t bytes, int hosts, double link_mbps);
int pace_free(const struct pace *, usec now);
void pace_sent(struct pace *, size_t bytes, double link_mbps, usec now);

#endif
