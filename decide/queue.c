#include <string.h>

#include "queue.h"
#include "result.h"

/* Inverse weight of a new sample in the smoothed run time. */
#define MEAN_DIVISOR 8
#define INITIAL_MEAN MS(5)
#define RETRY_MIN MS(50)
/* A job may wait for 1 / WAIT_DIVISOR of the time to its deadline. */
#define WAIT_DIVISOR 4

/* Initializes the queue of a target with `slots` slots, for `limit` jobs. */
void
queue_init(struct queue *q, unsigned slots, unsigned limit)
{
	memset(q, 0, sizeof(*q));
	queue_resize(q, slots, limit);
	q->mean[0] = INITIAL_MEAN;
	q->mean[1] = INITIAL_MEAN;
}

/* Changes the bounds; jobs that run or wait already are not affected. */
void
queue_resize(struct queue *q, unsigned slots, unsigned limit)
{
	q->slots = slots;
	q->limit = limit;
	/*
	 * Long jobs may not use the last slot: if exports occupied all slots,
	 * a lookup of a millisecond would wait for seconds.
	 */
	q->long_max = slots > 1 ? slots - 1 : 1;
}

/*
 * Returns how long a short or long job that arrives now is expected to wait
 * for a slot: the waiting work of its kind, divided by the slots it gets.
 */
usec
queue_expected_wait(const struct queue *q, int is_long)
{
	int k = is_long != 0;
	unsigned slots = k ? q->long_max : q->slots;
	usec work;

	if (q->busy < q->slots && q->waiting[k] == 0)
		return (0);
	work = q->mean[k] * (usec)(q->waiting[k] + 1);
	/* The other kind gets half of the slot time while it has jobs. */
	if (q->waiting[!k] > 0 || q->busy_long > 0)
		work *= 2;
	return (work / (usec)slots);
}

/*
 * Returns the tag of a caller's next job.  The tags of a caller's jobs are one
 * apart, so a caller with a thousand jobs does not delay other callers' jobs
 * until after all of its own.
 */
static uint64_t
next_tag(struct queue *q, uint64_t caller)
{
	size_t i, oldest = 0;

	for (i = 0; i < 64; i++) {
		if (q->callers[i].caller == caller)
			break;
		if (q->callers[i].last_tag < q->callers[oldest].last_tag)
			oldest = i;
	}
	if (i == 64) {
		i = oldest;
		q->callers[i].caller = caller;
		q->callers[i].last_tag = 0;
	}
	if (q->callers[i].last_tag < q->virtual_time)
		q->callers[i].last_tag = q->virtual_time;
	return (++q->callers[i].last_tag);
}

/*
 * Adds a job and returns GS_OK, or refuses it with another result code; *retry
 * is the time after which to retry.  The queue links the job but does not own
 * it.  A job that would wait for too much of the time to its deadline is
 * refused on arrival: otherwise, under overload, all jobs would be served just
 * before their deadlines, and those with too low an estimate after them.
 */
int
queue_add(struct queue *q, struct job *j, usec now, usec *retry)
{
	struct job **at;
	usec wait;
	int k = j->is_long != 0;

	wait = queue_expected_wait(q, k);
	*retry = wait > RETRY_MIN ? wait : RETRY_MIN;
	if (q->count >= q->limit)
		return (GS_BUSY);
	if (wait > 0 && wait >= (j->deadline - now) / WAIT_DIVISOR)
		return (GS_TOO_LATE);
	j->arrived = now;
	j->tag = next_tag(q, j->caller);
	for (at = &q->head[k]; *at != NULL && (*at)->tag <= j->tag;
	     at = &(*at)->next)
		;
	j->next = *at;
	*at = j;
	q->count++;
	/* A kind that had no jobs is not credited for unused time. */
	if (q->waiting[k]++ == 0 && q->used_time[k] < q->used_time[!k])
		q->used_time[k] = q->used_time[!k];
	return (GS_OK);
}

/* Unlinks and returns the job at `at`. */
static struct job *
unlink_job(struct queue *q, struct job **at)
{
	struct job *j = *at;

	*at = j->next;
	j->next = NULL;
	q->count--;
	q->waiting[j->is_long != 0]--;
	return (j);
}

/* Removes and returns the first matching short or long job, or NULL. */
static struct job *
remove_first(struct queue *q, int k, job_match_fn match, void *arg)
{
	struct job **at;

	for (at = &q->head[k]; *at != NULL; at = &(*at)->next) {
		if (match(*at, arg))
			return (unlink_job(q, at));
	}
	return (NULL);
}

/* Argument of may_start(). */
struct startable {
	usec now;
	job_match_fn ok;
	void *arg;
};

/* True if a job's deadline has not passed and the caller's check allows it. */
static int
may_start(const struct job *j, void *arg)
{
	const struct startable *s = arg;

	return (j->deadline > s->now && s->ok(j, s->arg));
}

/*
 * Removes and returns the next job that may start, and occupies a slot for it;
 * NULL if there is none.  `ok` is false for jobs that must wait, such as those
 * of a moving shard.
 */
struct job *
queue_next(struct queue *q, usec now, job_match_fn ok, void *arg)
{
	struct startable s = {now, ok, arg};
	struct job *j = NULL;
	int first, i, k;

	if (q->busy >= q->slots)
		return (NULL);
	first = q->used_time[1] < q->used_time[0];
	for (i = 0; i < 2 && j == NULL; i++) {
		k = i == 0 ? first : !first;
		if (k == 0 || q->busy_long < q->long_max)
			j = remove_first(q, k, may_start, &s);
	}
	if (j == NULL)
		return (NULL);
	k = j->is_long != 0;
	q->virtual_time = j->tag;
	q->used_time[k] += q->mean[k];
	q->busy++;
	q->busy_long += (unsigned)k;
	return (j);
}

/* True if a job's deadline has passed. */
static int
is_expired(const struct job *j, void *arg)
{
	return (j->deadline <= *(usec *)arg);
}

/* Removes and returns a job whose deadline has passed, or NULL. */
struct job *
queue_expired(struct queue *q, usec now)
{
	return (queue_remove(q, is_expired, &now));
}

/* Removes and returns the first matching job, short jobs first, or NULL. */
struct job *
queue_remove(struct queue *q, job_match_fn match, void *arg)
{
	struct job *j;

	j = remove_first(q, 0, match, arg);
	return (j != NULL ? j : remove_first(q, 1, match, arg));
}

/* Frees a job's slot; took is its run time, or 0 if it did not run. */
void
queue_done(struct queue *q, const struct job *j, usec took)
{
	usec *mean = &q->mean[j->is_long != 0];

	q->busy--;
	if (j->is_long)
		q->busy_long--;
	if (took > 0)
		*mean += (took - *mean) / MEAN_DIVISOR;
}
