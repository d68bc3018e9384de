/* Who owns a key, as hosts look it up, and the sample of keys asked for. */
#include <stdlib.h>
#include <string.h>

#include "heat.h"
#include "owners.h"
#include "unit.h"

static struct owners *
three(void)
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
	struct owners *o = three();

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
 * Far more requests than a report holds, a third of them for one key.  The
 * sample shows that key with about a third still.
 */
static void
heat(void)
{
	static struct heat h;
	int i, hot = 0;

	for (i = 0; i < 30000; i++)
		heat_add(&h, i % 3 == 0 ? 7 : (uint16_t)(i * 31 + 100));
	CU_ASSERT_EQUAL(h.n, HEAT_KEPT);
	CU_ASSERT_EQUAL(h.seen, 30000);
	for (i = 0; i < h.n; i++)
		hot += h.keys[i] == 7;
	CU_ASSERT(hot > HEAT_KEPT / 4 && hot < HEAT_KEPT / 2);
	heat_clear(&h);
	CU_ASSERT_EQUAL(h.n + (int)h.seen, 0);
}

static const struct unit_test tests[] = {
    {"find", find},
    {"heat", heat},
};
UNIT_MAIN("owners", tests)
