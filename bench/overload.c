/*
 * One target's queue under load in virtual time: the queue of decide/ against
 * a plain FIFO of the same bound and against no bound at all.  Lookups of 2 ms
 * with 300 ms to live, a tenth of the work long (40 ms, 5 s to live).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "queue.h"
#include "result.h"

#define SLOTS 4
#define BOUND 64
#define RUN_US (20 * US_PER_SEC)
#define SHORT_US MS(2)
#define LONG_US MS(40)
#define SHORT_LIFE MS(300)
#define LONG_LIFE MS(5000)

enum policy { P_QUEUE, P_FIFO, P_NONE };
static const char *const names[] = {"queue", "fifo", "no bound"};

struct req {
	struct job job;
	usec cost;
	struct req *next;
};

struct slot {
	struct req *r;
	usec until;
};

struct tally {
	long came[2], good[2], refused[2], late[2];
	float *wait[2];
	usec refusal;
};

static int
any(const struct job *j, void *arg)
{
	return (1);
}

/* Orders latencies. */
static int
by_value(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x < y ? -1 : x > y);
}

/* Notes an ended request: good where it ended in time. */
static void
note(struct tally *t, struct req *r, usec now)
{
	int k = r->job.is_long;

	if (now <= r->job.deadline)
		t->wait[k][t->good[k]++] = (float)(now - r->job.arrived) / 1000;
	else
		t->late[k]++;
	free(r);
}

/* Runs one policy at a multiple of the capacity. */
static void
run(enum policy p, double load)
{
	struct slot slots[SLOTS] = {{0}};
	struct req *head = NULL, **tail = &head, *r;
	struct queue q;
	struct job *j;
	struct tally t = {0};
	usec now, next = 0, retry, mean, given_up = 0;
	long held = 0;
	int i, k;

	mean = (SHORT_US * 9 + LONG_US) / 10;
	queue_init(&q, SLOTS, BOUND);
	for (k = 0; k < 2; k++)
		t.wait[k] = calloc(1000000, sizeof(float));
	srandom(7);
	for (now = 0; now < RUN_US; now += 100) {
		for (i = 0; i < SLOTS; i++) {
			if (slots[i].r == NULL || slots[i].until > now)
				continue;
			if (p == P_QUEUE)
				queue_done(
				    &q, &slots[i].r->job, slots[i].r->cost);
			note(&t, slots[i].r, now);
			slots[i].r = NULL;
		}
		while (next <= now) {
			next += (usec)((double)mean / SLOTS / load *
			    (0.5 + (double)random() / RAND_MAX));
			r = calloc(1, sizeof(*r));
			k = random() % 10 == 0;
			r->cost = k ? LONG_US : SHORT_US;
			r->job.is_long = k;
			r->job.arrived = now;
			r->job.deadline = now + (k ? LONG_LIFE : SHORT_LIFE);
			r->job.caller = (uint64_t)(random() % 8) + 1;
			r->job.user_data = r;
			t.came[k]++;
			if (p == P_QUEUE &&
			    queue_add(&q, &r->job, now, &retry) != GS_OK) {
				t.refused[k]++;
				free(r);
			} else if (p == P_FIFO && held >= BOUND) {
				t.refused[k]++;
				free(r);
			} else if (p != P_QUEUE) {
				*tail = r;
				tail = &r->next;
				held++;
			}
		}
		while (p == P_QUEUE && (j = queue_expired(&q, now)) != NULL) {
			r = j->user_data;
			t.late[r->job.is_long]++;
			given_up++;
			free(r);
		}
		for (i = 0; i < SLOTS; i++) {
			if (slots[i].r != NULL)
				continue;
			if (p == P_QUEUE) {
				j = queue_next(&q, now, any, NULL);
				r = j == NULL ? NULL : j->user_data;
			} else if ((r = head) != NULL) {
				head = r->next;
				if (head == NULL)
					tail = &head;
				held--;
			}
			slots[i].r = r;
			slots[i].until = now + (r == NULL ? 0 : r->cost);
		}
	}
	printf("%-9s %.0fx:", names[p], load);
	for (k = 0; k < 2; k++) {
		qsort(t.wait[k], (size_t)t.good[k], sizeof(float), by_value);
		printf("  %s in time %.0f %%, refused %.0f %%, late %.0f %%, "
		       "p99 of served %.0f ms;",
		    k ? "long" : "short",
		    100.0 * (double)t.good[k] / (double)t.came[k],
		    100.0 * (double)t.refused[k] / (double)t.came[k],
		    100.0 * (double)t.late[k] / (double)t.came[k],
		    t.good[k] > 0 ? t.wait[k][t.good[k] * 99 / 100] : 0.0);
	}
	printf("  goodput %.0f %% of capacity\n",
	    100.0 * (double)(t.good[0] * SHORT_US + t.good[1] * LONG_US) /
		(double)(RUN_US * SLOTS));
	(void)given_up;
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
		for (p = P_QUEUE; p <= P_NONE; p++)
			run((enum policy)p, loads[i]);
	}
	return (0);
}
