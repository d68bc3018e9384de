/* Tests a target's queue: bounds, deadlines, fairness, the reserved slot. */
#include <string.h>

#include "queue.h"
#include "result.h"
#include "unit.h"

static int
accept_any(const struct job *j, void *arg)
{
	return (1);
}

static int
not_shard(const struct job *j, void *arg)
{
	return (j->shard != *(int *)arg);
}

static struct job
make_job(uint64_t caller, usec deadline, int is_long)
{
	struct job j;

	memset(&j, 0, sizeof(j));
	j.caller = caller;
	j.deadline = deadline;
	j.is_long = is_long;
	return (j);
}

/* A full queue refuses a job on arrival, with a time to retry after. */
static void
bounded(void)
{
	struct queue q;
	struct job j[3] = {make_job(1, MS(9999), 0), make_job(1, MS(9999), 0),
	    make_job(1, MS(9999), 0)};
	usec retry;

	queue_init(&q, 1, 2);
	CU_ASSERT_EQUAL(queue_add(&q, &j[0], 0, &retry), GS_OK);
	CU_ASSERT_EQUAL(queue_add(&q, &j[1], 0, &retry), GS_OK);
	CU_ASSERT_EQUAL(queue_add(&q, &j[2], 0, &retry), GS_BUSY);
	CU_ASSERT(retry > 0);
}

/* A job that cannot start in time is refused at once, not at its deadline. */
static void
refuses_late_starts(void)
{
	struct queue q;
	struct job j[12];
	usec retry;
	int i;

	queue_init(&q, 1, 100);
	q.mean[0] = MS(100);
	for (i = 0; i < 10; i++) {
		j[i] = make_job(1, MS(99999), 0);
		CU_ASSERT_EQUAL(queue_add(&q, &j[i], 0, &retry), GS_OK);
	}
	j[10] = make_job(1, MS(500), 0);
	CU_ASSERT_EQUAL(queue_add(&q, &j[10], 0, &retry), GS_TOO_LATE);
	CU_ASSERT(retry >= MS(1000));
}

/* Long jobs never occupy the last slot. */
static void
reserves_a_slot(void)
{
	struct queue q;
	struct job l[3] = {make_job(1, MS(9999), 1), make_job(1, MS(9999), 1),
	    make_job(1, MS(9999), 1)};
	struct job s = make_job(2, MS(9999), 0);
	usec retry;
	int i;

	queue_init(&q, 2, 10);
	for (i = 0; i < 3; i++)
		queue_add(&q, &l[i], 0, &retry);
	queue_add(&q, &s, 0, &retry);
	CU_ASSERT_PTR_EQUAL(queue_next(&q, 0, accept_any, NULL), &s);
	CU_ASSERT_PTR_EQUAL(queue_next(&q, 0, accept_any, NULL), &l[0]);
	CU_ASSERT_PTR_NULL(queue_next(&q, 0, accept_any, NULL));
	queue_done(&q, &s, MS(1));
	CU_ASSERT_PTR_NULL(queue_next(&q, 0, accept_any, NULL));
	queue_done(&q, &l[0], MS(1));
	CU_ASSERT_PTR_EQUAL(queue_next(&q, 0, accept_any, NULL), &l[1]);
}

/* Waiting short and long jobs get half of the slot time each, in any order. */
static void
shares_slot_time(void)
{
	struct queue q;
	struct job l[20], s[200], *j;
	usec retry, used[2] = {0, 0};
	int i;

	queue_init(&q, 2, 1000);
	q.mean[0] = MS(1);
	q.mean[1] = MS(10);
	for (i = 0; i < 20; i++) {
		l[i] = make_job(1, MS(99999), 1);
		queue_add(&q, &l[i], 0, &retry);
	}
	for (i = 0; i < 200; i++) {
		s[i] = make_job(2, MS(99999), 0);
		queue_add(&q, &s[i], 0, &retry);
	}
	for (i = 0; i < 110; i++) {
		j = queue_next(&q, 0, accept_any, NULL);
		used[j->is_long] += j->is_long ? MS(10) : MS(1);
		queue_done(&q, j, 0);
	}
	CU_ASSERT(used[0] >= MS(90) && used[0] <= MS(110));
	CU_ASSERT(used[1] >= MS(90) && used[1] <= MS(110));
}

/* A job that would wait over a quarter of its time is refused at once. */
static void
limits_the_wait(void)
{
	struct queue q;
	struct job j[40];
	usec retry;
	int i, n = 0;

	queue_init(&q, 1, 1000);
	q.mean[0] = MS(10);
	for (i = 0; i < 40; i++) {
		j[i] = make_job(1, MS(400), 0);
		n += queue_add(&q, &j[i], 0, &retry) == GS_OK;
	}
	/* The first has a free slot; nine more of 10 ms fit into 100 ms. */
	CU_ASSERT(n >= 9 && n <= 11);
}

/* A caller's hundred jobs do not delay the first job of another caller. */
static void
fair_among_callers(void)
{
	struct queue q;
	struct job a[100], b = make_job(2, MS(9999), 0);
	usec retry;
	int i, first = -1;

	queue_init(&q, 1, 200);
	q.mean[0] = 1;
	for (i = 0; i < 100; i++) {
		a[i] = make_job(1, MS(9999), 0);
		queue_add(&q, &a[i], 0, &retry);
	}
	queue_add(&q, &b, 0, &retry);
	for (i = 0; i < 101 && first < 0; i++) {
		struct job *j = queue_next(&q, 0, accept_any, NULL);

		if (j == &b)
			first = i;
		queue_done(&q, j, 1);
	}
	CU_ASSERT(first >= 0 && first <= 2);
}

/* Jobs of a moving shard wait; later jobs of other shards overtake them. */
static void
jobs_of_moving_shards_wait(void)
{
	struct queue q;
	struct job a = make_job(1, MS(9999), 0), b = make_job(1, MS(9999), 0);
	int moving = 5;
	usec retry;

	queue_init(&q, 4, 10);
	a.shard = 5;
	b.shard = 6;
	queue_add(&q, &a, 0, &retry);
	queue_add(&q, &b, 0, &retry);
	CU_ASSERT_PTR_EQUAL(queue_next(&q, 0, not_shard, &moving), &b);
	CU_ASSERT_PTR_NULL(queue_next(&q, 0, not_shard, &moving));
	CU_ASSERT_PTR_EQUAL(queue_next(&q, 0, accept_any, NULL), &a);
}

/* A job past its deadline never starts and is returned as expired. */
static void
expired_jobs_do_not_start(void)
{
	struct queue q;
	struct job a = make_job(1, MS(100), 0);
	usec retry;

	queue_init(&q, 4, 10);
	queue_add(&q, &a, 0, &retry);
	CU_ASSERT_PTR_NULL(queue_expired(&q, MS(99)));
	CU_ASSERT_PTR_NULL(queue_next(&q, MS(100), accept_any, NULL));
	CU_ASSERT_PTR_EQUAL(queue_expired(&q, MS(100)), &a);
	CU_ASSERT_EQUAL(q.count, 0);
}

static const struct unit_test tests[] = {
    {"bounded", bounded},
    {"refuses late starts", refuses_late_starts},
    {"reserves a slot", reserves_a_slot},
    {"shares slot time", shares_slot_time},
    {"limits the wait", limits_the_wait},
    {"fair among callers", fair_among_callers},
    {"jobs of moving shards wait", jobs_of_moving_shards_wait},
    {"expired jobs do not start", expired_jobs_do_not_start},
};
UNIT_MAIN("queue", tests)
