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

/* Guards against hosts of a large fleet that all list the targets while their
 * controller does, and against hosts that learn too late what is leaving. */
static void
follow_in_time(void)
{
	static const int sizes[] = {1, 12, 90, 300, 985, 2000};
	static const usec bounds[] = {MS(0), MS(1000), MS(2000), MS(4000)};
	usec delay, bound;
	uint64_t seed;
	size_t i, k;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		for (k = 0; k < sizeof(bounds) / sizeof(bounds[0]); k++) {
			for (seed = 1; seed < 50; seed++) {
				bound = bounds[k];
				delay = follow_delay(sizes[i],
				    seed * 0x9e3779b97f4a7c15u, bound);
				CU_ASSERT(delay >= 0);
				CU_ASSERT(delay == 0 ||
				    MS(900) + delay <= bound * 3 / 4);
				CU_ASSERT(sizes[i] > 12 || delay <= MS(36));
				CU_ASSERT(sizes[i] < 985 || bound < MS(4000) ||
				    delay >= MS(1000));
			}
		}
	}
}

static const struct unit_test tests[] = {
    {"fleet starts", fleet_starts},
    {"no controller", no_controller},
    {"controller without store", controller_without_store},
    {"controller sends nothing", controller_sends_nothing},
    {"controller lost", controller_lost},
    {"follow in time", follow_in_time},
};
UNIT_MAIN("join", tests)
