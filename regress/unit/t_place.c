/* Shard placement: the least utilised target first, few moves, none for noise.
 */
#include <string.h>

#include "place.h"
#include "unit.h"

#define N 4
#define SHARDS 40

static struct place_target t[N];
static int owner[SHARDS];
static double load[SHARDS];
static uint8_t fixed[SHARDS];
static struct place_move moves[64];

/* Spreads all shards evenly, each with the given load. */
static void
spread_evenly(double each)
{
	int i;

	memset(fixed, 0, sizeof(fixed));
	for (i = 0; i < N; i++)
		t[i] = (struct place_target){1, 4, 0, 0};
	for (i = 0; i < SHARDS; i++) {
		owner[i] = i % N;
		load[i] = each;
		t[i % N].load += each;
		t[i % N].shards++;
	}
}

static int
balance(double tolerance, int max)
{
	return (place_balance(
	    t, N, owner, load, fixed, SHARDS, tolerance, moves, max));
}

static void
picks_least_utilised(void)
{
	spread_evenly(0.1);
	t[2].load = 0;
	CU_ASSERT_EQUAL(place_pick(t, N), 2);
	t[2].usable = 0;
	CU_ASSERT_NOT_EQUAL(place_pick(t, N), 2);
	t[0].usable = t[1].usable = t[3].usable = 0;
	CU_ASSERT_EQUAL(place_pick(t, N), -1);
}

/* Even load causes no moves, nor does an imbalance within the tolerance. */
static void
noise_is_ignored(void)
{
	spread_evenly(0.1);
	CU_ASSERT_EQUAL(balance(1.2, 8), 0);
	load[0] += 0.1;
	t[0].load += 0.1;
	CU_ASSERT_EQUAL(balance(1.2, 8), 0);
}

/* Shards move from an overloaded target to others, and the imbalance falls. */
static void
hot_target_is_relieved(void)
{
	double before;
	int i, n;

	spread_evenly(0.05);
	for (i = 0; i < SHARDS; i += N) {
		load[i] = 0.3;
		t[0].load += 0.25;
	}
	before = place_imbalance(t, N);
	n = balance(1.2, 8);
	CU_ASSERT(n > 0 && n <= 8);
	for (i = 0; i < n; i++) {
		CU_ASSERT_EQUAL(moves[i].from, 0);
		CU_ASSERT_NOT_EQUAL(moves[i].to, 0);
	}
	CU_ASSERT(place_imbalance(t, N) < before / 1.5);
}

/* One shard has all the load: moving it would only overload another target. */
static void
one_hot_shard_stays(void)
{
	spread_evenly(0.0);
	load[0] = 3;
	t[0].load = 3;
	owner[4] = 1;
	t[0].shards = 1;
	for (int i = 4; i < SHARDS; i += N)
		owner[i] = 1;
	CU_ASSERT_EQUAL(balance(1.2, 8), 0);
}

/* Shards that are already moving stay. */
static void
moving_shards_stay(void)
{
	spread_evenly(0.05);
	for (int i = 0; i < SHARDS; i += N) {
		load[i] = 0.3;
		t[0].load += 0.25;
		fixed[i] = 1;
	}
	CU_ASSERT_EQUAL(balance(1.2, 8), 0);
}

/*
 * A target recovers from a freeze with almost no shards while the fleet is
 * idle.  It gets up to half of its share; otherwise it would stay nearly empty
 * while a surge hits the others.  After that nothing moves, whatever the noise.
 */
static void
idle_fleet_fills_empty_target(void)
{
	int n;

	spread_evenly(0.001);
	for (int i = 2; i < SHARDS; i += N)
		owner[i] = 3;
	owner[2] = 2;
	t[2].shards = 1;
	t[2].load = 0.001;
	t[3].shards = 19;
	n = balance(1.2, 64);
	CU_ASSERT_EQUAL(n, 4);
	for (int i = 0; i < n; i++) {
		CU_ASSERT_EQUAL(moves[i].from, 3);
		CU_ASSERT_EQUAL(moves[i].to, 2);
		owner[moves[i].shard] = 2;
	}
	CU_ASSERT_EQUAL(t[2].shards, 5);
	CU_ASSERT_EQUAL(balance(1.2, 64), 0);
}

static const struct unit_test tests[] = {
    {"picks least utilised", picks_least_utilised},
    {"noise is ignored", noise_is_ignored},
    {"hot target is relieved", hot_target_is_relieved},
    {"one hot shard stays", one_hot_shard_stays},
    {"moving shards stay", moving_shards_stay},
    {"idle fleet fills an empty target", idle_fleet_fills_empty_target},
};
UNIT_MAIN("place", tests)
