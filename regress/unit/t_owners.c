/* Lookup of key owners, differences of snapshots, and the sample of requested
 * keys. */
#include <stdlib.h>
#include <string.h>

#include "heat.h"
#include "owners.h"
#include "unit.h"

/* A snapshot with three ranges of one service. */
static struct owners *
three_ranges(void)
{
	struct owners *o = calloc(1, sizeof(*o));
	struct owner_service *s;

	o->services = calloc(1, sizeof(*o->services));
	o->nservices = 1;
	s = o->services;
	name_copy(s->name, sizeof(s->name), "s");
	s->ranges = calloc(3, sizeof(*s->ranges));
	s->nranges = 3;
	s->ranges[0] = (struct owner_range){0, 99, 1, 0, 0};
	s->ranges[1] = (struct owner_range){100, 100, 2, 1, 0};
	s->ranges[2] = (struct owner_range){101, KEYS - 1, 1, 0, 0};
	return (o);
}

static void
find(void)
{
	struct owners *o = three_ranges();

	CU_ASSERT_EQUAL(owners_find(o, "s", 0)->target, 1);
	CU_ASSERT_EQUAL(owners_find(o, "s", 99)->to, 99);
	CU_ASSERT_EQUAL(owners_find(o, "s", 100)->target, 2);
	CU_ASSERT_EQUAL(owners_find(o, "s", 101)->from, 101);
	CU_ASSERT_EQUAL(owners_find(o, "s", KEYS - 1)->from, 101);
	CU_ASSERT_PTR_NULL(owners_find(o, "other", 0));
	CU_ASSERT_PTR_NULL(owners_find(NULL, "s", 0));
	owners_free(o);
}

/*
 * With far more requests than a report holds, a third of them for one key,
 * about a third of the sample is that key.
 */
static void
heat(void)
{
	static struct heat h;
	int i, hot = 0;

	for (i = 0; i < 30000; i++)
		heat_add(&h, i % 3 == 0 ? 7 : (uint16_t)(i * 31 + 100));
	CU_ASSERT_EQUAL(h.n, HEAT_SAMPLE_MAX);
	CU_ASSERT_EQUAL(h.requests, 30000);
	for (i = 0; i < h.n; i++)
		hot += h.keys[i] == 7;
	CU_ASSERT(hot > HEAT_SAMPLE_MAX / 4 && hot < HEAT_SAMPLE_MAX / 2);
	heat_clear(&h);
	CU_ASSERT_EQUAL(h.n + (int)h.requests, 0);
}

/* A snapshot with random boundaries and owners of ranges. */
static struct owners *
random_owners(uint64_t number, unsigned *seed)
{
	static const char *const names[] = {"a", "b", "c", "d", "e"};
	struct owners *o = calloc(1, sizeof(*o));
	struct owner_service *s;
	uint32_t at = 0;
	int i;

	o->number = number;
	o->targets = calloc(5, sizeof(*o->targets));
	for (i = 0; i < 5; i++)
		name_copy(o->targets[o->ntargets++], NAME_MAX_GS, names[i]);
	o->services = calloc(1, sizeof(*o->services));
	o->nservices = 1;
	s = o->services;
	name_copy(s->name, sizeof(s->name), "s");
	s->ranges = calloc(200, sizeof(*s->ranges));
	while (at < KEYS) {
		*seed = *seed * 1103515245 + 12345;
		s->ranges[s->nranges].from = at;
		at += 300 + (*seed >> 16) % 2000;
		if (at > KEYS || KEYS - at < 300)
			at = KEYS;
		s->ranges[s->nranges].to = at - 1;
		s->ranges[s->nranges].target = (int)(*seed >> 8) % 6 - 1;
		s->ranges[s->nranges++].moving = (*seed >> 12) % 7 == 0;
	}
	return (o);
}

/* Changes the owner, and where possible a boundary, of some ranges. */
static void
change_some(struct owners *o, unsigned *seed)
{
	struct owner_service *s = o->services;
	int i, n;

	for (i = 0; i < 4; i++) {
		*seed = *seed * 1103515245 + 12345;
		n = (int)(*seed >> 16) % (s->nranges - 1);
		s->ranges[n].target = (int)(*seed >> 8) % 6 - 1;
		if (s->ranges[n].to - s->ranges[n].from > 150) {
			s->ranges[n].to -= 100;
			s->ranges[n + 1].from -= 100;
		}
	}
	o->number++;
}

/* True if both give the same owner and state for each key. */
static int
same_owners(const struct owners *a, const struct owners *b)
{
	const struct owner_range *ra, *rb;
	uint32_t key;

	for (key = 0; key < KEYS; key += 7) {
		ra = owners_find(a, "s", key);
		rb = owners_find(b, "s", key);
		if (ra == NULL || rb == NULL || ra->moving != rb->moving ||
		    strcmp(ra->target < 0 ? "" : a->targets[ra->target],
			rb->target < 0 ? "" : b->targets[rb->target]) != 0)
			return (0);
	}
	return (1);
}

/*
 * A host receives only differences to the snapshot that it has.  Over many
 * changes, applying them gives the same owner for each key as the controller
 * has, and the differences stay small.
 */
static void
differences(void)
{
	struct owners *current, *host, *old, *d, *next;
	unsigned seed = 7;
	int i;

	old = random_owners(1, &seed);
	seed = 7;
	host = random_owners(1, &seed);
	seed = 7;
	current = random_owners(1, &seed);
	seed = 99;
	for (i = 0; i < 200; i++) {
		unsigned before = seed;

		change_some(current, &seed);
		d = owners_diff(old, current);
		CU_ASSERT(d->services[0].nranges <= 8);
		next = owners_apply(host, d);
		owners_free(host);
		host = next;
		CU_ASSERT_EQUAL(host->number, current->number);
		CU_ASSERT_FATAL(same_owners(host, current));
		change_some(old, &before);
		owners_free(d);
	}
	/* A difference in which all boundaries are new. */
	next = random_owners(1000, &seed);
	d = owners_diff(host, next);
	owners_free(current);
	current = owners_apply(host, d);
	CU_ASSERT(same_owners(current, next));
	owners_free(d);
	owners_free(next);
	owners_free(current);
	owners_free(host);
	owners_free(old);
}

static const struct unit_test tests[] = {
    {"find", find},
    {"differences", differences},
    {"heat", heat},
};
UNIT_MAIN("owners", tests)
