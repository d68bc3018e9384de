/* Hosts that are behind, and hosts that have missed something. */
#include <string.h>

#include "lately.h"
#include "unit.h"

/*
 * Targets of a service are replaced one after the other, so the list changes
 * every 300 ms; frames need some of them.  A host that has missed a change, for
 * control changed hands just then, goes on using a target that left; it must be
 * told from those whose news is on the way, though the list never stands still.
 */
static void
changes_often(void)
{
	struct lately l;
	usec now = MS(1000);
	uint64_t n;

	memset(&l, 0, sizeof(l));
	for (n = 1; n < 50; n++) {
		lately_changed(&l, n, now);
		CU_ASSERT(lately_stood(&l, n, MS(400), now + MS(100)));
		CU_ASSERT(n < 4 || !lately_stood(&l, n - 3, MS(400), now));
		CU_ASSERT(!lately_stood(&l, 777, MS(400), now));
		now += MS(300);
	}
}

/* Before anything has changed no number is one that stood. */
static void
nothing_yet(void)
{
	struct lately l;

	memset(&l, 0, sizeof(l));
	CU_ASSERT(!lately_stood(&l, 0, MS(400), MS(100)));
}

static const struct unit_test tests[] = {
    {"changes often", changes_often},
    {"nothing yet", nothing_yet},
};
UNIT_MAIN("lately", tests)
