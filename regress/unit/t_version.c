/* Tests versions of objects in a store that may come back from an old copy. */
#include "unit.h"
#include "version.h"

/* Guards against taking a revision that was given out again for the earlier
 * one. */
static void
eras_differ(void)
{
	CU_ASSERT_NOT_EQUAL(version_make(1, 97), version_make(2, 97));
	CU_ASSERT(version_make(2, 1) > version_make(1, 5000000000u));
	CU_ASSERT_EQUAL(version_make(0, 97), 97);
}

static void
parts(void)
{
	uint64_t v = version_make(VERSION_ERA_MAX, VERSION_REVISION_MAX);

	CU_ASSERT_EQUAL(version_era(v), VERSION_ERA_MAX);
	CU_ASSERT_EQUAL(version_revision(v), VERSION_REVISION_MAX);
	CU_ASSERT_EQUAL(version_era(version_make(3, 8)), 3);
	/* No object, in any era. */
	CU_ASSERT_EQUAL(version_make(3, 0), 0);
}

/* Guards against taking the first era that is seen for one that has risen, and
 * a late response of an earlier one for the present. */
static void
rising(void)
{
	struct store_era e = {0, 0};

	CU_ASSERT(!era_rose(&e, 3));
	CU_ASSERT(!era_rose(&e, 3));
	CU_ASSERT(era_rose(&e, 4));
	CU_ASSERT(!era_rose(&e, 3));
	CU_ASSERT_EQUAL(e.number, 4);
	/* A store that states none until it first rises. */
	e.known = 0;
	CU_ASSERT(!era_rose(&e, 0));
	CU_ASSERT(era_rose(&e, 1));
}

static const struct unit_test tests[] = {
    {"eras differ", eras_differ},
    {"parts", parts},
    {"rising", rising},
};
UNIT_MAIN("version", tests)
