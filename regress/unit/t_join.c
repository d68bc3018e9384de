/* How many hosts of a fleet that starts list the targets from the store. */
#include <string.h>

#include "join.h"
#include "unit.h"

#define STEP MS(10)
#define HOSTS 2000

/* Returns how many hosts begin to list by `end`, if a controller is heard from
 * heard_at on (0: never) and follows the store from told_at on. */
static int
listing(usec heard_at, usec told_at, usec end)
{
	struct join j;
	usec now;
	int i, n = 0, waits;

	for (i = 0; i < HOSTS; i++) {
		join_begin(&j, (uint64_t)i * 0x9e3779b97f4a7c15u, 0);
		for (now = STEP, waits = 1; now < end && waits; now += STEP) {
			if (heard_at != 0 && now >= heard_at)
				join_heard(&j, now >= told_at, now);
			waits = join_waits(&j, now);
		}
		n += !waits;
	}
	return (n);
}

/* Guards against a fleet whose hosts all list the targets when it starts. */
static void
fleet_starts(void)
{
	/* A controller after 0.25 s, which has the list a second later. */
	CU_ASSERT_EQUAL(listing(MS(250), MS(1300), MS(9000)), 0);
}

/* Without a controller hosts list one after the other. */
static void
no_controller(void)
{
	CU_ASSERT_EQUAL(listing(0, 0, MS(1100)), HOSTS);
	CU_ASSERT(listing(0, 0, MS(800)) < HOSTS * 6 / 10);
}

/* Guards against hosts that wait for a controller that cannot reach the store.
 */
static void
controller_without_store(void)
{
	CU_ASSERT_EQUAL(listing(MS(50), MS(99000), MS(2200)), HOSTS);
}

/* Guards against hosts that wait for copies which never come. */
static void
controller_sends_nothing(void)
{
	CU_ASSERT_EQUAL(listing(MS(50), MS(100), MS(15100)), HOSTS);
	CU_ASSERT(listing(MS(50), MS(100), MS(12000)) < HOSTS / 2);
}

/* A controller that falls silent is not waited for. */
static void
controller_lost(void)
{
	struct join j;

	join_begin(&j, 0, 0);
	join_heard(&j, 1, MS(400));
	CU_ASSERT(join_waits(&j, MS(1200)));
	CU_ASSERT(!join_waits(&j, MS(1400)));
}

static const struct unit_test tests[] = {
    {"fleet starts", fleet_starts},
    {"no controller", no_controller},
    {"controller without store", controller_without_store},
    {"controller sends nothing", controller_sends_nothing},
    {"controller lost", controller_lost},
};
UNIT_MAIN("join", tests)
