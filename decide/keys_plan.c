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
#define LOAD_HALF_LIFE 0.8
/* Share of the total load that is spread over all keys alike, and the least
 * load of a key: without them one target could get all idle keys. */
#define IDLE_SHARE 0.06
#define IDLE_LOAD_MIN 1e-5
/* A target is overloaded if its load exceeds its share by this part, ... */
#define EXCESS_MIN 0.15
/* ... plus this many standard deviations of its request count. */
#define EXCESS_DEVIATIONS 1.2
/* Moves planned in one round at most. */
#define MOVES_MAX 8
/* Keys that moved do not move again for this long: their load is not known
 * yet. */
#define MOVE_COOLDOWN MS(900)
/* A target is taken for dead if it has not replied to any host for this long,
 * and to this many orders in a row. */
#define DEAD_AFTER MS(900)
#define DEAD_ORDERS 2
/* Above this number of ranges per target, small idle ranges are merged. */
#define RANGES_PER_TARGET 6
/* Part of its weight that a target has while it is cold. */
#define COLD_WEIGHT 0.5
/* Part of its weight that a cold target with a rate limit has: each of many
 * hosts has so small a share of the limit that most requests for its keys would
 * be refused. */
#define COLD_LIMITED_WEIGHT 0.02
/* A large range of an unavailable target is cut into this many pieces. */
#define SPLIT_PIECES 4
/* Number of adjacent keys that are expected to have about the same load, and
 * the load that one of them may show by chance. */
#define NEIGHBOURHOOD 256
#define NOISE_LOAD 2.0f
/* A key that alone overloads its target moves if its load divided by the new
 * owner's weight is at most this part of what it is now. */
#define MOVE_RATIO_MAX 0.85

/* Load that one request per second amounts to, with its half-life. */
#define LOAD_PER_RATE (LOAD_HALF_LIFE / M_LN2)
/* Part of its rate limit that a target gets as load; demand varies. */
#define LIMIT_SHARE 0.8
/* A rate limit ends when no host has reported it for this long. */
#define LIMIT_EXPIRY MS(2000)
/* Part of its weight that a target keeps whatever its limit: without requests
 * it would go unnoticed that it accepts more again. */
#define CAP_MIN 0.02

/* True if a target is cold and has a rate limit meanwhile. */
static int
is_cold_limited(const struct key_target *t, usec now)
{
	return (t->cold_limited && now < t->cold_until);
}

/* Returns the weight of a target: the load it can take relative to others. */
double
keys_target_weight(const struct key_target *t, usec now)
{
	double w = t->slots / fmax(t->latency_ratio, 0.25);

	if (is_cold_limited(t, now))
		w *= COLD_LIMITED_WEIGHT;
	else if (now < t->cold_until && feature_on(FEATURE_COLD))
		w *= COLD_WEIGHT;
	if (t->weight_cap > 0)
		w = fmin(w, t->weight_cap);
	return (w);
}

/* True if a target can neither keep nor get keys. */
static int
is_unavailable(const struct key_target *t, usec now)
{
	return (!t->used || !t->listed || t->leaving || t->evacuated ||
	    (t->unanswered_streak >= DEAD_ORDERS &&
		now - t->last_reply > DEAD_AFTER));
}

/* Returns the load of a key, as estimated in this round. */
static double
key_load(const struct keys *k, uint32_t key)
{
	return ((double)k->estimate[key]);
}

/*
 * Estimates the load of each key.  Busy keys are often close to each other, and
 * most of them get one request or none within a second or two.  If that were
 * taken as their load, moves would take the few keys that had a request and
 * leave the busy neighbourhood where it is: after a start, one target had twice
 * the mean load for five seconds.  So the load that a key may show by chance is
 * spread over its neighbourhood, and only what exceeds it counts for the key
 * alone.
 */
static void
estimate_load(struct keys *k)
{
	float own, shared, gain = (float)k->gain;
	uint32_t i, first;

	if (!feature_on(FEATURE_NEIGHBOURS)) {
		for (i = 0; i < KEYS; i++)
			k->estimate[i] = k->load[i] / gain;
		return;
	}
	for (first = 0; first < KEYS; first += NEIGHBOURHOOD) {
		shared = 0;
		for (i = first; i < first + NEIGHBOURHOOD; i++) {
			own = k->load[i] / gain;
			k->estimate[i] =
			    own > NOISE_LOAD ? own - NOISE_LOAD : 0;
			shared += own - k->estimate[i];
		}
		shared /= NEIGHBOURHOOD;
		for (i = first; i < first + NEIGHBOURHOOD; i++)
			k->estimate[i] += shared;
	}
}

