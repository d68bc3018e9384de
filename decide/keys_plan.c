/*
 * Plans which target owns which keys: the initial assignment, new owners for
 * the keys of unavailable targets, and load balance.
 */
#include <math.h>
#include <string.h>

#include "feature.h"
#include "incarnation.h"
#include "keys.h"

/* Half-life of a key's load in seconds: long enough to tell a hot key from
 * random variation, short enough to spread hot keys within two seconds. */
#define HEAT_HALF 0.8
/* Share of the total load that is spread over all keys alike, and the least
 * load of a key: without them one target could get all idle keys. */
#define COLD_SHARE 0.06
#define COLD_LEAST 1e-5
/* A target is overloaded if its load exceeds its share by this part, and ... */
#define EXCESS 0.15
/* ... by this many standard deviations of its request count. */
#define CHANCE 1.2
/* Moves planned in one round at most. */
#define MOVES_MOST 8
/* Keys that moved do not move again for this long: their load is not known
 * yet. */
#define REST MS(900)
/* A target is taken for dead that has not replied to any host for so long, and
 * not to so many orders in a row. */
#define LOST_AFTER MS(900)
#define LOST_ORDERS 2
/* Beyond this number of ranges per target small idle ones are joined. */
#define RANGES_EACH 6
/* Part of its weight that a target has while it is cold. */
#define COLD_FACTOR 0.5
/* The same for a cold target with a rate limit: each of many hosts has so small
 * a share of the limit that most requests for its keys would be refused. */
#define COLD_LIMITED_FACTOR 0.02
/* A large range of an unavailable target is cut into this many pieces. */
#define PIECES 4
/* Number of adjacent keys that are expected to have about the same load, and
 * the load that one of them may show by chance. */
#define NEIGHBOURS 256
#define BY_CHANCE 2.0f
/* A key that alone overloads its target moves if its load divided by the new
 * owner's weight is at most this part of what it is now. */
#define WORTH_MOVING 0.85

/* Load that one request per second amounts to, with its half-life. */
#define HEAT_OF_RATE (HEAT_HALF / M_LN2)
/* Part of its rate limit that a target gets as load; demand varies. */
#define LIMIT_PART 0.8
/* A rate limit ends when no host has reported it for this long. */
#define LIMITED_FOR MS(2000)
/* Part of its weight that a target keeps whatever its limit: without requests
 * nobody would notice that it accepts more again. */
#define CAP_LEAST 0.02

/* True if a target is cold and has a rate limit meanwhile. */
static int
takes_few(const struct key_target *t, usec now)
{
	return (t->cold_limited && now < t->cold_until);
}

/* Returns the weight of a target: the load it can take relative to others. */
double
key_target_weight(const struct key_target *t, usec now)
{
	double w = t->slots / fmax(t->speed, 0.25);

	if (takes_few(t, now))
		w *= COLD_LIMITED_FACTOR;
	else if (now < t->cold_until && feature_on(FEATURE_COLD))
		w *= COLD_FACTOR;
	if (t->cap > 0)
		w = fmin(w, t->cap);
	return (w);
}

/* True if a target can neither keep nor get keys. */
static int
is_lost(const struct key_target *t, usec now)
{
	return (!t->used || !t->listed || t->leaving || t->evacuated ||
	    (t->unanswered >= LOST_ORDERS && now - t->alive_at > LOST_AFTER));
}

/* Returns the load of a key, as estimated in this round. */
static double
key_heat(const struct keys *k, uint32_t key)
{
	return ((double)k->estimate[key]);
}

/*
 * Estimates the load of each key.  Busy keys are often close to each other, and
 * most of them get one request or none within a second or two.  If that were
 * taken as their load, moves would take the few keys that had a request and
 * leave the busy neighbourhood where it is: its owner stays far above the mean
 * load for seconds.  So the load that a key may show by chance is spread over
 * its neighbourhood, and only what exceeds it counts for the key alone.
 */
