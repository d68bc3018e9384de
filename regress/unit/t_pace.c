/* Size limits of pushes, and the rate of copies. */
#include <string.h>

#include "pace.h"
#include "unit.h"

#define COPY 750000u /* a configuration of 4,300 routes */

/*
 * A change of one route is pushed to 500 hosts, a whole large configuration to
 * none: it would delay heartbeats on the sender's link or on theirs.
 */
static void
fits(void)
{
	CU_ASSERT(pace_fits(300, 500, 200));
	CU_ASSERT(pace_fits(20000, 75, 200));
	CU_ASSERT(!pace_fits(100000, 75, 200));
	CU_ASSERT(!pace_fits(20000, 75, 10));
	CU_ASSERT(!pace_fits(COPY, 4, 1000));
	CU_ASSERT(pace_fits(20000, 12, 0));
}

/* All hosts of a data centre ask at once: copies use a quarter of the link. */
static void
copies(void)
{
	struct pace p;
	usec now;
	int n = 0;

	memset(&p, 0, sizeof(p));
	for (now = MS(1000); now < MS(11000); now += MS(25)) {
		if (!pace_ready(&p, now))
			continue;
		pace_sent(&p, COPY, 200, now);
		n++;
	}
	CU_ASSERT(n >= 70 && n <= 84);
}

/* Guards against changes that reach a large fleet in more frames than its
 * controller can send, or a small one late. */
static void
broadcasts(void)
{
	CU_ASSERT(pace_broadcast(12) < MS(2));
	CU_ASSERT(pace_broadcast(300) <= MS(30));
	CU_ASSERT(985 * US_PER_SEC <= 10001 * pace_broadcast(985));
	CU_ASSERT(pace_broadcast(2000) <= MS(200));
}

/* Copies of a list to a fleet take a quarter of the link; one is always sent.
 */
static void
copies_in_a_time(void)
{
	CU_ASSERT_EQUAL(pace_copies(80000, MS(300), 1000), 117);
	CU_ASSERT_EQUAL(pace_copies(COPY, MS(300), 1), 1);
	CU_ASSERT(pace_copies(0, MS(300), 1000) > 1000);
}

static const struct unit_test tests[] = {
    {"fits", fits},
    {"copies", copies},
    {"broadcasts", broadcasts},
    {"copies in a time", copies_in_a_time},
};
UNIT_MAIN("pace", tests)
