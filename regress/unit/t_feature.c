/*
 * The features of BUILD=ablation: disabling one disables that and nothing else.
 * Those in gspard/direct_*.c cannot be tested without a network.
 */
#include <stdlib.h>
#include <string.h>

#include "dest.h"
#include "feature.h"
#include "keys.h"
#include "membership.h"
#include "standby.h"
#include "unit.h"

static const struct dest_conf twelve = {12};

/* A list with an unknown name is an error and changes nothing: otherwise an
 * ablation run would measure with the feature still enabled. */
static void
names(void)
{
	int f;

	CU_ASSERT_EQUAL(features_off(""), 0);
	for (f = 0; f < FEATURES; f++) {
		CU_ASSERT(feature_on((enum feature)f));
		CU_ASSERT_EQUAL(features_off(feature_name((enum feature)f)), 0);
		CU_ASSERT(!feature_on((enum feature)f));
	}
	CU_ASSERT_EQUAL(features_off(" far  cold "), 0);
	CU_ASSERT(!feature_on(FEATURE_FAR));
	CU_ASSERT(!feature_on(FEATURE_COLD));
	CU_ASSERT(feature_on(FEATURE_SPREAD));
	CU_ASSERT_EQUAL(features_off("spread fart"), -1);
	CU_ASSERT_EQUAL(features_off("fa"), -1);
	CU_ASSERT(!feature_on(FEATURE_FAR));
	CU_ASSERT(feature_on(FEATURE_SPREAD));
	CU_ASSERT_EQUAL(features_off(""), 0);
	CU_ASSERT(feature_on(FEATURE_FAR));
}

/* Returns a target for which every part of the cost is raised. */
static struct dest
bad_target(void)
{
	struct dest_answer slow = {
	    DEST_ANSWERED, MS(300), MS(100), {1, 4, 0, 0, 0}};
	struct dest_answer failed = {
	    DEST_FAILED, MS(10), MS(100), {1, 4, 9, 0, 0}};
	struct dest d;

	dest_init(&d, 4);
	d.cold_until = MS(9000);
	dest_ended(&d, MS(1000), &slow);
	dest_ended(&d, MS(1000), &failed);
	return (d);
}

/* Returns the cost of a request there with features disabled. */
static double
cost_without(const char *name)
{
	struct dest d;

	CU_ASSERT_EQUAL(features_off(name), 0);
	d = bad_target();
	return (dest_cost(&d, MS(1000), MS(100), MS(100)));
}

static void
costs(void)
{
	const char *features[] = {"cold", "fails", "far", "others", "speed"};
	double all_on = cost_without("");
	size_t i;

	for (i = 0; i < sizeof(features) / sizeof(features[0]); i++)
		CU_ASSERT(cost_without(features[i]) < all_on - 1);
	/* Other features do not affect the cost. */
	CU_ASSERT_DOUBLE_EQUAL(cost_without("rest join doubt"), all_on, 1e-6);
	CU_ASSERT_DOUBLE_EQUAL(
	    cost_without("cold fails far others speed"), 100000, 1);
}

static void
inflight_limit(void)
{
	struct dest d;

	CU_ASSERT_EQUAL(features_off(""), 0);
	dest_init(&d, 4);
	dest_sent(&d, 0);
	dest_sent(&d, 0);
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
	CU_ASSERT_EQUAL(features_off("fill"), 0);
	CU_ASSERT(dest_can_send(&d, MS(1000), &twelve));
	/* A target that leaves still gets no requests. */
	d.leaving = 1;
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
}

static void
backoff(void)
{
	const enum dest_end ends[] = {DEST_UNREACHED, DEST_REFUSED};
	struct dest_answer a = {DEST_UNREACHED, 0, MS(100), {0, 0, 0, 0, 0}};
	struct dest d;
	size_t i;

	for (i = 0; i < 2; i++) {
		a.end = ends[i];
		CU_ASSERT_EQUAL(features_off(""), 0);
		dest_init(&d, 4);
		dest_ended(&d, MS(1000), &a);
		CU_ASSERT(!dest_usable(&d, MS(1010)));
		CU_ASSERT_EQUAL(features_off("shun"), 0);
		dest_init(&d, 4);
		dest_ended(&d, MS(1000), &a);
		CU_ASSERT(dest_usable(&d, MS(1010)));
	}
}

/* Returns whether an entry that lapses just after an outage is gone. */
static int
lapsed_is_gone(void)
{
	struct membership k;
	struct fleet_target t;
	int gone;

	memset(&k, 0, sizeof(k));
	memset(&t, 0, sizeof(t));
	k.heartbeat = MS(900);
	name_copy(t.id, sizeof(t.id), "t1");
	membership_entry_put(&k, &t, MS(1));
	membership_store_failed(&k, MS(1000));
	membership_store_answered(&k, MS(4000));
	membership_entry_removed(&k, "t1", MS(4100));
	gone = k.list[0].t.gone;
	membership_free(&k);
	return (gone);
}

static void
doubt(void)
{
	CU_ASSERT_EQUAL(features_off(""), 0);
	CU_ASSERT(!lapsed_is_gone());
	CU_ASSERT_EQUAL(features_off("doubt"), 0);
	CU_ASSERT(lapsed_is_gone());
}