static void
estimate(struct keys *k)
{
	float own, shared, gain = (float)k->gain;
	uint32_t i, first;

	if (!feature_on(FEATURE_NEIGHBOURS)) {
		for (i = 0; i < KEYS; i++)
			k->estimate[i] = k->heat[i] / gain;
		return;
	}
	for (first = 0; first < KEYS; first += NEIGHBOURS) {
		shared = 0;
		for (i = first; i < first + NEIGHBOURS; i++) {
			own = k->heat[i] / gain;
			k->estimate[i] = own > BY_CHANCE ? own - BY_CHANCE : 0;
			shared += own - k->estimate[i];
		}
		shared /= NEIGHBOURS;
		for (i = first; i < first + NEIGHBOURS; i++)
			k->estimate[i] += shared;
	}
}

/*
 * Adds requests for n keys to the load; each entry stands for `each` requests.
 * Instead of decaying the load of all keys, later requests count more: gain
 * grows, and by it the load is divided.
 */
void
keys_heat(struct keys *k, const uint16_t *key, int n, double each, usec now)
{
	int i;

	if (k->heat_at != 0 && now > k->heat_at)
		k->gain *=
		    exp2((double)(now - k->heat_at) / US_PER_SEC / HEAT_HALF);
	k->heat_at = now;
	for (i = 0; i < n; i++)
		k->heat[key[i]] += (float)(each * k->gain);
	if (k->gain < 1e12)
		return;
	for (i = 0; i < KEYS; i++)
		k->heat[i] /= (float)k->gain;
	k->gain = 1;
}

/* Splits a range before a key.  Returns the index of the range that begins with
 * the key, or -1. */
int
keys_split(struct keys *k, int n, uint32_t at)
{
	struct key_range *r = &k->ranges[n];

	if (at <= r->from)
		return (n);
	if (at > r->to || k->nranges == KEYS_RANGES)
		return (-1);
	memmove(r + 1, r, sizeof(*r) * (size_t)(k->nranges - n));
	k->nranges++;
	r[0].to = at - 1;
	r[1].from = at;
	return (n + 1);
}

/* Plans the move of a range to a target. */
void
keys_give(struct keys *k, int n, int target, usec now)
{
	struct key_range *r = &k->ranges[n];

	r->next = target;
	r->next_fence = ++k->top_fence;
	r->plan_by = k->write_seq + 1;
	r->step = RANGE_PLANNED;
	r->inherits = 0;
	keys_dirty(k, now, 1);
}

/* Returns who owns a range after its planned move. */
static int
heir(const struct key_range *r)
{
	return (r->next != NO_TARGET ? r->next : r->owner);
}

/* Returns the load of a range; base is added for each key. */
static double
range_heat(const struct keys *k, const struct key_range *r, double base)
{
	double sum = base * (r->to - r->from + 1);
	uint32_t i;

	for (i = r->from; i <= r->to; i++)
		sum += key_heat(k, i);
	return (sum);
}

/* The loads in one planning round. */
struct look {
	double base;
	double total;
	double weight; /* of all available targets */
	int live;
};

/*
 * Caps the weight of targets with a rate limit.  By slots and response time
 * alone they would own as many keys as others, and requests for these keys be
 * refused while other targets have capacity left.
 */
static void
cap_limited(struct keys *k, struct look *l, usec now)
{
	double mean = l->total / l->weight, w;
	struct key_target *t;
	int i;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->lost || t->limited == 0 ||
		    now - t->limited > LIMITED_FOR)
			continue;
		w = key_target_weight(t, now);
		t->cap = fmax(
		    LIMIT_PART * HEAT_OF_RATE * t->limit / mean, CAP_LEAST * w);
		l->weight += key_target_weight(t, now) - w;
	}
}

