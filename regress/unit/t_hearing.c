/* Whether a controller hears enough hosts to go on. */
#include "hearing.h"
#include "unit.h"

#define NOW MS(100000)

/* Fills in when hosts were heard: some just now, some long ago. */
static void
fill(usec *heard, int n, int lately, usec others)
{
	int i;

	for (i = 0; i < n; i++)
		heard[i] = i < lately ? NOW - MS(100) : NOW - others;
}

/*
 * A data centre is cut off from the other two, and the controller is in it.
 * It reaches the store, so it would keep control, and callers of the others
 * would be refused as long as the cut lasts.
 */
static void
cut_off(void)
{
	usec heard[12];

	fill(heard, 12, 5, MS(1500));
	CU_ASSERT(!hears_enough(heard, 12, NOW));
	/* One cut off from it is no reason. */
	fill(heard, 12, 7, MS(1500));
	CU_ASSERT(hears_enough(heard, 12, NOW));
}

/* Hosts that ended long ago, or a fleet of one, are no cut. */
static void
no_cut(void)
{
	usec heard[12];

	fill(heard, 12, 3, MS(20000));
	CU_ASSERT(hears_enough(heard, 12, NOW));
	CU_ASSERT(hears_enough(heard, 0, NOW));
	fill(heard, 1, 1, 0);
	CU_ASSERT(hears_enough(heard, 1, NOW));
}

static const struct unit_test tests[] = {
    {"cut off", cut_off},
    {"no cut", no_cut},
};
UNIT_MAIN("hearing", tests)
