#include <time.h>

#include "clock.h"

/* Returns the time of one clock, in microseconds. */
static usec
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ((usec)ts.tv_sec * US_PER_SEC + ts.tv_nsec / 1000);
}

/*
 * Returns the monotonic clock in microseconds, from an arbitrary start.  It
 * includes the time that the machine was suspended: otherwise a host that
 * resumes would believe that its lapsed leases are still valid, and two
 * targets could own one key.
 */
usec
clock_mono(void)
{
	return (read_clock(CLOCK_BOOTTIME));
}

/* Returns microseconds since 1970, for display only: this clock may step. */
usec
clock_wall(void)
{
	return (read_clock(CLOCK_REALTIME));
}
