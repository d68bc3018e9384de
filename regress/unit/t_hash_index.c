/* The hash index: positions come and go, and time grows with their number. */
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "hash_index.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 5
#define MANY 20000

/* Returns the position of a number that is its own key, or -1. */
static int
find(const struct hash_index *x, uint64_t key, uint64_t hash)
{
	int i;

	for (i = hash_index_first(x, hash); i >= 0; i = hash_index_next(x, i)) {
		if ((uint64_t)i == key)
			return (i);
	}
	return (-1);
}

/* Keys of the same hash are all found, and none after its removal. */
static void
same_hash(void)
{
	struct hash_index x;
	uint64_t i;

	memset(&x, 0, sizeof(x));
	CU_ASSERT_EQUAL(hash_index_first(&x, 7), -1);
	CU_ASSERT_EQUAL(hash_index_reserve(&x, 40), 0);
	for (i = 0; i < 40; i++)
		hash_index_add(&x, (int)i, i % 2 == 0 ? 7 : i);
	for (i = 0; i < 40; i += 2)
		CU_ASSERT_EQUAL(find(&x, i, 7), (int)i);
	hash_index_remove(&x, 10);
	hash_index_remove(&x, 10);
	hash_index_remove(&x, 1000);
	CU_ASSERT_EQUAL(find(&x, 10, 7), -1);
	CU_ASSERT_EQUAL(find(&x, 12, 7), 12);
	CU_ASSERT_EQUAL(find(&x, 9, 9), 9);
	hash_index_clear(&x);
	CU_ASSERT_EQUAL(hash_index_first(&x, 7), -1);
	hash_index_free(&x);
}

/* What is in the index stays there while it grows. */
static void
growth(void)
{
	struct hash_index x;
	int i, n, lost = 0;

	memset(&x, 0, sizeof(x));
	for (n = 1; n <= 300; n++) {
		CU_ASSERT_EQUAL(hash_index_reserve(&x, n), 0);
		hash_index_add(
		    &x, n - 1, (uint64_t)(n - 1) * 0x9e3779b97f4a7c15u);
		for (i = 0; i < n; i++)
			lost += find(&x, (uint64_t)i,
				    (uint64_t)i * 0x9e3779b97f4a7c15u) != i;
	}
	CU_ASSERT_EQUAL(lost, 0);
	hash_index_free(&x);
}

/* Returns the least time to add, find and remove n names. */
static usec
time_of(int n)
{
	struct hash_index x;
	char name[32];
	usec from, best = 0;
	int i, try, lost = 0;

	for (try = 0; try < TRIES; try++) {
		memset(&x, 0, sizeof(x));
		from = clock_mono();
		for (i = 0; i < n; i++) {
			snprintf(name, sizeof(name), "host-%d", i);
			hash_index_reserve(&x, i + 1);
			hash_index_add(&x, i, hash_name(name));
			lost += find(&x, (uint64_t)i, hash_name(name)) != i;
		}
		for (i = 0; i < n; i++)
			hash_index_remove(&x, i);
		from = clock_mono() - from;
		hash_index_free(&x);
		best = try == 0 || from < best ? from : best;
	}
	CU_ASSERT_EQUAL(lost, 0);
	return (best);
}

/* Ten times the names may take 15 times as long; quadratic growth takes 100. */
static void
linear_time(void)
{
	usec few = time_of(MANY / 10), many = time_of(MANY);

	printf("%d names %lld us, %d names %lld us\n", MANY / 10,
	    (long long)few, MANY, (long long)many);
	CU_ASSERT(many <= 15 * few);
}

static const struct unit_test tests[] = {
    {"same hash", same_hash},
    {"growth", growth},
    {"linear time", linear_time},
};
UNIT_MAIN("hash_index", tests)
