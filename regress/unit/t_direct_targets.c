/* The router's targets: what is looked at periodically does not grow with the
 * fleet, and nothing that is due is left out. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "direct.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 20
#define FEW 2000
#define MANY 20000

static struct conf settings;
static int ended;
static int looks; /* at the settings */

/* Stands in for the kernel of services. */
const struct conf *
kernel_conf(const struct kernel *k)
{
	looks++;
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

/* Makes a list of the targets from..to-1. */
static struct fleet
make_list(int from, int to)
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
	return (f);
}

/* Lists the targets from..to-1. */
static void
list_targets(struct direct *d, int from, int to)
{
	struct fleet f = make_list(from, to);

	targets_update(d, NULL, &f, MS(1000));
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

/* True if two routers have the same targets in the same state. */
static int
are_alike(struct direct *a, struct direct *b, int n)
{
	struct target_state *s, *t;
	int i, same = 1;

	for (i = 0; i < n; i++) {
		s = target(a, i);
		t = target(b, i);
		same &= (s == NULL) == (t == NULL);
		if (s == NULL || t == NULL)
			continue;
		same &= s->listed == t->listed &&
		    s->dest.leaving == t->dest.leaving &&
		    s->dest.slots == t->dest.slots &&
		    strcmp(s->addr, t->addr) == 0;
	}
	return (same);
}

/* What is updated from differences is what is updated from whole lists: targets
 * come, change, leave and go, and the last takes the place of one that goes. */
static void
differences(void)
{
	struct direct *whole = router_new(), *part = router_new();
	struct fleet was = make_list(0, 60), f;
	uint64_t seed = 3;
	int round, i, at, next = 60;

	targets_update(whole, NULL, &was, MS(1000));
	targets_update(part, NULL, &was, MS(1000));
	for (round = 0; round < 300; round++) {
		f = make_list(0, 300);
		f.ntargets = was.ntargets;
		memcpy(f.targets, was.targets,
		    sizeof(*f.targets) * (size_t)was.ntargets);
		for (i = 0; i < 3; i++) {
			seed =
			    seed * 6364136223846793005u + 1442695040888963407u;
			at = (int)((seed >> 33) % (uint64_t)f.ntargets);
			if (i == 0 && next < 300) {
				struct fleet one = make_list(next, next + 1);

				f.targets[f.ntargets++] = one.targets[0];
				free(one.targets);
				next++;
			} else if (i == 1 && f.ntargets > 20)
				f.targets[at] = f.targets[--f.ntargets];
			else {
				f.targets[at].leaving ^= 1;
				f.targets[at].slots = 1 + round % 5;
			}
		}
		targets_update(whole, NULL, &f, MS(1000));
		targets_update(part, &was, &f, MS(1000));
		targets_sweep(whole);
		targets_sweep(part);
		CU_ASSERT(are_alike(whole, part, 300));
		free(was.targets);
		was = f;
	}
	free(was.targets);
	router_free(whole);
	router_free(part);
}

/* Returns how often entries are looked at in an update, by what each needs of
 * the settings. */
static int
count_looks(struct direct *d, const struct fleet *was, const struct fleet *f)
{
	int before = looks;

	targets_update(d, was, f, MS(1000));
	return (looks - before);
}

/* Guards against a change of one target that has all of them updated. */
static void
one_change(void)
{
	struct direct *d = router_new();
	struct fleet was = make_list(0, MANY), f = make_list(0, MANY);
	int one;

	CU_ASSERT(count_looks(d, NULL, &was) >= MANY);
	f.targets[MANY / 2].slots = 5;
	one = count_looks(d, &was, &f);
	CU_ASSERT(one > 0 && one <= 4);
	CU_ASSERT_EQUAL(target(d, MANY / 2)->dest.slots, 5);
	free(was.targets);
	free(f.targets);
	router_free(d);
}

static const struct unit_test tests[] = {
    {"idle targets cost nothing", idle_targets_cost_nothing},
    {"limit is applied", limit_is_applied},
    {"unlisted targets are freed", unlisted_targets_are_freed},
    {"differences", differences},
    {"one change", one_change},
};

/* Stands in for reference counts. */
struct shared *
shared_ref(struct shared *s)
{
	return (s);
}

/* Stands in for reference counts. */
void
shared_unref(void *s)
{
}

#include "../../gspard/direct_targets.c"
UNIT_MAIN("direct_targets", tests)
