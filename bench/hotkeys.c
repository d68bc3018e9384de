/*
 * Compares splitting hot keys out of their shards with having more shards.
 * Simulates one service with Zipf load over keys, whose hottest 23 keys change
 * every two minutes.  Splitting is simulated at its best: the hot keys are
 * known at once, and each moves as a shard of its own.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"
#include "shard.h"

#define KEYS 200000
#define HOT_KEYS 23
#define SHARDS_MAX 4096
#define TARGETS_MAX 25
#define SLOTS 4
#define DURATION_S 1800
#define CHANGE_INTERVAL_S 120
#define SETTLE_TIME_S 30 /* seconds after a change, for the second mean */
#define UTILISATION 0.5
#define TOLERANCE 1.15
#define MOVES_PER_S 2.0
#define BURST 16

static uint32_t key_shard[KEYS];
static double weight[KEYS], cold_load[SHARDS_MAX];
static double load[SHARDS_MAX + HOT_KEYS], smoothed[SHARDS_MAX + HOT_KEYS];
static int owner[SHARDS_MAX + HOT_KEYS], hot_keys[HOT_KEYS];
static struct place_target t[TARGETS_MAX];

/* Sets the load of each rank, and of each shard without the hottest ranks. */
static void
hash_keys(int shards, double skew, double busy)
{
	char key[32];
	double sum = 0;
	int i, n;

	memset(cold_load, 0, sizeof(cold_load));
	for (i = 0; i < KEYS; i++)
		sum += weight[i] = 1 / pow(i + 1, skew);
	for (i = 0; i < KEYS; i++) {
		weight[i] *= busy / sum;
		n = snprintf(key, sizeof(key), "key-%d", i);
		key_shard[i] =
		    shard_of("lookup", key, (size_t)n, (uint32_t)shards);
		if (i >= HOT_KEYS)
			cold_load[key_shard[i]] += weight[i];
	}
}

/* Chooses other keys as the hottest; if split, each is a shard of its own. */
static void
change_hot_keys(int shards, int split)
{
	int i;

	memcpy(load, cold_load, sizeof(cold_load));
	for (i = 0; i < HOT_KEYS; i++) {
		hot_keys[i] = (int)(random() % KEYS);
		if (!split) {
			load[key_shard[hot_keys[i]]] += weight[i];
			continue;
		}
		load[shards + i] = weight[i];
		smoothed[shards + i] = weight[i];
		owner[shards + i] = owner[key_shard[hot_keys[i]]];
	}
}

/* Sums up the load and the number of shards of each target. */
static void
sum_loads(int targets, int n, const double *loads)
{
	int i;

	for (i = 0; i < targets; i++)
		t[i] = (struct place_target){1, SLOTS, 0, 0};
	for (i = 0; i < n; i++) {
		t[owner[i]].load += loads[i];
		t[owner[i]].shards++;
	}
}

/* Balances as the controller does in a second; returns the number of moves. */
static int
balance_once(int targets, int n, double *budget)
{
	static uint8_t fixed[SHARDS_MAX + HOT_KEYS];
	struct place_move moves[BURST];
	int i, k;

	*budget = fmin(*budget + MOVES_PER_S, BURST);
	sum_loads(targets, n, smoothed);
	k = place_balance(t, targets, owner, smoothed, fixed, (uint32_t)n,
	    TOLERANCE, moves, (int)*budget);
	for (i = 0; i < k; i++)
		owner[moves[i].shard] = moves[i].to;
	*budget -= k;
	return (k);
}

/* Simulates one variant and prints the result. */
static void
run(int targets, double skew, int shards, int split)
{
	int i, s, n = shards + (split ? HOT_KEYS : 0);
	double sum = 0, settled = 0, budget = 0, imbalance;
	long moved = 0, nsettled = 0;

	srandom(7);
	hash_keys(shards, skew, UTILISATION * targets * SLOTS);
	for (i = 0; i < n; i++) {
		owner[i] = i % targets;
		smoothed[i] = 0;
	}
	for (s = 0; s < DURATION_S; s++) {
		if (s % CHANGE_INTERVAL_S == 0)
			change_hot_keys(shards, split);
		for (i = 0; i < n; i++)
			smoothed[i] += (load[i] - smoothed[i]) * 0.3;
		moved += balance_once(targets, n, &budget);
		sum_loads(targets, n, load);
		imbalance = place_imbalance(t, targets);
		sum += imbalance;
		if (s % CHANGE_INTERVAL_S >= SETTLE_TIME_S) {
			settled += imbalance;
			nsettled++;
		}
	}
	printf("targets %2d skew %.2f shards %4d%s  imbalance mean %.2f, "
	       "30 s after a change %.2f  moves/min %.1f\n",
	    targets, skew, shards, split ? " + 23 split" : "           ",
	    sum / DURATION_S, settled / (double)nsettled,
	    (double)moved * 60 / DURATION_S);
}

int
main(void)
{
	static const int sizes[] = {64, 240, 960, 3840};
	static const int targets[] = {15, 25};
	static const double skews[] = {0.8, 0.9, 0.99};
	size_t i, k, m;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < 3; k++) {
			for (m = 0; m < 4; m++) {
				run(targets[i], skews[k], sizes[m], 0);
				if (sizes[m] <= 240)
					run(targets[i], skews[k], sizes[m], 1);
			}
		}
	}
	return (0);
}