/*
 * Adds requests for n keys to the load; each entry stands for `each` requests.
 * Instead of decaying all loads, new requests are multiplied by a gain that
 * grows by the same factor; a load divided by the gain is the decayed one.
 */
void
keys_add_load(struct keys *k, const uint16_t *key, int n, double each, usec now)
{
	int i;

	if (k->gain_updated_at != 0 && now > k->gain_updated_at)
		k->gain *= exp2((double)(now - k->gain_updated_at) /
		    US_PER_SEC / LOAD_HALF_LIFE);
	k->gain_updated_at = now;
	for (i = 0; i < n; i++)
		k->load[key[i]] += (float)(each * k->gain);
	if (k->gain < 1e12)
		return;
	for (i = 0; i < KEYS; i++)
		k->load[i] /= (float)k->gain;
	k->gain = 1;
}

/* Splits a range before a key.  Returns the index of the range that begins with
 * the key, or -1. */
int
keys_split_range(struct keys *k, int n, uint32_t at)
{
	struct key_range *r = &k->ranges[n];

	if (at <= r->from)
		return (n);
	if (at > r->to || keys_ranges_reserve(k, k->nranges + 1) != 0)
		return (-1);
	r = &k->ranges[n];
	memmove(r + 1, r, sizeof(*r) * (size_t)(k->nranges - n));
	k->nranges++;
	r[0].to = at - 1;
	r[1].from = at;
	return (n + 1);
}

/* Plans the move of a range to a target. */
void
keys_plan_move(struct keys *k, int n, int target, usec now)
{
	struct key_range *r = &k->ranges[n];

	r->next = target;
	r->next_fence = ++k->top_fence;
	r->plan_write = k->write_seq + 1;
	r->phase = RANGE_PLANNED;
	r->owner_restarted = 0;
	if (k->targets[target].owns++ == 0)
		k->owners++;
	keys_mark_dirty(k, now, 1);
}

/* Returns who owns a range after its planned move. */
static int
planned_owner(const struct key_range *r)
{
	return (r->next != NO_TARGET ? r->next : r->owner);
}

/* Returns the load of a range; base is added for each key. */
static double
range_load(const struct keys *k, const struct key_range *r, double base)
{
	double sum = base * (r->to - r->from + 1);
	uint32_t i;

	for (i = r->from; i <= r->to; i++)
		sum += key_load(k, i);
	return (sum);
}

/* The loads in one planning round. */
struct load_summary {
	double base;
	double total;
	double weight; /* of the available targets that may own keys */
	int available; /* those that may */
};

/*
 * Caps the weight of targets with a rate limit.  By slots and response time
 * alone they would own as many keys as others, and requests for these keys be
 * refused while other targets have capacity left.
 */
static void
cap_weights(struct keys *k, struct load_summary *l, usec now)
{
	double mean = l->total / l->weight, w;
	struct key_target *t;
	int i;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->unavailable || t->limit_reported_at == 0 ||
		    now - t->limit_reported_at > LIMIT_EXPIRY)
			continue;
		w = keys_target_weight(t, now);
		t->weight_cap =
		    fmax(LIMIT_SHARE * LOAD_PER_RATE * t->rate_limit / mean,
			CAP_MIN * w);
		if (t->owns > 0 || k->spare == 0)
			l->weight += keys_target_weight(t, now) - w;
	}
}

/* Counts which targets own ranges, or are to. */
static void
count_owners(struct keys *k)
{
	int i, n;

	for (i = 0; i < k->ntargets; i++)
		k->targets[i].owns = 0;
	k->owners = 0;
	for (i = 0; i < k->nranges; i++) {
		n = planned_owner(&k->ranges[i]);
		if (n != NO_TARGET && !k->targets[n].unavailable &&
		    k->targets[n].owns++ == 0)
			k->owners++;
	}
}

/* True if a target may be given keys. */
static int
may_own(const struct keys *k, const struct key_target *t)
{
	return (t->owns > 0 || k->owners < KEYS_OWNERS_MAX);
}

