/*
 * Balance of one service in virtual time: 240 shards on 15 targets, Zipf load
 * whose hot shards change every 60 s, an hour in steps of a second.  The
 * policy of decide/ with each weighing, against plain hashing (never move)
 * and against moving without a tolerance or a budget.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"

#define TARGETS 15
#define SLOTS 4
#define SHARDS 240
#define SECONDS 3600
#define CHANGE 60
#define BUSY 30.0 /* slots busy in all, of 60 */
/* What one move keeps a shard from being served, in seconds: measured by
 * regress/scenario/drain.lua's kind of move, one round of renewal. */
#define MOVE_COST 0.05

struct policy {
	const char *name;
	double tolerance;
	double per_second;
	double burst;
};

static const struct policy policies[] = {
    {"plain hashing", 1e9, 0, 0},
    {"no tolerance, no budget", 1.0, 1e9, 64},
    {"weigh imbalance", 1.15, 2.0, 16},
    {"weigh unavailable", 1.5, 0.25, 4},
};

static double load[SHARDS], smooth[SHARDS];

/* Gives the shards their true loads for a while. */
static void
heat(double skew)
{
	double w[SHARDS], sum = 0;
	int rank[SHARDS], i, k, x;

	for (i = 0; i < SHARDS; i++)
		rank[i] = i;
	for (i = SHARDS - 1; i > 0; i--) {
		k = (int)(random() % (i + 1));
		x = rank[i];
		rank[i] = rank[k];
		rank[k] = x;
	}
	for (i = 0; i < SHARDS; i++) {
		w[i] = 1 / pow(rank[i] + 1, skew);
		sum += w[i];
	}
	for (i = 0; i < SHARDS; i++)
		load[i] = w[i] / sum * BUSY;
}

/* Sums the targets' loads from the shards'. */
static void
fill(struct place_target *t, const int *owner, const double *of)
{
	int i;

	for (i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){1, SLOTS, 0, 0};
	for (i = 0; i < SHARDS; i++) {
		t[owner[i]].load += of[i];
		t[owner[i]].shards++;
	}
}

/* Runs one policy at one skew. */
static void
run(const struct policy *p, double skew)
{
	struct place_target t[TARGETS];
	struct place_move moves[64];
	uint8_t fixed[SHARDS] = {0};
	int owner[SHARDS], i, n, s, room;
	double budget = 0, sum = 0, worst = 0, now;
	long moved = 0;

	srandom(11);
	memset(smooth, 0, sizeof(smooth));
	for (i = 0; i < SHARDS; i++)
		owner[i] = i % TARGETS;
	for (s = 0; s < SECONDS; s++) {
		if (s % CHANGE == 0)
			heat(skew);
		for (i = 0; i < SHARDS; i++)
			smooth[i] +=
			    (load[i] *
				    (0.9 + 0.2 * (double)random() / RAND_MAX) -
				smooth[i]) *
			    0.3;
		fill(t, owner, load);
		now = place_imbalance(t, TARGETS);
		sum += now;
		if (now > worst)
			worst = now;
		budget = fmin(budget + p->per_second, p->burst);
		room = (int)fmin(budget, 64);
		if (room == 0)
			continue;
		fill(t, owner, smooth);
		n = place_balance(t, TARGETS, owner, smooth, fixed, SHARDS,
		    p->tolerance, moves, room);
		for (i = 0; i < n; i++)
			owner[moves[i].shard] = moves[i].to;
		budget -= n;
		moved += n;
	}
	printf("skew %.1f  %-24s imbalance mean %.2f worst %.2f  moves/min %.1f"
	       "  shard-s not served %.0f\n",
	    skew, p->name, sum / SECONDS, worst, (double)moved * 60 / SECONDS,
	    (double)moved * MOVE_COST);
}

int
main(void)
{
	static const double skews[] = {0, 0.6, 0.9};
	size_t i, k;

	for (i = 0; i < sizeof(skews) / sizeof(skews[0]); i++) {
		for (k = 0; k < sizeof(policies) / sizeof(policies[0]); k++)
			run(&policies[k], skews[i]);
	}
	return (0);
}
