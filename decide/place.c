#include "place.h"

/* What holding an idle shard counts for, in busy slots: a tie-breaker. */
#define IDLE_SHARD 0.0005
/* A target less full than this needs no relief, whatever the others are. */
#define WORTH_MOVING 0.1

/* How full a target is: busy time over its slots. */
double
place_cost(const struct place_target *t)
{
	return ((t->load + IDLE_SHARD * t->shards) / t->slots);
}

/* The usable target that is least full, or -1. */
int
place_pick(const struct place_target *t, int n)
{
	int i, best = -1;

	for (i = 0; i < n; i++) {
		if (!t[i].usable)
			continue;
		if (best < 0 || place_cost(&t[i]) < place_cost(&t[best]))
			best = i;
	}
	return (best);
}

/* The fullest usable target, or -1. */
static int
fullest(const struct place_target *t, int n)
{
	int i, most = -1;

	for (i = 0; i < n; i++) {
		if (t[i].usable && t[i].shards > 0 &&
		    (most < 0 || place_cost(&t[i]) > place_cost(&t[most])))
			most = i;
	}
	return (most);
}

/* Largest over mean fullness of the usable targets; 1 is even. */
double
place_imbalance(const struct place_target *t, int n)
{
	double sum = 0, most = 0;
	int i, k = 0;

	for (i = 0; i < n; i++) {
		if (!t[i].usable)
			continue;
		sum += place_cost(&t[i]);
		if (place_cost(&t[i]) > most)
			most = place_cost(&t[i]);
		k++;
	}
	return (sum > 0 ? most * k / sum : 1);
}

/*
 * Chooses up to max moves, each the shard of the fullest target that leaves
 * the fuller of the pair least full.  Stops where the imbalance is within the
 * tolerance (1.2 is one fifth over the mean), so that noise moves nothing.
 * `fixed` marks shards not to touch.  Returns how many moves are in out; the
 * targets' loads are left as they will be after them.
 */
int
place_balance(struct place_target *t, int n, const int *owner,
    const double *load, const uint8_t *fixed, uint32_t shards, double tolerance,
    struct place_move *out, int max)
{
	double a, b, worst, best;
	uint32_t s, pick;
	int from, to, k, done;

	for (k = 0; k < max; k++) {
		from = fullest(t, n);
		to = place_pick(t, n);
		if (from < 0 || to < 0 || from == to ||
		    (place_cost(&t[from]) < WORTH_MOVING && t[to].shards > 0) ||
		    place_imbalance(t, n) <= tolerance)
			break;
		best = place_cost(&t[from]);
		pick = shards;
		for (s = 0; s < shards; s++) {
			if (owner[s] != from || fixed[s])
				continue;
			for (done = 0; done < k; done++) {
				if (out[done].shard == s)
					break;
			}
			if (done < k)
				continue;
			a = (t[from].load - load[s] +
				IDLE_SHARD * (t[from].shards - 1)) /
			    t[from].slots;
			b = (t[to].load + load[s] +
				IDLE_SHARD * (t[to].shards + 1)) /
			    t[to].slots;
			worst = a > b ? a : b;
			if (worst < best - 1e-9) {
				best = worst;
				pick = s;
			}
		}
		if (pick == shards)
			break;
		out[k].shard = pick;
		out[k].from = from;
		out[k].to = to;
		t[from].load -= load[pick];
		t[from].shards--;
		t[to].load += load[pick];
		t[to].shards++;
	}
	return (k);
}