/* Logs that there are more targets than can own keys, once each time. */
static void
log_spare(struct keys *k, int spare)
{
	if ((spare > 0) != (k->spare > 0))
		k->cb->event(k->arg, k->service,
		    spare > 0 ? "more targets than can own keys, some are spare"
			      : "no target is spare any more");
	k->spare = spare;
}

/* Sums the weights of the available targets that may own keys: all owners, and
 * as many others as may be added. */
static void
sum_weights(struct keys *k, usec now, struct load_summary *l)
{
	double others_weight = 0;
	int i, others = 0, room = KEYS_OWNERS_MAX - k->owners;

	for (i = 0; i < k->ntargets; i++) {
		if (k->targets[i].unavailable)
			continue;
		if (k->targets[i].owns > 0) {
			l->weight += keys_target_weight(&k->targets[i], now);
			l->available++;
		} else {
			others_weight +=
			    keys_target_weight(&k->targets[i], now);
			others++;
		}
	}
	if (room < 0)
		room = 0;
	log_spare(k, others > room ? others - room : 0);
	if (others > room)
		others_weight *= (double)room / others;
	l->weight += others_weight;
	l->available += others < room ? others : room;
}

/* Computes the loads of the targets and their total. */
static void
sum_loads(struct keys *k, usec now, struct load_summary *l)
{
	struct key_target *t;
	double requested = 0;
	int i, n;

	memset(l, 0, sizeof(*l));
	estimate_load(k);
	for (i = 0; i < KEYS; i++)
		requested += key_load(k, (uint32_t)i);
	l->base = requested * IDLE_SHARE / KEYS + IDLE_LOAD_MIN;
	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		t->load = 0;
		t->weight_cap = 0;
		t->unavailable = is_unavailable(t, now);
	}
	count_owners(k);
	sum_weights(k, now, l);
	for (i = 0; i < k->nranges; i++) {
		n = planned_owner(&k->ranges[i]);
		if (n == NO_TARGET || k->targets[n].unavailable)
			continue;
		k->targets[n].load += range_load(k, &k->ranges[i], l->base);
	}
	l->total = requested + l->base * KEYS;
	if (l->weight > 0)
		cap_weights(k, l, now);
}

/*
 * Returns the target with the least load for its weight, or NO_TARGET; never
 * `exclude`, and a cold one with a rate limit only if there is no other.  If
 * `assumed_load` is not 0, each target is taken to have this load instead of
 * its own.
 */
static int
least_loaded(const struct keys *k, const struct key_target *exclude,
    double assumed_load, usec now)
{
	const struct key_target *t;
	double ratio, best_ratio = 0;
	int i, best = NO_TARGET, is_limited, best_limited = 0;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->unavailable || (exclude != NULL && t == exclude) ||
		    !may_own(k, t))
			continue;
		is_limited = is_cold_limited(t, now);
		if (is_limited && best != NO_TARGET && !best_limited)
			continue;
		if (!is_limited && best_limited)
			best = NO_TARGET;
		ratio = (assumed_load > 0 ? assumed_load : t->load) /
		    keys_target_weight(t, now);
		if (best == NO_TARGET || ratio < best_ratio) {
			best = i;
			best_ratio = ratio;
			best_limited = is_limited;
		}
	}
	return (best);
}

/* Returns the target with the most load for its weight, or NO_TARGET. */
static int
most_loaded(const struct keys *k, usec now)
{
	const struct key_target *t;
	double ratio, best_ratio = 0;
	int i, best = NO_TARGET;

	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->unavailable)
			continue;
		ratio = t->load / keys_target_weight(t, now);
		if (best == NO_TARGET || ratio > best_ratio) {
			best = i;
			best_ratio = ratio;
		}
	}
	return (best);
}

/* True if no key has an owner or is to get one. */
static int
is_unassigned(const struct keys *k)
{
	return (k->nranges == 1 && k->ranges[0].owner == NO_TARGET &&
	    k->ranges[0].next == NO_TARGET);
}

/* Chooses the targets that own keys at first, warm ones before cold ones, and
 * marks them; returns the sum of their weights. */
