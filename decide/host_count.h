/* The number of hosts that share a limit, as one of them knows it. */
#ifndef HOST_COUNT_H
#define HOST_COUNT_H

#include "clock.h"

struct host_count {
	int hosts;	   /* told last; 0 if none was told yet */
	int most[2];	   /* in this period and the one before */
	usec period_until; /* end of this period */
	usec known_from;   /* since when the number is of use */
};

void host_count_told(struct host_count *, int hosts, usec now);
int host_count_most(struct host_count *, usec now);

#endif
