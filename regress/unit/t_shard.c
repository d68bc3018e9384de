/* Keys map to shards evenly, and alike on all hosts and versions. */
#include <stdio.h>
#include <string.h>

#include "shard.h"
#include "unit.h"

/* A changed hash would send requests to targets that do not own their key. */
static void
known_values(void)
{
	CU_ASSERT_EQUAL(shard_of("lookup", "parish-1", 8, 64), 21);
	CU_ASSERT_EQUAL(shard_of("reserve", "parish-1", 8, 64), 0);
	CU_ASSERT_EQUAL(shard_of("lookup", "", 0, 64), 0);
}

/* Shards get about the same number of keys. */
static void
even(void)
{
	int count[64] = {0}, i;
	char key[16];

	for (i = 0; i < 64000; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		count[shard_of("lookup", key, strlen(key), 64)]++;
	}
	for (i = 0; i < 64; i++)
		CU_ASSERT(count[i] > 850 && count[i] < 1150);
}

static const struct unit_test tests[] = {
    {"known values", known_values},
    {"even", even},
};
UNIT_MAIN("shard", tests)
