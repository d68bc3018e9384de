/*
 * The queue of one target: bounded, fair among callers and between short and
 * long work, aware of deadlines, with a slot that long work may not fill.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <stdint.h>

#include "clock.h"

struct job {
	struct job *next;
	void *what;
	usec arrived;
	usec deadline;
	uint64_t caller;
	uint64_t tag;
	int is_long;
	int shard;
};

struct queue {
	struct job *head[2]; /* short work, long work */
	unsigned count;
	unsigned waiting[2]; /* of count, short and long */
	unsigned limit;
	unsigned slots;
	unsigned busy;
	unsigned busy_long;
	unsigned long_max;
	usec mean[2];
	usec used[2]; /* slot time taken, to share it between the two */
	uint64_t vtime;
	struct {
		uint64_t caller;
		uint64_t last;
	} callers[64];
};

/* True where a job may start now; used to hold back moving shards. */
typedef int (*job_ok_fn)(const struct job *, void *);

void queue_init(struct queue *, unsigned slots, unsigned limit);
void queue_resize(struct queue *, unsigned slots, unsigned limit);
int queue_add(struct queue *, struct job *, usec now, usec *retry);
struct job *queue_next(struct queue *, usec now, job_ok_fn, void *);
struct job *queue_late(struct queue *, usec now);
struct job *queue_pull(struct queue *, job_ok_fn, void *);
void queue_done(struct queue *, const struct job *, usec took);
usec queue_wait(const struct queue *, int is_long);

#endif
