/* The choice of the answer to give up for memory. */
#include <string.h>

#include "excess.h"
#include "unit.h"

/* Adds answers of so many bytes, and returns the index of the one to give up,
 * or -1. */
static int
choose(const size_t *sizes, int n, size_t max)
{
	struct excess e;
	const char *p;
	int i, at[8];

	memset(&e, 0, sizeof(e));
	for (i = 0; i < n; i++)
		excess_add(&e, sizes[i], sizes[i], &at[i]);
	p = excess_choose(&e, max);
	return (p == NULL ? -1 : (int)((const int *)(const void *)p - at));
}

/* An answer is given up though all fit, or a small one for a large one. */
static void
chosen(void)
{
	static const size_t sizes[] = {3, 0, 40, 7, 40};

	CU_ASSERT_EQUAL(choose(sizes, 5, 90), -1);
	CU_ASSERT_EQUAL(choose(sizes, 5, 89), 2);
	CU_ASSERT_EQUAL(choose(sizes, 2, 2), 0);
	CU_ASSERT_EQUAL(choose(sizes + 1, 1, 0), -1);
	CU_ASSERT_EQUAL(choose(sizes, 0, 0), -1);
}

static const struct unit_test tests[] = {{"chosen", chosen}};

UNIT_MAIN("excess", tests)