static double
choose_first_owners(struct keys *k, usec now)
{
	struct key_target *t;
	double weight = 0;
	int i, cold, chosen = 0;

	for (cold = 0; cold < 2; cold++) {
		for (i = 0; i < k->ntargets; i++) {
			t = &k->targets[i];
			if (t->unavailable || chosen == KEYS_OWNERS_MAX ||
			    (now < t->cold_until) != cold)
				continue;
			t->chosen = 1;
			weight += keys_target_weight(t, now);
			chosen++;
		}
	}
	return (weight);
}

/* Assigns targets one range of keys each in proportion to their weight. */
static void
assign_initially(struct keys *k, usec now)
{
	double sum = 0, weight = choose_first_owners(k, now);
	int i, n = 0, last = NO_TARGET;
	uint32_t at;

	for (i = 0; i < k->ntargets; i++) {
		if (k->targets[i].chosen)
			last = i;
	}
	for (i = 0; i <= last; i++) {
		if (!k->targets[i].chosen)
			continue;
		k->targets[i].chosen = 0;
		sum += keys_target_weight(&k->targets[i], now);
		at = (uint32_t)(sum / weight * KEYS);
		if (i != last && at < KEYS &&
		    keys_split_range(k, n, at) == n + 1) {
			keys_plan_move(k, n, i, now);
			n++;
		} else if (i == last)
			keys_plan_move(k, n, i, now);
	}
}

/* Plans new owners for a range, in pieces if its load is large. */
static void
reassign_range(struct keys *k, int n, const struct load_summary *l, usec now)
{
	uint32_t size = k->ranges[n].to - k->ranges[n].from + 1, piece_size;
	double load;
	int to, i, pieces = SPLIT_PIECES;

	if (range_load(k, &k->ranges[n], l->base) <
	    0.3 * l->total / (l->available > 0 ? l->available : 1))
		pieces = 1;
	piece_size = size / (uint32_t)pieces;
	for (i = 1; i < pieces && piece_size > 0; i++)
		keys_split_range(
		    k, n + i - 1, k->ranges[n + i - 1].from + piece_size);
	for (i = 0; i < pieces && (piece_size > 0 || i == 0); i++, n++) {
		to = least_loaded(k, NULL, 0, now);
		if (to == NO_TARGET)
			return;
		load = range_load(k, &k->ranges[n], l->base);
		keys_plan_move(k, n, to, now);
		k->targets[to].load += load;
	}
}

/*
 * Returns a later incarnation of the range's owner that can have the range at
 * once, or NO_TARGET.
 *
 * The owner has ended, and its last grants can only have reached this
 * incarnation: no other target can hold the keys, so there is no need to wait
 * until those grants lapse.  Not during a move: an earlier controller may have
 * granted the range to its next owner.
 */
static int
restarted_owner(const struct keys *k, const struct key_range *r)
{
	int i;

	if (r->owner == NO_TARGET || r->releasing || r->next != NO_TARGET)
		return (NO_TARGET);
	for (i = 0; i < k->ntargets; i++) {
		if (!k->targets[i].unavailable &&
		    incarnation_follows(
			k->targets[i].id, k->targets[r->owner].id))
			return (i);
	}
	return (NO_TARGET);
}

/* Plans new owners for all ranges that have none or an unavailable one. */
static void
reassign_unavailable(struct keys *k, const struct load_summary *l, usec now)
{
	int i, n;

	for (i = 0; i < k->nranges; i++) {
		n = planned_owner(&k->ranges[i]);
		if (n != NO_TARGET && !k->targets[n].unavailable)
			continue;
		n = restarted_owner(k, &k->ranges[i]);
		if (n == NO_TARGET) {
			reassign_range(k, i, l, now);
			continue;
		}
		keys_plan_move(k, i, n, now);
		k->ranges[i].owner_restarted = 1;
		k->targets[n].load += range_load(k, &k->ranges[i], l->base);
	}
}

