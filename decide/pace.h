/*
 * Limits on the bulk data that a host sends to others, so that its link stays
 * free for heartbeats and callers.
 */
#ifndef PACE_H
#define PACE_H

#include <stddef.h>

#include "clock.h"

struct pace {
	usec free_at; /* when the previous copy has been sent */
};

int pace_fits(size_t bytes, int hosts, double link_mbps);
int pace_ready(const struct pace *, usec now);
usec pace_broadcast(int hosts);
int pace_copies(size_t bytes, usec span, double link_mbps);
void pace_sent(struct pace *, size_t bytes, double link_mbps, usec now);

#endif