/* Computes the loads of the targets and their total. */
static void
look_around(struct keys *k, usec now, struct look *l)
{
	struct key_target *t;
	double asked = 0;
	int i, n;

	memset(l, 0, sizeof(*l));
	estimate(k);
	for (i = 0; i < KEYS; i++)
		asked += key_heat(k, (uint32_t)i);
	l->base = asked * COLD_SHARE / KEYS + COLD_LEAST;
	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		t->heat = 0;
		t->cap = 0;
		t->lost = is_lost(t, now);
		if (t->lost)
			continue;
		l->weight += key_target_weight(t, now);
		l->live++;
	}
	for (i = 0; i < k->nranges; i++) {
		n = heir(&k->ranges[i]);
		if (n == NO_TARGET || k->targets[n].lost)
			continue;
		k->targets[n].heat += range_heat(k, &k->ranges[i], l->base);
	}
	l->total = asked + l->base * KEYS;
	if (l->weight > 0)
		cap_limited(k, l, now);
}

/*
 * Returns the target with the least load for its weight, or NO_TARGET; never
 * `but`, and a cold one with a rate limit only if there is no other.  If
 * `alone` is not 0, each target is taken to have this load instead of its own.
 */
static int
least(
    const struct keys *k, const struct key_target *but, double alone, usec now)
{
	const struct key_target *t;
	double load, best_load = 0;
	int i, best = NO_TARGET, few, best_few = 0;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->lost || (but != NULL && t == but))
			continue;
		few = takes_few(t, now);
		if (few && best != NO_TARGET && !best_few)
			continue;
		if (!few && best_few)
			best = NO_TARGET;
		load =
		    (alone > 0 ? alone : t->heat) / key_target_weight(t, now);
		if (best == NO_TARGET || load < best_load) {
			best = i;
			best_load = load;
			best_few = few;
		}
	}
	return (best);
}

/* Returns the target with the most load for its weight, or NO_TARGET. */
static int
most(const struct keys *k, usec now)
{
	const struct key_target *t;
	double load, best_load = 0;
	int i, best = NO_TARGET;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->lost)
			continue;
		load = t->heat / key_target_weight(t, now);
		if (best == NO_TARGET || load > best_load) {
			best = i;
			best_load = load;
		}
	}
	return (best);
}

/* True if no key has an owner or is to get one. */
static int
untouched(const struct keys *k)
{
	return (k->nranges == 1 && k->ranges[0].owner == NO_TARGET &&
	    k->ranges[0].next == NO_TARGET);
}

/* Assigns each target one range of keys in proportion to its weight. */
static void
first_shares(struct keys *k, const struct look *l, usec now)
{
	double sum = 0;
	int i, n = 0, last = NO_TARGET;
	uint32_t at;

	for (i = 0; i < k->ntargets; i++) {
		if (!k->targets[i].lost)
			last = i;
	}
	for (i = 0; i <= last; i++) {
		if (k->targets[i].lost)
			continue;
		sum += key_target_weight(&k->targets[i], now);
		at = (uint32_t)(sum / l->weight * KEYS);
		if (i != last && at < KEYS && keys_split(k, n, at) == n + 1) {
			keys_give(k, n, i, now);
			n++;
		} else if (i == last)
			keys_give(k, n, i, now);
	}
}

/* Plans new owners for a range, in pieces if its load is large. */
static void
replace_heir(struct keys *k, int n, const struct look *l, usec now)
{
	uint32_t size = k->ranges[n].to - k->ranges[n].from + 1, step;
	double heat;
	int to, i, pieces = PIECES;

	if (range_heat(k, &k->ranges[n], l->base) <
	    0.3 * l->total / (l->live > 0 ? l->live : 1))
		pieces = 1;
	step = size / (uint32_t)pieces;
	for (i = 1; i < pieces && step > 0; i++)
		keys_split(k, n + i - 1, k->ranges[n + i - 1].from + step);
	for (i = 0; i < pieces && (step > 0 || i == 0); i++, n++) {
		to = least(k, NULL, 0, now);
		if (to == NO_TARGET)
			return;
		heat = range_heat(k, &k->ranges[n], l->base);
		keys_give(k, n, to, now);
		k->targets[to].heat += heat;
	}
}

