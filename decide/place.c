#include "place.h"

/* Load of an idle shard, in busy slots; breaks ties between idle targets. */
#define IDLE_SHARD_LOAD 0.0005
/* Targets with a lower utilisation are not relieved, however uneven the load.
 */
#define UTILISATION_MIN 0.1
/* In an idle fleet a target with less than this fraction of the mean number of
 * shards per slot is given more. */
#define SHARE_MIN 0.5

/* Returns a target's utilisation: busy slots over all its slots. */
double
place_utilisation(const struct place_target *t)
{
	return ((t->load + IDLE_SHARD_LOAD * t->shards) / t->slots);
}

/* Returns the usable target with the lowest utilisation, or -1. */
int
place_pick(const struct place_target *t, int n)
{
	int i, best = -1;

	for (i = 0; i < n; i++) {
		if (!t[i].usable)
			continue;
		if (best < 0 ||
		    place_utilisation(&t[i]) < place_utilisation(&t[best]))
			best = i;
	}
	return (best);
}

/* Returns the usable target with the highest utilisation that has shards, or
 * -1. */
static int
most_utilised(const struct place_target *t, int n)
{
	int i, most = -1;

	for (i = 0; i < n; i++) {
		if (t[i].usable && t[i].shards > 0 &&
		    (most < 0 ||
			place_utilisation(&t[i]) > place_utilisation(&t[most])))
			most = i;
	}
	return (most);
}

/* Returns the highest over the mean utilisation of the usable targets; 1 is
 * balanced. */
double
place_imbalance(const struct place_target *t, int n)
{
	double sum = 0, most = 0;
	int i, k = 0;

	for (i = 0; i < n; i++) {
		if (!t[i].usable)
			continue;
		sum += place_utilisation(&t[i]);
		if (place_utilisation(&t[i]) > most)
			most = place_utilisation(&t[i]);
		k++;
	}
	return (sum > 0 ? most * k / sum : 1);
}

/* Returns the number of shards per slot. */
static double
shards_per_slot(const struct place_target *t)
{
	return ((double)t->shards / t->slots);
}

/*
 * Picks a source and a destination by shards per slot, for an idle fleet whose
 * loads say nothing: from the target with the most to the one with the fewest,
 * if that has less than SHARE_MIN of the mean.  Returns true if there is such a
 * pair.  Without this a target that recovers from a freeze would get one shard
 * and stay nearly empty, and a surge would hit only the others.  Shard counts
 * carry no noise: once the target has enough, nothing moves.
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
		if (*from < 0 ||
		    shards_per_slot(&t[i]) > shards_per_slot(&t[*from]))
			*from = i;
		if (*to < 0 ||
		    shards_per_slot(&t[i]) < shards_per_slot(&t[*to]))
			*to = i;
	}
	if (*to < 0 || *from == *to || t[*from].shards < 2)
		return (0);
	return (t[*to].shards == 0 ||
	    t[*to].shards + 1 <= SHARE_MIN * t[*to].slots * shards / slots);
}

/* Returns the higher utilisation of two targets after a shard of the given load
 * has moved between them. */
static double
max_utilisation_after(
    const struct place_target *from, const struct place_target *to, double load)
{
	struct place_target a = *from, b = *to;

	a.load -= load;
	a.shards--;
	b.load += load;
	b.shards++;
	return (place_utilisation(&a) > place_utilisation(&b)
		? place_utilisation(&a)
		: place_utilisation(&b));
}

/* True if a shard is already among the moves. */
static int
is_chosen(const struct place_move *m, int n, uint32_t shard)
{
	int i;

	for (i = 0; i < n; i++) {
		if (m[i].shard == shard)
			return (1);
	}
	return (0);
}

/*
 * Chooses up to max moves, each of the shard on the most utilised target whose
 * move leaves the higher utilisation of source and destination lowest.  Stops
 * once the imbalance is within the tolerance (1.2 allows a fifth above the
 * mean), so that noise causes no moves.  `fixed` marks shards that must not
 * move.  Returns the number of moves written to out; the loads and shard counts
 * in t are updated as if the moves were done.
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
		from = most_utilised(t, n);
		if (from < 0)
			break;
		best = place_utilisation(&t[from]);
		if (best < UTILISATION_MIN) {
			if (!pair_by_count(t, n, &from, &to))
				break;
			best = UTILISATION_MIN;
		} else {
			to = place_pick(t, n);
			if (from == to || place_imbalance(t, n) <= tolerance)
				break;
		}
		pick = shards;
		for (s = 0; s < shards; s++) {
			if (owner[s] != from || fixed[s] ||
			    is_chosen(out, k, s))
				continue;
			after =
			    max_utilisation_after(&t[from], &t[to], load[s]);
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
