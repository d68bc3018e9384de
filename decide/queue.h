/*
 * The queue of jobs of one target.  It is bounded, shares the target's slots
 * fairly among callers and between short and long jobs, observes deadlines,
 * and keeps one slot free of long jobs.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <stdint.h>

#include "clock.h"

struct job {
	struct job *next;
	void *user_data; /* the request, set by the user of the queue */
	usec arrived;
	usec deadline;
	uint64_t caller;
	uint64_t tag; /* virtual finish time; orders the queue */
	int is_long;
	int shard;
};

struct queue {
	struct job *head[2]; /* short and long jobs */
	unsigned count;
	unsigned waiting[2]; /* of count, short and long */
	unsigned limit;
	unsigned slots;
	unsigned busy;
	unsigned busy_long;
	unsigned long_max; /* slots that long jobs may use */
	usec mean[2];	   /* run time, smoothed */
	/* Slot time given to short and to long jobs, kept equal. */
	usec used_time[2];
	uint64_t virtual_time; /* tag of the last job started */
	struct {
		uint64_t caller;
		uint64_t last_tag; /* tag of the caller's last job */
	} callers[64];
};

/* True if the job matches, or may start now. */
typedef int (*job_match_fn)(const struct job *, void *);

void queue_init(struct queue *, unsigned slots, unsigned limit);
void queue_resize(struct queue *, unsigned slots, unsigned limit);
int queue_add(struct queue *, struct job *, usec now, usec *retry);
struct job *queue_next(struct queue *, usec now, job_match_fn, void *);
struct job *queue_expired(struct queue *, usec now);
struct job *queue_remove(struct queue *, job_match_fn, void *);
void queue_done(struct queue *, const struct job *, usec took);
usec queue_expected_wait(const struct queue *, int is_long);

#endif
