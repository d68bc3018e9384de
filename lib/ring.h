/* A bounded queue between threads; counts the items refused when full. */
#ifndef RING_H
#define RING_H

#include <stdint.h>

struct ring;

/* Wakes a reader that waits for something else than the ring. */
typedef void (*ring_wake_fn)(void *);

struct ring *ring_new(unsigned size);
void ring_free(struct ring *);
void ring_set_wake(struct ring *, ring_wake_fn, void *);
int ring_put(struct ring *, void *);
void *ring_get(struct ring *);
void *ring_wait(struct ring *, int64_t wait_us);
uint64_t ring_refused(struct ring *);

#endif
