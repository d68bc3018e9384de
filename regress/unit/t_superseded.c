/* Tests that hosts whose update is on its way are distinguished from those that
 * have lost one. */
#include <string.h>

#include "superseded.h"
#include "unit.h"

/*
 * During a rolling replacement of targets the list changes every 300 ms, and an
 * update takes some of that time to reach a host.  A host that lost an update,
 * because control moved to another host just then, would go on using a target
 * that has left.  It must be found although the list keeps changing, and must
 * not be confused with hosts whose update is still on its way.
 */
static void
frequent_changes(void)
{
	struct superseded l;
	usec now = MS(1000);
	uint64_t n;

	memset(&l, 0, sizeof(l));
	for (n = 1; n < 50; n++) {
		superseded_add(&l, n, now);
		CU_ASSERT(superseded_within(&l, n, MS(400), now + MS(100)));
		CU_ASSERT(n < 4 || !superseded_within(&l, n - 3, MS(400), now));
		CU_ASSERT(!superseded_within(&l, 777, MS(400), now));
		now += MS(300);
	}
}

/* Before the first change no version counts as replaced, 0 included. */
static void
no_change_yet(void)
{
	struct superseded l;

	memset(&l, 0, sizeof(l));
	CU_ASSERT(!superseded_within(&l, 0, MS(400), MS(100)));
}

static const struct unit_test tests[] = {
    {"frequent changes", frequent_changes},
    {"no change yet", no_change_yet},
};
UNIT_MAIN("superseded", tests)
