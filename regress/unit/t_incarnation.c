/* Names of incarnations of targets. */
#include "incarnation.h"
#include "str.h"
#include "unit.h"

/* A name gives the target, and which of two incarnations is later. */
static void
names(void)
{
	char a[NAME_MAX_GS], b[NAME_MAX_GS], plain[NAME_MAX_GS];

	CU_ASSERT_EQUAL(incarnation_format(a, sizeof(a), "i-7", 999), 0);
	CU_ASSERT_EQUAL(incarnation_format(b, sizeof(b), "i-7", 1000), 0);
	CU_ASSERT_EQUAL(incarnation_format(plain, sizeof(plain), "i-7", 0), 0);
	CU_ASSERT(incarnation_is_of(a, "i-7") && incarnation_is_of(b, "i-7"));
	CU_ASSERT(!incarnation_is_of(a, "i-77") && !incarnation_is_of(a, "i-"));
	CU_ASSERT(incarnation_same_target(a, b));
	CU_ASSERT(incarnation_follows(b, a) && !incarnation_follows(a, b));
	CU_ASSERT(!incarnation_follows(a, a));
	/* A name without a start time is earlier than any other. */
	CU_ASSERT(incarnation_is_of(plain, "i-7"));
	CU_ASSERT(incarnation_follows(a, plain));
	CU_ASSERT(!incarnation_follows(b, "i-8#1"));
}

/* A name that does not fit is not truncated: it would be another target's. */
static void
too_long(void)
{
	char small[8];

	CU_ASSERT_EQUAL(incarnation_format(small, 8, "i-7", 999), 0);
	CU_ASSERT_EQUAL(incarnation_format(small, 8, "i-7", 10000), -1);
	/* An id that looks like an incarnation's name is rejected. */
	CU_ASSERT_EQUAL(incarnation_format(small, 8, "i#7", 0), -1);
}

static const struct unit_test tests[] = {
    {"names", names},
    {"too long", too_long},
};
UNIT_MAIN("incarnation", tests)
