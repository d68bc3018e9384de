#include <time.h>

#include "clock.h"

/* Reads one clock in microseconds. */
static usec
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ((usec)ts.tv_sec * US_PER_SEC + ts.tv_nsec / 1000);
}

/*
 * Microseconds since some moment before the process began; never steps.  The
 * time for which the machine was suspended counts: a host that woke up would
 * otherwise take its lapsed leases for good, and give two targets one key.
 */
usec
clock_mono(void)
{
	return (read_clock(CLOCK_BOOTTIME));
}

/* Microseconds since 1970, for people to read; it may step. */
usec
clock_wall(void)
{
	return (read_clock(CLOCK_REALTIME));
}