/*
 * Returns a later incarnation of the range's owner that can have the range at
 * once, or NO_TARGET.
 *
 * The owner has ended, and its last grants can only have reached this
 * incarnation: nobody else can hold the keys, so there is no need to wait until
 * those grants lapse.  Not during a move: an earlier controller may have
 * granted the range to its next owner.
 */
static int
inheritor(const struct keys *k, const struct key_range *r)
{
	int i;

	if (r->owner == NO_TARGET || r->letting_go || r->next != NO_TARGET)
		return (NO_TARGET);
	for (i = 0; i < k->ntargets; i++) {
		if (!k->targets[i].lost &&
		    incarnation_follows(
			k->targets[i].id, k->targets[r->owner].id))
			return (i);
	}
	return (NO_TARGET);
}

/* Plans new owners for all ranges that have none or an unavailable one. */
static void
replace_lost(struct keys *k, const struct look *l, usec now)
{
	int i, n;

	for (i = 0; i < k->nranges; i++) {
		n = heir(&k->ranges[i]);
		if (n != NO_TARGET && !k->targets[n].lost)
			continue;
		n = inheritor(k, &k->ranges[i]);
		if (n == NO_TARGET) {
			replace_heir(k, i, l, now);
			continue;
		}
		keys_give(k, i, n, now);
		k->ranges[i].inherits = 1;
		k->targets[n].heat += range_heat(k, &k->ranges[i], l->base);
	}
}

/* A part of a range that is to move. */
struct piece {
	int range;
	uint32_t from;
	uint32_t to;
	double heat;
};

/*
 * Finds the shortest run of keys in a range with a load from `low` to `high`,
 * if it is shorter than *best.  Requests for keys that move have to wait, so
 * the cost of a move is taken to be its number of keys.
 */
static void
find_piece(const struct keys *k, int n, double base, double low, double high,
    struct piece *best)
{
	const struct key_range *r = &k->ranges[n];
	uint32_t a = r->from, b;
	double sum = 0;

	for (b = r->from; b <= r->to; b++) {
		sum += key_heat(k, b) + base;
		while (a <= b && sum > high) {
			sum -= key_heat(k, a) + base;
			a++;
		}
		while (a < b && sum - key_heat(k, a) - base >= low) {
			sum -= key_heat(k, a) + base;
			a++;
		}
		if (sum >= low && a <= b &&
		    (best->range < 0 || b - a < best->to - best->from)) {
			best->range = n;
			best->from = a;
			best->to = b;
			best->heat = sum;
		}
	}
}

/*
 * True if a range of the target may move now.  Not before every grant without a
 * reply, and every grant of an earlier controller, has lapsed: the next owner
 * would have to wait for it, and the keys be without an owner for seconds.
 */
static int
movable(const struct key_range *r, int target, usec now)
{
	return (r->step == RANGE_OWNED && r->owner == target && r->confirmed &&
	    now >= r->unanswered_until &&
	    (now - r->moved_at >= REST || !feature_on(FEATURE_REST)));
}

/* Splits a piece off its range and plans its move to another target. */
static void
move_piece(struct keys *k, const struct piece *p, int from, int to, usec now)
{
	int n = keys_split(k, p->range, p->from);

	if (n < 0 ||
	    (p->to < k->ranges[n].to && keys_split(k, n, p->to + 1) < 0))
		return;
	keys_give(k, n, to, now);
	k->targets[from].heat -= p->heat;
	k->targets[to].heat += p->heat;
}

/*
 * Moves a key that alone overloads its target to the fastest target, whose
 * other keys are then moved away; returns 0 if that gains nothing.  Response
 * times of targets differ by two to three times: a slow target would let a
 * third of the requests for such a key time out that a fast one can serve.
 */
