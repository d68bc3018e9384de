/* The event log of this host: a ring buffer of the last events. */
#ifndef EVENT_H
#define EVENT_H

#include <stdint.h>

#include "clock.h"

/* Size of an event's text with its NUL, in bytes. */
#define EVENT_TEXT_SIZE 200
/* Size of the ring, in events. */
#define EVENT_MAX 4096

struct event {
	uint64_t seq;
	uint64_t cause; /* number of an earlier event, or 0 */
	usec mono;
	usec wall;
	char part[16]; /* module that recorded it */
	char text[EVENT_TEXT_SIZE];
};

/* Called for an event, with the lock held. */
typedef void (*event_fn)(const struct event *, void *);

int event_init(void);
uint64_t event_add(const char *part, uint64_t cause, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
uint64_t event_foreach(uint64_t from, event_fn, void *);

#endif
