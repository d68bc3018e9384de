#include <string.h>

#include "queue.h"
#include "result.h"

/* Weight of one new sample in the mean run time, as 1 / MEAN_PART. */
#define MEAN_PART 8
#define FIRST_MEAN MS(5)
#define RETRY_MIN MS(50)

/* Makes a queue for a target of `slots`, holding `limit` jobs at most. */
void
queue_init(struct queue *q, unsigned slots, unsigned limit)
{
	memset(q, 0, sizeof(*q));
	queue_resize(q, slots, limit);
	q->mean[0] = FIRST_MEAN;
	q->mean[1] = FIRST_MEAN;
}

/* Changes the bounds; what runs or waits already stays. */
void
queue_resize(struct queue *q, unsigned slots, unsigned limit)
{
	q->slots = slots;
	q->limit = limit;
	/*
	 * Long exports may not fill the last slot: with all slots under
	 * exports, a lookup of a millisecond waits for seconds.
	 */
	q->long_max = slots > 1 ? slots - 1 : 1;
}

/* How long a job that arrives now is expected to wait for a slot. */
usec
queue_wait(const struct queue *q)
{
	usec mean = q->mean[0] > q->mean[1] && q->busy_long > 0 ? q->mean[1]
								: q->mean[0];

	if (q->busy < q->slots && q->count == 0)
		return (0);
	return (mean * (usec)(q->count + 1) / (usec)q->slots);
}

/*
 * The fairness tag of a job: the caller's jobs are spaced one apart, so a
 * caller that asks a thousand times does not push others to the end.
 */
static uint64_t
tag_of(struct queue *q, uint64_t caller)
{
	size_t i, oldest = 0;

	for (i = 0; i < 64; i++) {
		if (q->callers[i].caller == caller)
			break;
		if (q->callers[i].last < q->callers[oldest].last)
			oldest = i;
	}
	if (i == 64) {
		i = oldest;
		q->callers[i].caller = caller;
		q->callers[i].last = 0;
	}
	if (q->callers[i].last < q->vtime)
		q->callers[i].last = q->vtime;
	return (++q->callers[i].last);
}

/*
 * Takes a job in, or refuses it at once with the code and, in *retry, when to
 * come back.  A job that cannot start before its deadline is refused on
 * arrival: letting it wait only to fail would hold its caller for nothing.
 */
int
queue_add(struct queue *q, struct job *j, usec now, usec *retry)
{
	struct job **at;
	usec wait;

	wait = queue_wait(q);
	*retry = wait > RETRY_MIN ? wait : RETRY_MIN;
	if (q->count >= q->limit)
		return (GS_BUSY);
	if (now + wait >= j->deadline)
		return (GS_TOO_LATE);
	j->arrived = now;
	j->tag = tag_of(q, j->caller);
	for (at = &q->head; *at != NULL && (*at)->tag <= j->tag;
	     at = &(*at)->next)
		;
	j->next = *at;
	*at = j;
	q->count++;
	return (GS_OK);
}

/* Unlinks the job at `at`. */
static struct job *
unlink_job(struct queue *q, struct job **at)
{
	struct job *j = *at;

	*at = j->next;
	j->next = NULL;
	q->count--;
	return (j);
}

/*
 * Takes out the next job that may start, counting its slot, or NULL.  `ok`
 * holds back jobs of shards that are on their way to another target.
 */
struct job *
queue_next(struct queue *q, usec now, job_ok_fn ok, void *arg)
{
	struct job **at, *j;

	if (q->busy >= q->slots)
		return (NULL);
	for (at = &q->head; *at != NULL; at = &(*at)->next) {
		j = *at;
		if (j->is_long && q->busy_long >= q->long_max)
			continue;
		if (j->deadline <= now || !ok(j, arg))
			continue;
		unlink_job(q, at);
		q->vtime = j->tag;
		q->busy++;
		if (j->is_long)
			q->busy_long++;
		return (j);
	}
	return (NULL);
}

/* Takes out a job whose deadline has passed, or NULL. */
struct job *
queue_late(struct queue *q, usec now)
{
	struct job **at;

	for (at = &q->head; *at != NULL; at = &(*at)->next) {
		if ((*at)->deadline <= now)
			return (unlink_job(q, at));
	}
	return (NULL);
}

/* Takes out the first job that `is` names, or NULL. */
struct job *
queue_pull(struct queue *q, job_ok_fn is, void *arg)
{
	struct job **at;

	for (at = &q->head; *at != NULL; at = &(*at)->next) {
		if (is(*at, arg))
			return (unlink_job(q, at));
	}
	return (NULL);
}

/* Gives a job's slot back; took is its run time, or 0 where it did not run. */
void
queue_done(struct queue *q, const struct job *j, usec took)
{
	usec *mean = &q->mean[j->is_long != 0];

	q->busy--;
	if (j->is_long)
		q->busy_long--;
	if (took > 0)
		*mean += (took - *mean) / MEAN_PART;
}
