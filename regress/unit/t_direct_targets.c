/* The router's targets: what is looked at periodically does not grow with the
 * fleet, and nothing that is due is left out. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "direct.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 5
#define FEW 2000
#define MANY 20000

static struct conf settings;
static int ended;

/* Stands in for the kernel of services. */
const struct conf *
kernel_conf(const struct kernel *k)
{
	return (&settings);
}

/* Stands in for reports on crashes. */
void
crash_add_end(struct direct *d, struct target_state *s)
{
	ended++;
}

/* Returns a router without targets. */
static struct direct *
router_new(void)
{
	struct direct *d = calloc(1, sizeof(*d));
	static struct service s;

	apr_initialize();
	d->s = &s;
	d->hosts_known = 1;
	d->conf.hosts = 10;
	apr_pool_create(&d->pool, NULL);
	d->by_id = apr_hash_make(d->pool);
	return (d);
}

/* Lists the targets from..to-1. */
static void
list_targets(struct direct *d, int from, int to)
{
	struct fleet f;
	struct fleet_target *t;
	int i;

	memset(&f, 0, sizeof(f));
	f.targets = calloc((size_t)(to - from) + 1, sizeof(*f.targets));
	for (i = from; i < to; i++) {
		t = &f.targets[f.ntargets++];
		snprintf(t->id, sizeof(t->id), "i-%08x", (unsigned)i);
		snprintf(t->addr, sizeof(t->addr), "10.0.0.1:%d", i);
		t->service = "s";
		t->dc = "north";
		t->slots = 4;
	}
	targets_update(d, &f, MS(1000));
	free(f.targets);
}

/* Returns a target. */
static struct target_state *
target(struct direct *d, int i)
{
	char id[32];

	snprintf(id, sizeof(id), "i-%08x", (unsigned)i);
	return (target_state_find(d, id));
}

/* Returns the number of targets that are looked at. */
static int
count_noted(const struct direct *d)
{
	const struct target_state *s;
	int n = 0;

	for (s = d->noted; s != NULL; s = s->next_noted)
		n++;
	return (n);
}

/* Frees a router and its targets. */
static void
router_free(struct direct *d)
{
	list_targets(d, 0, 0);
	targets_sweep(d);
	CU_ASSERT_PTR_NULL(d->targets);
	CU_ASSERT_PTR_NULL(d->noted);
	apr_pool_destroy(d->pool);
	free(d);
}

/* Returns the least time of the periodic work of a few seconds, with requests
 * to ten targets. */
static usec
time_of(int n)
{
	struct direct *d = router_new();
	usec from, best = 0;
	int i, try;

	list_targets(d, 0, n);
	for (try = 0; try < TRIES; try++) {
		from = clock_mono();
		for (i = 0; i < 500; i++) {
			target(d, i % 10)->answers++;
			target_note(d, target(d, i % 10));
			targets_update_limits(d, MS(1000) + i * MS(20));
			targets_sweep(d);
			if (i % 10 == 0)
				targets_drop_notes(d, MS(1000));
		}
		from = clock_mono() - from;
		best = try == 0 || from < best ? from : best;
	}
	router_free(d);
	return (best);
}

/* Guards against periodic work at each target of a large fleet. */
static void
idle_targets_cost_nothing(void)
{
	usec few = time_of(FEW), many = time_of(MANY);

	printf("%d targets %lld us, %d targets %lld us\n", FEW, (long long)few,
	    MANY, (long long)many);
	CU_ASSERT(many <= 2 * few);
}

/* A target with a limit is looked at for as long as it has one. */
static void
limit_is_applied(void)
{
	struct direct *d = router_new();
	struct target_state *s;

	list_targets(d, 0, 100);
	CU_ASSERT_EQUAL(count_noted(d), 0);
	s = target(d, 7);
	s->dest.limit = 3;
	target_note(d, s);
	target_note(d, s);
	targets_drop_notes(d, MS(1000));
	CU_ASSERT_EQUAL(count_noted(d), 1);
	targets_update_limits(d, MS(1000));
	CU_ASSERT(s->dest.rate.limit == 3);
	s->dest.limit = -1;
	targets_drop_notes(d, MS(1000));
	CU_ASSERT_EQUAL(count_noted(d), 1);
	targets_update_limits(d, MS(1000));
	CU_ASSERT(s->dest.rate.limit < 0);
	targets_drop_notes(d, MS(1000));
	CU_ASSERT_EQUAL(count_noted(d), 0);
	router_free(d);
}

/* Guards against a target that is freed while a request refers to it, or never.
 */
static void
unlisted_targets_are_freed(void)
{
	struct direct *d = router_new();
	struct target_state *s;

	list_targets(d, 0, 10);
	s = target(d, 3);
	s->users = 1;
	list_targets(d, 5, 10);
	targets_sweep(d);
	CU_ASSERT_PTR_NULL(target(d, 2));
	CU_ASSERT_PTR_EQUAL(target(d, 3), s);
	targets_drop_notes(d, MS(1000));
	s->users = 0;
	targets_sweep(d);
	CU_ASSERT_PTR_NULL(target(d, 3));
	CU_ASSERT_PTR_NOT_NULL(target(d, 5));
	/* Listed again before it is freed. */
	s = target(d, 6);
	s->users = 1;
	list_targets(d, 7, 10);
	list_targets(d, 6, 10);
	s->users = 0;
	targets_sweep(d);
	CU_ASSERT_PTR_EQUAL(target(d, 6), s);
	router_free(d);
}

static const struct unit_test tests[] = {
    {"idle targets cost nothing", idle_targets_cost_nothing},
    {"limit is applied", limit_is_applied},
    {"unlisted targets are freed", unlisted_targets_are_freed},
};
#include "../../gspard/direct_targets.c"
UNIT_MAIN("direct_targets", tests)
