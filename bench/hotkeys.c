/*
 * Whether to split hot keys out of their shards, or to have more shards.  One
 * service in virtual time, Zipf load over keys; the hottest 23 keys are others
 * every two minutes.  "Split out" is as good as it can be: the hot keys are
 * known at once, and each moves as a shard of its own.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"
#include "shard.h"

#define KEYS 200000
#define HOT 23
#define SHARDS_MAX 4096
#define TARGETS_MAX 25
#define SLOTS 4
#define SECONDS 1800
#define CHANGE 120
#define SETTLED 30 /* seconds after a change, for the second figure */
#define FULLNESS 0.5
#define TOLERANCE 1.15
#define MOVES_PER_S 2.0
#define BURST 16

static uint32_t home[KEYS];
static double weight[KEYS], cold[SHARDS_MAX];
static double load[SHARDS_MAX + HOT], smooth[SHARDS_MAX + HOT];
static int owner[SHARDS_MAX + HOT], hot[HOT];
static struct place_target t[TARGETS_MAX];

/* Spreads all keys but the hottest ranks over the shards. */
static void
spread(int shards, double skew, double busy)
{
	char key[32];
	double sum = 0;
	int i, n;

	memset(cold, 0, sizeof(cold));
	for (i = 0; i < KEYS; i++)
		sum += weight[i] = 1 / pow(i + 1, skew);
	for (i = 0; i < KEYS; i++) {
		weight[i] *= busy / sum;
		n = snprintf(key, sizeof(key), "key-%d", i);
		home[i] = shard_of("lookup", key, (size_t)n, (uint32_t)shards);
		if (i >= HOT)
			cold[home[i]] += weight[i];
	}
}

/* Makes other keys the hottest; where split, each is a shard of its own. */
static void
heat(int shards, int split)
{
	int i;

	memcpy(load, cold, sizeof(cold));
	for (i = 0; i < HOT; i++) {
		hot[i] = (int)(random() % KEYS);
		if (!split) {
			load[home[hot[i]]] += weight[i];
			continue;
		}
		load[shards + i] = weight[i];
		smooth[shards + i] = weight[i];
		owner[shards + i] = owner[home[hot[i]]];
	}
}

/* Sums the targets' loads from the shards'. */
static void
fill(int targets, int n, const double *of)
{
	int i;

	for (i = 0; i < targets; i++)
		t[i] = (struct place_target){1, SLOTS, 0, 0};
	for (i = 0; i < n; i++) {
		t[owner[i]].load += of[i];
		t[owner[i]].shards++;
	}
}

/* One second of the controller's balancing. */
static int
balance(int targets, int n, double *budget)
{
	static uint8_t fixed[SHARDS_MAX + HOT];
	struct place_move moves[BURST];
	int i, k;

	*budget = fmin(*budget + MOVES_PER_S, BURST);
	fill(targets, n, smooth);
	k = place_balance(t, targets, owner, smooth, fixed, (uint32_t)n,
	    TOLERANCE, moves, (int)*budget);
	for (i = 0; i < k; i++)
		owner[moves[i].shard] = moves[i].to;
	*budget -= k;
	return (k);
}

/* Runs one choice, and prints what it came to. */
static void
run(int targets, double skew, int shards, int split)
{
	int i, s, n = shards + (split ? HOT : 0);
	double sum = 0, settled = 0, budget = 0, now;
	long moved = 0, late = 0;

	srandom(7);
	spread(shards, skew, FULLNESS * targets * SLOTS);
	for (i = 0; i < n; i++) {
		owner[i] = i % targets;
		smooth[i] = 0;
	}
	for (s = 0; s < SECONDS; s++) {
		if (s % CHANGE == 0)
			heat(shards, split);
		for (i = 0; i < n; i++)
			smooth[i] += (load[i] - smooth[i]) * 0.3;
		moved += balance(targets, n, &budget);
		fill(targets, n, load);
		now = place_imbalance(t, targets);
		sum += now;
		if (s % CHANGE >= SETTLED) {
			settled += now;
			late++;
		}
	}
	printf("targets %2d skew %.2f shards %4d%s  imbalance mean %.2f, "
	       "30 s after a change %.2f  moves/min %.1f\n",
	    targets, skew, shards, split ? " + 23 split" : "           ",
	    sum / SECONDS, settled / (double)late,
	    (double)moved * 60 / SECONDS);
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
