#include <string.h>

#include "queue.h"
#include "result.h"

/* Weight of one new sample in the mean run time, as 1 / MEAN_PART. */
#define MEAN_PART 8
#define FIRST_MEAN MS(5)
#define RETRY_MIN MS(50)
/* A job may wait for one part in so many of its time. */
#define WAIT_PART 4

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

/*
 * How long a job of a kind that arrives now is expected to wait for a slot:
 * the work of its kind that waits, over the share of the slots it gets.
 */
usec
queue_wait(const struct queue *q, int is_long)
{
	int k = is_long != 0;
	unsigned slots = k ? q->long_max : q->slots;
	usec work;

	if (q->busy < q->slots && q->waiting[k] == 0)
		return (0);
	work = q->mean[k] * (usec)(q->waiting[k] + 1);
	/* Half the slot time goes to the other kind while that waits. */
	if (q->waiting[!k] > 0 || q->busy_long > 0)
		work *= 2;
	return (work / (usec)slots);
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
 * come back.  A job that would wait for more than a share of its time is
 * refused on arrival: under overload all that is served would otherwise be
 * served just before its deadline, and what is misjudged after it.
 */
int
queue_add(struct queue *q, struct job *j, usec now, usec *retry)
{
	struct job **at;
	usec wait;
	int k = j->is_long != 0;

	wait = queue_wait(q, k);
	*retry = wait > RETRY_MIN ? wait : RETRY_MIN;
	if (q->count >= q->limit)
		return (GS_BUSY);
	if (wait > 0 && wait >= (j->deadline - now) / WAIT_PART)
		return (GS_TOO_LATE);
	j->arrived = now;
	j->tag = tag_of(q, j->caller);
	for (at = &q->head[k]; *at != NULL && (*at)->tag <= j->tag;
	     at = &(*at)->next)
		;
	j->next = *at;
	*at = j;
	q->count++;
	/* A kind that was idle does not get the time it left unused. */
	if (q->waiting[k]++ == 0 && q->used[k] < q->used[!k])
		q->used[k] = q->used[!k];
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
	q->waiting[j->is_long != 0]--;
	return (j);
}

/* Takes the first job of a kind that `is` names, or NULL. */
static struct job *
pull_kind(struct queue *q, int k, job_ok_fn is, void *arg)
{
	struct job **at;

	for (at = &q->head[k]; *at != NULL; at = &(*at)->next) {
		if (is(*at, arg))
			return (unlink_job(q, at));
	}
	return (NULL);
}

/* What queue_next passes through pull_kind. */
struct startable {
	usec now;
	job_ok_fn ok;
	void *arg;
};

/* True where a job may start now. */
static int
may_start(const struct job *j, void *arg)
{
	const struct startable *s = arg;

	return (j->deadline > s->now && s->ok(j, s->arg));
}

/*
 * Takes out the next job that may start, counting its slot, or NULL.  `ok`
 * holds back jobs of shards that are on their way to another target.
 */
struct job *
queue_next(struct queue *q, usec now, job_ok_fn ok, void *arg)
{
	struct startable s = {now, ok, arg};
	struct job *j = NULL;
	int first, i, k;

	if (q->busy >= q->slots)
		return (NULL);
	first = q->used[1] < q->used[0];
	for (i = 0; i < 2 && j == NULL; i++) {
		k = i == 0 ? first : !first;
		if (k == 0 || q->busy_long < q->long_max)
			j = pull_kind(q, k, may_start, &s);
	}
	if (j == NULL)
		return (NULL);
	k = j->is_long != 0;
	q->vtime = j->tag;
	q->used[k] += q->mean[k];
	q->busy++;
	q->busy_long += (unsigned)k;
	return (j);
}

/* True where a job's deadline has passed. */
static int
is_late(const struct job *j, void *arg)
{
	return (j->deadline <= *(usec *)arg);
}

/* Takes out a job whose deadline has passed, or NULL. */
struct job *
queue_late(struct queue *q, usec now)
{
	return (queue_pull(q, is_late, &now));
}

/* Takes out the first job that `is` names, or NULL. */
struct job *
queue_pull(struct queue *q, job_ok_fn is, void *arg)
{
	struct job *j;

	j = pull_kind(q, 0, is, arg);
	return (j != NULL ? j : pull_kind(q, 1, is, arg));
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