static int
move_hottest(struct keys *k, int from, usec now)
{
	const struct key_range *r;
	struct piece p = {-1, 0, 0, 0};
	double heat = k->targets[from].heat, there;
	uint32_t key;
	int i, to;

	if (!feature_on(FEATURE_HOTTEST))
		return (0);
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		if (!movable(r, from, now))
			continue;
		for (key = r->from; key <= r->to; key++) {
			if (p.range >= 0 && key_heat(k, key) <= p.heat)
				continue;
			p.range = i;
			p.from = p.to = key;
			p.heat = key_heat(k, key);
		}
	}
	if (p.range < 0 || p.heat < heat / 2)
		return (0);
	to = least(k, NULL, p.heat, now);
	there = p.heat / key_target_weight(&k->targets[to], now);
	if (to == from ||
	    there > WORTH_MOVING * p.heat /
		    key_target_weight(&k->targets[from], now))
		return (0);
	move_piece(k, &p, from, to, now);
	return (1);
}

/* Returns the shortest run of a target's keys with a load from `low` to `high`;
 * its range is -1 if there is none. */
static struct piece
smallest_piece(const struct keys *k, int from, double base, double low,
    double high, usec now)
{
	struct piece p = {-1, 0, 0, 0};
	int i;

	for (i = 0; i < k->nranges; i++) {
		if (movable(&k->ranges[i], from, now))
			find_piece(k, i, base, low, high, &p);
	}
	return (p);
}

/* Plans one move from the most to the least loaded target; returns 0 if none is
 * worth its cost. */
static int
relieve(struct keys *k, const struct look *l, usec now)
{
	int from = most(k, now), to;
	struct piece p;
	double mean = l->total / l->weight, wf, wt, high, need, over;

	if (from == NO_TARGET)
		return (0);
	to = least(k, &k->targets[from], 0, now);
	if (to == NO_TARGET)
		return (0);
	wf = key_target_weight(&k->targets[from], now);
	wt = key_target_weight(&k->targets[to], now);
	over = k->targets[from].heat / wf - k->targets[to].heat / wt;
	if (over <
	    2 * EXCESS * mean + CHANCE * sqrt(k->targets[from].heat) / wf)
		return (0);
	/* Moving `need` makes both equal; aim lower, as loads vary at random.
	 */
	need = over / (1 / wf + 1 / wt);
	high = fmin(need, fmax(mean * wt - k->targets[to].heat, need * 0.5));
	p = smallest_piece(k, from, l->base, 0.6 * high, 1.1 * high, now);
	if (p.range < 0)
		p = smallest_piece(k, from, l->base, 0.15 * high, need, now);
	if (p.range < 0)
		return (move_hottest(k, from, now));
	move_piece(k, &p, from, to, now);
	return (1);
}

/*
 * Moves a small idle range to the owner of the range before it if there are
 * many ranges, because each needs calls of its own for its grants.
 */
static void
join_cold(struct keys *k, const struct look *l, usec now)
{
	struct key_range *r;
	uint32_t size, best_size = KEYS;
	int i, best = 0, to;

	if (k->nranges <= RANGES_EACH * l->live || !feature_on(FEATURE_JOIN))
		return;
	for (i = 1; i < k->nranges; i++) {
		r = &k->ranges[i];
		size = r->to - r->from + 1;
		if (!movable(r, r->owner, now) || size >= best_size ||
		    r[-1].step != RANGE_OWNED || r[-1].owner == r->owner ||
		    range_heat(k, r, l->base) > 0.02 * l->total / l->live)
			continue;
		best = i;
		best_size = size;
	}
	if (best == 0)
		return;
	to = k->ranges[best - 1].owner;
	if (to != NO_TARGET && !k->targets[to].lost)
		keys_give(k, best, to, now);
}

/* Runs one planning round. */
void
keys_plan(struct keys *k, usec now)
{
	struct look l;
	int i;

	keys_heat(k, NULL, 0, 0, now);
	look_around(k, now, &l);
	if (l.live == 0)
		return;
	if (untouched(k)) {
		/* While targets still register, the first few would get all
		 * keys. */
		if (now - k->fleet_changed >= k->conf.settle)
			first_shares(k, &l, now);
		return;
	}
	replace_lost(k, &l, now);
	for (i = 0; i < MOVES_MOST && relieve(k, &l, now); i++)
		;
	join_cold(k, &l, now);
}