/* A part of a range that is to move. */
struct piece {
	int range;
	uint32_t from;
	uint32_t to;
	double load;
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
		sum += key_load(k, b) + base;
		while (a <= b && sum > high) {
			sum -= key_load(k, a) + base;
			a++;
		}
		while (a < b && sum - key_load(k, a) - base >= low) {
			sum -= key_load(k, a) + base;
			a++;
		}
		if (sum >= low && a <= b &&
		    (best->range < 0 || b - a < best->to - best->from)) {
			best->range = n;
			best->from = a;
			best->to = b;
			best->load = sum;
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
	return (r->phase == RANGE_OWNED && r->owner == target && r->confirmed &&
	    now >= r->unanswered_until &&
	    (now - r->moved_at >= MOVE_COOLDOWN || !feature_on(FEATURE_REST)));
}

/* Splits a piece off its range and plans its move to another target. */
static void
move_piece(struct keys *k, const struct piece *p, int from, int to, usec now)
{
	int n = keys_split_range(k, p->range, p->from);

	if (n < 0 ||
	    (p->to < k->ranges[n].to && keys_split_range(k, n, p->to + 1) < 0))
		return;
	keys_plan_move(k, n, to, now);
	k->targets[from].load -= p->load;
	k->targets[to].load += p->load;
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
	double load = k->targets[from].load, new_ratio;
	uint32_t key;
	int i, to;

	if (!feature_on(FEATURE_HOTTEST))
		return (0);
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		if (!movable(r, from, now))
			continue;
		for (key = r->from; key <= r->to; key++) {
			if (p.range >= 0 && key_load(k, key) <= p.load)
				continue;
			p.range = i;
			p.from = p.to = key;
			p.load = key_load(k, key);
		}
	}
	if (p.range < 0 || p.load < load / 2)
		return (0);
	to = least_loaded(k, NULL, p.load, now);
	new_ratio = p.load / keys_target_weight(&k->targets[to], now);
	if (to == from ||
	    new_ratio > MOVE_RATIO_MAX * p.load /
		    keys_target_weight(&k->targets[from], now))
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
balance_once(struct keys *k, const struct load_summary *l, usec now)
{
	int from = most_loaded(k, now), to;
	struct piece p;
	double mean = l->total / l->weight, from_weight, to_weight, high,
	       equalising_load, excess;

	if (from == NO_TARGET)
		return (0);
	to = least_loaded(k, &k->targets[from], 0, now);
	if (to == NO_TARGET)
		return (0);
	from_weight = keys_target_weight(&k->targets[from], now);
	to_weight = keys_target_weight(&k->targets[to], now);
	excess = k->targets[from].load / from_weight -
	    k->targets[to].load / to_weight;
	if (excess < 2 * EXCESS_MIN * mean +
		EXCESS_DEVIATIONS * sqrt(k->targets[from].load) / from_weight)
		return (0);
	/* Moving this much load makes both equally loaded; aim lower, as loads
	 * vary. */
	equalising_load = excess / (1 / from_weight + 1 / to_weight);
	high = fmin(equalising_load,
	    fmax(
		mean * to_weight - k->targets[to].load, equalising_load * 0.5));
	p = smallest_piece(k, from, l->base, 0.6 * high, 1.1 * high, now);
	if (p.range < 0)
		p = smallest_piece(
		    k, from, l->base, 0.15 * high, equalising_load, now);
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
join_idle(struct keys *k, const struct load_summary *l, usec now)
{
	struct key_range *r;
	uint32_t size, best_size = KEYS;
	int i, best = 0, to;

	if (k->nranges <= RANGES_PER_TARGET * l->available ||
	    !feature_on(FEATURE_JOIN))
		return;
	for (i = 1; i < k->nranges; i++) {
		r = &k->ranges[i];
		size = r->to - r->from + 1;
		if (!movable(r, r->owner, now) || size >= best_size ||
		    r[-1].phase != RANGE_OWNED || r[-1].owner == r->owner ||
		    range_load(k, r, l->base) > 0.02 * l->total / l->available)
			continue;
		best = i;
		best_size = size;
	}
	if (best == 0)
		return;
	to = k->ranges[best - 1].owner;
	if (to != NO_TARGET && !k->targets[to].unavailable)
		keys_plan_move(k, best, to, now);
}

/* Runs one planning round. */
void
keys_plan(struct keys *k, usec now)
{
	struct load_summary l;
	int i;

	keys_add_load(k, NULL, 0, 0, now);
	sum_loads(k, now, &l);
	if (l.available == 0)
		return;
	if (is_unassigned(k)) {
		/* While targets still register, the first few would get all
		 * keys. */
		if (now - k->fleet_changed >= k->conf.settle_time)
			assign_initially(k, now);
		return;
	}
	reassign_unavailable(k, &l, now);
	for (i = 0; i < MOVES_MAX && balance_once(k, &l, now); i++)
		;
	join_idle(k, &l, now);
}
