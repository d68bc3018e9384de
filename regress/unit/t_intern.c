/* Names that are held once. */
#include <stdio.h>
#include <string.h>

#include "intern.h"
#include "unit.h"

static void
one_copy(void)
{
	char a[] = "north", b[] = "north";

	CU_ASSERT_PTR_EQUAL(intern(a), intern(b));
	CU_ASSERT_PTR_NOT_EQUAL(intern(a), a);
	CU_ASSERT_STRING_EQUAL(intern("south"), "south");
	CU_ASSERT_PTR_NOT_EQUAL(intern("south"), intern("north"));
	CU_ASSERT_STRING_EQUAL(intern(""), "");
}

/* Guards against memory that grows with names that anybody writes. */
static void
too_many(void)
{
	char name[32];
	int i, refused = 0;

	for (i = 0; i < 2 * INTERN_MAX; i++) {
		snprintf(name, sizeof(name), "name-%d", i);
		refused += intern(name) == NULL;
	}
	CU_ASSERT(refused >= INTERN_MAX);
	CU_ASSERT_PTR_NOT_NULL(intern("north"));
	CU_ASSERT_STRING_EQUAL(intern("name-1"), "name-1");
}

static const struct unit_test tests[] = {
    {"one copy", one_copy},
    {"too many", too_many},
};
UNIT_MAIN("intern", tests)
