/*
 * Simulates the balancing of one service: 240 shards on 15 targets, Zipf load
 * whose hot shards change every 60 s, one hour in steps of a second.  Compares
 * the algorithm of decide/ under both balance policies with plain hashing,
 * which never moves a shard, and with moving without tolerance or budget.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"

#define TARGETS 15
#define SLOTS 4
#define SHARDS 240
#define DURATION_S 3600
#define CHANGE_INTERVAL_S 60
#define BUSY_SLOTS 30.0 /* busy slots of all targets together, of 60 */
/*
 * Seconds that a shard is not served because of one move: one round of renewal,
 * for a move as in regress/scenario/drain.lua.
 */
#define MOVE_OUTAGE_S 0.05

struct policy {
	const char *name;
	double tolerance;
	double moves_per_s;
	double burst;
};

static const struct policy policies[] = {
    {"plain hashing", 1e9, 0, 0},
    {"no tolerance, no budget", 1.0, 1e9, 64},
    {"weigh imbalance", 1.15, 2.0, 16},
    {"weigh unavailable", 1.5, 0.25, 4},
};

static double load[SHARDS], smoothed[SHARDS];

/* Sets the true loads of the shards until the next change. */
static void
set_loads(double skew)
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
		load[i] = w[i] / sum * BUSY_SLOTS;
}

/* Sums up the load and the number of shards of each target. */
static void
sum_loads(struct place_target *t, const int *owner, const double *loads)
{
	int i;

	for (i = 0; i < TARGETS; i++)
		t[i] = (struct place_target){1, SLOTS, 0, 0};
	for (i = 0; i < SHARDS; i++) {
		t[owner[i]].load += loads[i];
		t[owner[i]].shards++;
	}
}

/* Simulates one policy at one skew and prints the result. */
static void
run(const struct policy *p, double skew)
{
	struct place_target t[TARGETS];
	struct place_move moves[64];
	uint8_t fixed[SHARDS] = {0};
	int owner[SHARDS], i, n, s, max_moves;
	double budget = 0, sum = 0, worst = 0, imbalance;
	long moved = 0;

	srandom(11);
	memset(smoothed, 0, sizeof(smoothed));
	for (i = 0; i < SHARDS; i++)
		owner[i] = i % TARGETS;
	for (s = 0; s < DURATION_S; s++) {
		if (s % CHANGE_INTERVAL_S == 0)
			set_loads(skew);
		for (i = 0; i < SHARDS; i++)
			smoothed[i] +=
			    (load[i] *
				    (0.9 + 0.2 * (double)random() / RAND_MAX) -
				smoothed[i]) *
			    0.3;
		sum_loads(t, owner, load);
		imbalance = place_imbalance(t, TARGETS);
		sum += imbalance;
		if (imbalance > worst)
			worst = imbalance;
		budget = fmin(budget + p->moves_per_s, p->burst);
		max_moves = (int)fmin(budget, 64);
		if (max_moves == 0)
			continue;
		sum_loads(t, owner, smoothed);
		n = place_balance(t, TARGETS, owner, smoothed, fixed, SHARDS,
		    p->tolerance, moves, max_moves);
		for (i = 0; i < n; i++)
			owner[moves[i].shard] = moves[i].to;
		budget -= n;
		moved += n;
	}
	printf("skew %.1f  %-24s imbalance mean %.2f worst %.2f  moves/min %.1f"
	       "  shard-s not served %.0f\n",
	    skew, p->name, sum / DURATION_S, worst,
	    (double)moved * 60 / DURATION_S, (double)moved * MOVE_OUTAGE_S);
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
