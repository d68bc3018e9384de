#include "place.h"

/* What holding an idle shard counts for, in busy slots: a tie-breaker. */
#define IDLE_SHARD 0.0005
/* A target less full than this needs no relief, whatever the others are. */
#define WORTH_MOVING 0.1
/* The part of the mean that a target holds at least in an idle fleet. */
#define ENOUGH 0.5

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

/* Shards for each slot. */
static double
held(const struct place_target *t)
{
	return ((double)t->shards / t->slots);
}

/*
 * A pair of targets by what they hold, for an idle fleet: the one that holds
 * least of its part, if that is less than ENOUGH of the mean, and the one that
 * holds most.  Without this a target that came back after a freeze would get
 * one shard and then stand by, and a surge would meet the others alone.
 * Counts have no noise: once it holds enough nothing moves.
 */
static int
pair_by_count(const struct place_target *t, int n, int *from, int *to)
{
	double shards = 0, slots = 0;
	int i;

	*from = *to = -1;
	for (i = 0; i < n; i++) {
		if (!t[i].usable)
			continue;
		shards += t[i].shards;
		slots += t[i].slots;
		if (*from < 0 || held(&t[i]) > held(&t[*from]))
			*from = i;
		if (*to < 0 || held(&t[i]) < held(&t[*to]))
			*to = i;
	}
	if (*to < 0 || *from == *to || t[*from].shards < 2)
		return (0);
	return (t[*to].shards == 0 ||
	    t[*to].shards + 1 <= ENOUGH * t[*to].slots * shards / slots);
}

/* How full the fuller of a pair is once a shard has moved between them. */
static double
worst_after(
    const struct place_target *from, const struct place_target *to, double load)
{
	struct place_target a = *from, b = *to;

	a.load -= load;
	a.shards--;
	b.load += load;
	b.shards++;
	return (
	    place_cost(&a) > place_cost(&b) ? place_cost(&a) : place_cost(&b));
}

/* True where a shard is among the moves. */
static int
chosen(const struct place_move *m, int n, uint32_t shard)
{
	int i;

	for (i = 0; i < n; i++) {
		if (m[i].shard == shard)
			return (1);
	}
	return (0);
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
	double after, best;
	uint32_t s, pick;
	int from, to, k;

	for (k = 0; k < max; k++) {
		from = fullest(t, n);
		if (from < 0)
			break;
		best = place_cost(&t[from]);
		if (best < WORTH_MOVING) {
			if (!pair_by_count(t, n, &from, &to))
				break;
			best = WORTH_MOVING;
		} else {
			to = place_pick(t, n);
			if (from == to || place_imbalance(t, n) <= tolerance)
				break;
		}
		pick = shards;
		for (s = 0; s < shards; s++) {
			if (owner[s] != from || fixed[s] || chosen(out, k, s))
				continue;
			after = worst_after(&t[from], &t[to], load[s]);
			if (after < best - 1e-9) {
				best = after;
				pick = s;
			}
		}
		if (pick == shards)
			break;
		out[k] = (struct place_move){pick, from, to};
		t[from].load -= load[pick];
		t[from].shards--;
		t[to].load += load[pick];
		t[to].shards++;
	}
	return (k);
}
