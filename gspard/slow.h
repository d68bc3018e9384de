/* The read timeout of requests. */
#ifndef SLOW_H
#define SLOW_H

#include <apr_thread_mutex.h>

#include "call.h"

/* The calls whose requests are being read or answered, slow or not. */
struct slow;

struct slow *slow_new(apr_thread_mutex_t *);
void slow_free(struct slow *);
void slow_add(struct slow *, struct call *, usec now);
void slow_remove(struct slow *, struct call *);
int slow_claim(struct call *);
int slow_is_reading(const struct call *);
void slow_tick(struct slow *, usec now);

#endif
