/* The host's part of the time line: a bounded ring of events. */
#ifndef EVENT_H
#define EVENT_H

#include <stdint.h>

#include "clock.h"

#define EVENT_TEXT 200
#define EVENT_KEEP 4096

struct event {
	uint64_t seq;
	uint64_t cause;
	usec mono;
	usec wall;
	char part[16];
	char text[EVENT_TEXT];
};

/* Called for each event of seq `from` or later that is still kept. */
typedef void (*event_fn)(const struct event *, void *);

int event_open(void);
uint64_t event_add(const char *part, uint64_t cause, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
uint64_t event_each(uint64_t from, event_fn, void *);

#endif
