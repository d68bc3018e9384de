/* How hosts with an older configuration than another get the newer one. */
#include <string.h>

#include "behind.h"
#include "unit.h"

/*
 * A pushed version is waited for; one that was not pushed is read at once, and
 * only once while that read is pending.
 */
static void
push_or_read(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now), BEHIND_WAIT);
	behind_announced(&b, 7, 9, 1, now);
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(300)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(900)), BEHIND_WAIT);
	behind_announced(&b, 9, 12, 0, now + MS(1000));
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(1000)), BEHIND_READ);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(1500)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(1800)), BEHIND_WAIT);
}

/*
 * A push is lost: a host that only waited would use the old rules until the
 * next version.
 */
static void
lost_push(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	behind_announced(&b, 7, 9, 1, now);
	/* Heartbeats repeat the announcement; that postpones nothing. */
	behind_announced(&b, 7, 9, 1, now + MS(300));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(400)), BEHIND_READ);
}

/*
 * The store does not return the version: another host is asked, and again only
 * after a copy could have arrived, and the store is read at intervals.
 */
static void
store_down(void)
{
	struct behind b;
	usec at, now = MS(5000);
	int asked = 0, read = 0;

	memset(&b, 0, sizeof(b));
	behind_announced(&b, 7, 9, 0, now);
	for (at = now; at < now + MS(6000); at += MS(25)) {
		switch (behind_step(&b, 7, at)) {
		case BEHIND_READ:
			read++;
			break;
		case BEHIND_ASK:
			asked++;
			break;
		case BEHIND_WAIT:
			break;
		}
		behind_read_failed(&b);
	}
	CU_ASSERT_EQUAL(asked, 3);
	CU_ASSERT_EQUAL(read, 3);
}

/*
 * Versions follow one another while a large one is read: the result of that
 * read is old, and the newest version is read at once, not seconds later.
 */
static void
newer_during_read(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	behind_announced(&b, 7, 9, 0, now);
	CU_ASSERT_EQUAL(behind_step(&b, 7, now), BEHIND_READ);
	behind_announced(&b, 7, 12, 0, now + MS(300));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(300)), BEHIND_WAIT);
	behind_read_done(&b, now + MS(600));
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(600)), BEHIND_READ);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(800)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(1000)), BEHIND_WAIT);
	/* A read that began earlier may return the version that is here. */
	behind_announced(&b, 12, 15, 0, now + MS(2000));
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2000)), BEHIND_READ);
	behind_read_done(&b, now + MS(2010));
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2010)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2300)), BEHIND_READ);
}

/*
 * Versions pushed one after the other need no read, though each comes into
 * force a moment after the next was announced.
 */
static void
pushed_in_series(void)
{
	struct behind b;
	usec now = MS(5000);
	uint64_t v;

	memset(&b, 0, sizeof(b));
	for (v = 9; v < 40; v += 3, now += MS(330)) {
		behind_announced(&b, v - 6, v, 1, now);
		CU_ASSERT_EQUAL(behind_step(&b, v - 6, now), BEHIND_WAIT);
		CU_ASSERT_EQUAL(
		    behind_step(&b, v - 3, now + MS(100)), BEHIND_WAIT);
	}
}

/*
 * Returns when a step is first due, in a series of versions that are announced
 * every 325 ms and do not arrive; the store fails to return them at unread_at.
 */
static usec
first_in_series(int pushed, usec unread_at, enum behind_step step, usec now)
{
	struct behind b;
	usec at;
	uint64_t v = 9;

	memset(&b, 0, sizeof(b));
	for (at = now; at < now + MS(4000); at += MS(25)) {
		if ((at - now) % MS(325) == 0) {
			behind_announced(&b, 7, v, pushed, at);
			v += 3;
		}
		if (at == unread_at)
			behind_read_failed(&b);
		if (behind_step(&b, 7, at) == step)
			return (at);
	}
	return (0);
}

/* A host that lost one change of a series does not keep using old rules. */
static void
lost_push_in_series(void)
{
	usec now = MS(5000);

	CU_ASSERT_EQUAL(first_in_series(1, 0, BEHIND_READ, now), now + MS(400));
}

/*
 * The store stops answering during a series: another host is asked
 * nevertheless.
 */
static void
store_down_in_series(void)
{
	usec now = MS(5000), unread = now + MS(1500);

	CU_ASSERT_EQUAL(first_in_series(0, unread, BEHIND_ASK, now), unread);
}

static const struct unit_test tests[] = {
    {"wait for a push, or read", push_or_read},
    {"lost push", lost_push},
    {"store down", store_down},
    {"newer version during a read", newer_during_read},
    {"pushed in a series", pushed_in_series},
    {"lost push in a series", lost_push_in_series},
    {"store down in a series", store_down_in_series},
};
UNIT_MAIN("behind", tests)
