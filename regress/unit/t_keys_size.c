/* Keys of a service with thousands of targets: who owns them, and what a change
 * of the targets or an answered grant costs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keys.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 5
#define GRANT_TRIES 20
#define FEW 800
#define MANY 8000
/* Targets of other services for each of this one's. */
#define OTHERS 2

static struct keys k;
static struct fleet fleet;
static uint64_t orders[65536];
static int norders, events;

/* The store is read: it has no owners yet. */
static void
get(void *arg, const char *service)
{
	keys_get_done(&k, MS(1), 0, 0, "", 0);
}

/* Takes a write; its outcome comes later. */
static void
put(void *arg, const char *service, uint64_t base, const char *json)
{
	CU_ASSERT(strlen(json) < 1048576);
}

/* Takes an order. */
static void
order(void *arg, const char *service, const struct key_order *o)
{
	if (norders < (int)(sizeof(orders) / sizeof(orders[0])))
		orders[norders++] = o->id;
}

/* Counts what is logged. */
static void
event(void *arg, const char *service, const char *what)
{
	events += strstr(what, "spare") != NULL;
}

static const struct keys_callbacks callbacks = {get, put, order, event};
static const struct keys_conf conf = {
    MS(3000), MS(1000), MS(500), MS(100), 0, 0};

/* Makes a list of n targets of the service and twice as many of others. */
static void
make_fleet(int n)
{
	struct fleet_target *t;
	int i;

	free(fleet.targets);
	memset(&fleet, 0, sizeof(fleet));
	fleet.ntargets = n * (1 + OTHERS);
	fleet.targets = calloc((size_t)fleet.ntargets, sizeof(*t));
	for (i = 0; i < fleet.ntargets; i++) {
		t = &fleet.targets[i];
		snprintf(
		    t->id, sizeof(t->id), "i-%08x", (unsigned)i * 2654435761u);
		snprintf(t->addr, sizeof(t->addr), "10.0.0.1:%d", i);
		t->service = i % (1 + OTHERS) == 0 ? "s" : "other";
		t->dc = "north";
		t->slots = 4;
	}
}

/* Does what is due, then stores what was written. */
static void
step(usec now)
{
	keys_tick(&k, now);
	if (k.put_pending)
		keys_put_done(&k, now, keys_write_id(&k), PUT_DONE, 1);
	keys_tick(&k, now);
}

/* Answers all orders. */
static void
answer_orders(usec now)
{
	int i;

	for (i = 0; i < norders; i++)
		keys_order_done(&k, now, orders[i], 200, "");
	norders = 0;
}

/* Has n targets own all keys. */
static usec
assign_all(int n)
{
	usec now;

	keys_free(&k);
	keys_init(&k, "s", &conf, &callbacks, NULL);
	norders = events = 0;
	make_fleet(n);
	keys_begin(&k, 1, MS(1));
	keys_set_fleet(&k, &fleet, MS(1));
	for (now = MS(300); now < MS(1500); now += MS(25)) {
		step(now);
		answer_orders(now);
	}
	return (now);
}

/* Returns how many targets own keys; all keys must have an owner. */
static int
count_owners(void)
{
	char *owns = calloc((size_t)k.ntargets, 1);
	int i, n = 0;

	for (i = 0; i < k.nranges; i++) {
		CU_ASSERT_FATAL(k.ranges[i].owner != NO_TARGET);
		n += !owns[k.ranges[i].owner];
		owns[k.ranges[i].owner] = 1;
	}
	free(owns);
	return (n);
}

/* Guards against targets that get no keys although nothing says so. */
static void
spare_targets(void)
{
	assign_all(KEYS_OWNERS_MAX);
	CU_ASSERT_EQUAL(count_owners(), KEYS_OWNERS_MAX);
	CU_ASSERT_EQUAL(events, 0);
	assign_all(MANY);
	CU_ASSERT_EQUAL(k.ntargets, MANY);
	CU_ASSERT_EQUAL(count_owners(), KEYS_OWNERS_MAX);
	CU_ASSERT_EQUAL(events, 1);
}

/* Guards against spare targets that get no keys when owners are lost. */
static void
spare_replaces_lost(void)
{
	usec now = assign_all(MANY), end = now + MS(5000);
	const char *lost = k.targets[k.ranges[5].owner].id;
	int i;

	for (i = 0; i < fleet.ntargets; i++) {
		if (strcmp(fleet.targets[i].id, lost) == 0)
			fleet.targets[i].gone = fleet.targets[i].leaving = 1;
	}
	keys_set_fleet(&k, &fleet, now);
	for (; now < end; now += MS(25)) {
		step(now);
		answer_orders(now);
	}
	CU_ASSERT_EQUAL(count_owners(), KEYS_OWNERS_MAX);
	for (i = 0; i < k.nranges; i++)
		CU_ASSERT(!k.targets[k.ranges[i].owner].leaving);
}

/* Returns the least time to take a first list of targets, and the same again.
 */
static usec
time_of_list(int n)
{
	usec from, best = 0;
	int try;

	make_fleet(n);
	for (try = 0; try < TRIES; try++) {
		keys_free(&k);
		keys_init(&k, "s", &conf, &callbacks, NULL);
		from = clock_mono();
		keys_set_fleet(&k, &fleet, MS(1));
		keys_set_fleet(&k, &fleet, MS(2));
		from = clock_mono() - from;
		best = try == 0 || from < best ? from : best;
	}
	return (best);
}

/* Ten times the targets may take 15 times as long. */
static void
linear_time(void)
{
	usec few = time_of_list(FEW), many = time_of_list(MANY);

	printf("list: %d targets %lld us, %d targets %lld us\n", FEW,
	    (long long)few, MANY, (long long)many);
	CU_ASSERT(many <= 15 * few);
}

/* Returns the least time to send and handle a round of grants, divided by their
 * number, in nanoseconds. */
static usec
time_of_grant(int n)
{
	usec now = assign_all(n), from, each, best = 0;
	int i, try, sent;

	for (try = 0; try < GRANT_TRIES; try++) {
		now += MS(1100);
		from = clock_mono();
		for (i = 0, sent = 0; i < 2; i++) {
			keys_grants_tick(&k, now);
			sent += norders;
			answer_orders(now);
		}
		each = (clock_mono() - from) * 1000 / (sent > 0 ? sent : 1);
		best = try == 0 || each < best ? each : best;
	}
	return (best);
}

/* A grant costs the same whatever the number of targets.  Both are measured by
 * turns, as the processor's speed changes. */
static void
grants(void)
{
	usec few = time_of_grant(100), many = time_of_grant(1000), t;
	int i;

	for (i = 0; i < TRIES; i++) {
		t = time_of_grant(100);
		few = t < few ? t : few;
		t = time_of_grant(1000);
		many = t < many ? t : many;
	}
	printf("grant: 100 owners %lld ns, 1000 owners %lld ns\n",
	    (long long)few, (long long)many);
	CU_ASSERT(many <= 2 * few);
}

static const struct unit_test tests[] = {
    {"spare targets", spare_targets},
    {"spare replaces lost", spare_replaces_lost},
    {"linear time", linear_time},
    {"grants", grants},
};
UNIT_MAIN("keys_size", tests)
