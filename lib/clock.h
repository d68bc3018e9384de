/* The monotonic and the wall clock; decide/ takes the time as an argument. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/* A time or a duration on the monotonic clock, in microseconds. */
typedef int64_t usec;

#define MS(n) ((usec)(n)*1000)
#define US_PER_SEC ((usec)1000000)

usec clock_mono(void);
usec clock_wall(void);

#endif
