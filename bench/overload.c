/*
 * Simulates the queue of one target under overload: the queue of decide/, a
 * plain FIFO with the same bound, and a FIFO without a bound.  Nine of ten
 * requests are lookups that take 2 ms and have a deadline of 300 ms; the others
 * take 40 ms and have a deadline of 5 s.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "queue.h"
#include "result.h"

#define SLOTS 4
#define QUEUE_LIMIT 64
#define DURATION (20 * US_PER_SEC)
#define SHORT_WORK MS(2)
#define LONG_WORK MS(40)
#define SHORT_DEADLINE MS(300)
#define LONG_DEADLINE MS(5000)

enum policy { POLICY_QUEUE, POLICY_FIFO, POLICY_UNBOUNDED };
static const char *const names[] = {"queue", "fifo", "no bound"};

struct req {
	struct job job;
	usec work;
	struct req *next;
};

struct slot {
	struct req *r;
	usec until;
};

struct stats {
	long arrivals[2], in_time[2], refused[2], late[2];
	float *wait[2];
	usec refusal;
};

static int
accept_any(const struct job *j, void *arg)
{
	return (1);
}

/* Compares two waiting times, for qsort. */
static int
compare_waits(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x < y ? -1 : x > y);
}

/* Counts a finished request as in time or late, and frees it. */
static void
record_result(struct stats *t, struct req *r, usec now)
{
	int k = r->job.is_long;

	if (now <= r->job.deadline)
		t->wait[k][t->in_time[k]++] =
		    (float)(now - r->job.arrived) / 1000;
	else
		t->late[k]++;
	free(r);
}

/* Simulates one policy at a multiple of the capacity and prints the result. */
static void
run(enum policy p, double load)
{
	struct slot slots[SLOTS] = {{0}};
	struct req *head = NULL, **tail = &head, *r;
	struct queue q;
	struct job *j;
	struct stats t = {0};
	usec now, next = 0, retry, mean, nexpired = 0;
	long fifo_len = 0;
	int i, k;

	mean = (SHORT_WORK * 9 + LONG_WORK) / 10;
	queue_init(&q, SLOTS, QUEUE_LIMIT);
	for (k = 0; k < 2; k++)
		t.wait[k] = calloc(1000000, sizeof(float));
	srandom(7);
	for (now = 0; now < DURATION; now += 100) {
		for (i = 0; i < SLOTS; i++) {
			if (slots[i].r == NULL || slots[i].until > now)
				continue;
			if (p == POLICY_QUEUE)
				queue_done(
				    &q, &slots[i].r->job, slots[i].r->work);
			record_result(&t, slots[i].r, now);
			slots[i].r = NULL;
		}
		while (next <= now) {
			next += (usec)((double)mean / SLOTS / load *
			    (0.5 + (double)random() / RAND_MAX));
			r = calloc(1, sizeof(*r));
			k = random() % 10 == 0;
			r->work = k ? LONG_WORK : SHORT_WORK;
			r->job.is_long = k;
			r->job.arrived = now;
			r->job.deadline =
			    now + (k ? LONG_DEADLINE : SHORT_DEADLINE);
			r->job.caller = (uint64_t)(random() % 8) + 1;
			r->job.user_data = r;
			t.arrivals[k]++;
			if (p == POLICY_QUEUE &&
			    queue_add(&q, &r->job, now, &retry) != GS_OK) {
				t.refused[k]++;
				free(r);
			} else if (p == POLICY_FIFO &&
			    fifo_len >= QUEUE_LIMIT) {
				t.refused[k]++;
				free(r);
			} else if (p != POLICY_QUEUE) {
				*tail = r;
				tail = &r->next;
				fifo_len++;
			}
		}
		while (
		    p == POLICY_QUEUE && (j = queue_expired(&q, now)) != NULL) {
			r = j->user_data;
			t.late[r->job.is_long]++;
			nexpired++;
			free(r);
		}
		for (i = 0; i < SLOTS; i++) {
			if (slots[i].r != NULL)
				continue;
			if (p == POLICY_QUEUE) {
				j = queue_next(&q, now, accept_any, NULL);
				r = j == NULL ? NULL : j->user_data;
			} else if ((r = head) != NULL) {
				head = r->next;
				if (head == NULL)
					tail = &head;
				fifo_len--;
			}
			slots[i].r = r;
			slots[i].until = now + (r == NULL ? 0 : r->work);
		}
	}
	printf("%-9s %.0fx:", names[p], load);
	for (k = 0; k < 2; k++) {
		qsort(t.wait[k], (size_t)t.in_time[k], sizeof(float),
		    compare_waits);
		printf("  %s in time %.0f %%, refused %.0f %%, late %.0f %%, "
		       "p99 of served %.0f ms;",
		    k ? "long" : "short",
		    100.0 * (double)t.in_time[k] / (double)t.arrivals[k],
		    100.0 * (double)t.refused[k] / (double)t.arrivals[k],
		    100.0 * (double)t.late[k] / (double)t.arrivals[k],
		    t.in_time[k] > 0 ? t.wait[k][t.in_time[k] * 99 / 100]
				     : 0.0);
	}
	printf("  goodput %.0f %% of capacity\n",
	    100.0 *
		(double)(t.in_time[0] * SHORT_WORK + t.in_time[1] * LONG_WORK) /
		(double)(DURATION * SLOTS));
	(void)nexpired;
	for (k = 0; k < 2; k++)
		free(t.wait[k]);
}

int
main(void)
{
	static const double loads[] = {0.8, 2, 5};
	size_t i;
	int p;

	for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		for (p = POLICY_QUEUE; p <= POLICY_UNBOUNDED; p++)
			run((enum policy)p, loads[i]);
	}
	return (0);
}