static void
standby(void)
{
	struct candidate c[3];
	struct member m[STANDBYS_MAX];
	int i;

	memset(c, 0, sizeof(c));
	for (i = 0; i < 3; i++) {
		name_copy(c[i].dc, sizeof(c[i].dc), i == 0 ? "south" : "north");
		c[i].process.host[0] = (char)('a' + i);
		c[i].max_hosts = 50 * (i + 1);
	}
	CU_ASSERT_EQUAL(features_off(""), 0);
	standbys_pick(c, 3, "south", m);
	CU_ASSERT_STRING_EQUAL(m[0].host, "c");
	CU_ASSERT(bootstrap_delay(50) > 0);
	CU_ASSERT_EQUAL(features_off("standby"), 0);
	standbys_pick(c, 3, "south", m);
	CU_ASSERT_STRING_EQUAL(m[0].host, "a");
	CU_ASSERT_EQUAL(bootstrap_delay(50), 0);
}

/* Two targets with half of the keys each; the second is three times as fast. */
static struct keys *
two_targets(void)
{
	static const struct keys_conf conf;
	struct keys *k = calloc(1, sizeof(*k));
	struct key_range *r;
	int i;

	keys_init(k, "s", &conf, NULL, NULL);
	keys_ranges_reserve(k, 2);
	k->nranges = 2;
	for (i = 0; i < 2; i++) {
		keys_target_add(k, i == 0 ? "a" : "b");
		k->targets[i].listed = 1;
		k->targets[i].leaving = 0;
		k->targets[i].slots = 4;
		k->targets[i].latency_ratio = i == 0 ? 1.5 : 0.5;
		r = &k->ranges[i];
		memset(r, 0, sizeof(*r));
		r->from = i == 0 ? 0 : KEYS / 2;
		r->to = i == 0 ? KEYS / 2 - 1 : KEYS - 1;
		r->owner = i;
		r->next = NO_TARGET;
		r->confirmed = 1;
	}
	return (k);
}

/* Returns the owner of a key after one planning round. */
static int
planned_owner(struct keys *k, uint32_t key)
{
	int i, to = NO_TARGET;

	keys_plan(k, MS(5000));
	for (i = 0; i < k->nranges; i++) {
		if (key >= k->ranges[i].from && key <= k->ranges[i].to)
			to = k->ranges[i].next != NO_TARGET
			    ? k->ranges[i].next
			    : k->ranges[i].owner;
	}
	keys_free(k);
	free(k);
	return (to);
}

/* Returns the new owner of the only key with any load. */
static int
hottest_key_owner(void)
{
	struct keys *k = two_targets();

	k->load[100] = 1000;
	return (planned_owner(k, 100));
}

/* Returns the new owner of a key in a busy range that moved at moved_at. */
static int
moved_key_owner(usec moved_at)
{
	struct keys *k = two_targets();
	uint32_t i;

	k->ranges[0].moved_at = moved_at;
	for (i = 0; i < 1000; i++)
		k->load[i] = 20;
	return (planned_owner(k, 0));
}

static void
moves(void)
{
	CU_ASSERT_EQUAL(features_off(""), 0);
	CU_ASSERT_EQUAL(hottest_key_owner(), 1);
	CU_ASSERT_EQUAL(moved_key_owner(0), 1);
	CU_ASSERT_EQUAL(moved_key_owner(MS(4500)), 0);
	CU_ASSERT_EQUAL(features_off("hottest"), 0);
	CU_ASSERT_EQUAL(hottest_key_owner(), 0);
	CU_ASSERT_EQUAL(features_off("rest"), 0);
	CU_ASSERT_EQUAL(moved_key_owner(MS(4500)), 1);
}

/* Load estimates of a key that was requested once, and of the next key. */
static void
neighbours(void)
{
	struct keys *k = two_targets();

	CU_ASSERT_EQUAL(features_off(""), 0);
	k->load[100] = 1;
	keys_plan(k, MS(5000));
	CU_ASSERT_DOUBLE_EQUAL(k->estimate[100], k->estimate[101], 1e-6);
	CU_ASSERT_EQUAL(features_off("neighbours"), 0);
	keys_plan(k, MS(5000));
	CU_ASSERT_DOUBLE_EQUAL(k->estimate[100], 1, 1e-6);
	CU_ASSERT_DOUBLE_EQUAL(k->estimate[101], 0, 1e-6);
	free(k);
}

/* Returns how many of many small ranges without load, which alternate between
 * two targets, are planned to move. */
static int
ranges_to_merge(void)
{
	struct keys *k = two_targets();
	int i, n = 0;

	for (i = 0; i < 40; i++) {
		k->ranges[i] = k->ranges[0];
		k->ranges[i].from = (uint32_t)i * 10;
		k->ranges[i].to = i == 39 ? KEYS - 1 : (uint32_t)i * 10 + 9;
		k->ranges[i].owner = i % 2;
	}
	k->nranges = 40;
	for (i = 0; i < KEYS; i++)
		k->load[i] = i < 400 ? 0 : 1;
	/* Nothing to balance: the large range matches its owner's capacity. */
	k->targets[1].slots = 40;
	keys_plan(k, MS(5000));
	for (i = 0; i < k->nranges; i++)
		n += k->ranges[i].next != NO_TARGET &&
		    k->ranges[i].to - k->ranges[i].from == 9;
	free(k);
	return (n);
}

static void
merging(void)
{
	CU_ASSERT_EQUAL(features_off(""), 0);
	CU_ASSERT(ranges_to_merge() > 0);
	CU_ASSERT_EQUAL(features_off("join"), 0);
	CU_ASSERT_EQUAL(ranges_to_merge(), 0);
}

static const struct unit_test tests[] = {
    {"names", names},
    {"cost of a target", costs},
    {"requests in flight", inflight_limit},
    {"backoff", backoff},
    {"lapsed entries", doubt},
    {"standbys", standby},
    {"moves", moves},
    {"neighbours", neighbours},
    {"merging of cold ranges", merging},
};
UNIT_MAIN("feature", tests)
