/* Hosts that have an older configuration than another get the newer one. */
#include <string.h>

#include "behind.h"
#include "unit.h"

/* A version that was told is waited for; one that was not is read at once, and
 * once only while the store takes its time. */
static void
told_or_read(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now), BEHIND_WAIT);
	behind_heard(&b, 7, 9, 1, now);
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(300)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(900)), BEHIND_WAIT);
	behind_heard(&b, 9, 12, 0, now + MS(1000));
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(1000)), BEHIND_READ);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(1500)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(1800)), BEHIND_WAIT);
}

/* What was told did not arrive: a host that only waited would serve by the old
 * rules until the next version. */
static void
lost_on_the_way(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	behind_heard(&b, 7, 9, 1, now);
	/* Signs of life say so again and again; they put nothing off. */
	behind_heard(&b, 7, 9, 1, now + MS(300));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(400)), BEHIND_READ);
}

/* The store does not give it: another host is asked, not again before a copy
 * could have come, and the store is read now and then. */
static void
store_away(void)
{
	struct behind b;
	usec at, now = MS(5000);
	int asked = 0, read = 0;

	memset(&b, 0, sizeof(b));
	behind_heard(&b, 7, 9, 0, now);
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
		behind_unread(&b);
	}
	CU_ASSERT_EQUAL(asked, 3);
	CU_ASSERT_EQUAL(read, 3);
}

/* Changes follow one another while a large version is read: what came of that
 * read is old, and the newest is read at once, not seconds later. */
static void
newer_meanwhile(void)
{
	struct behind b;
	usec now = MS(5000);

	memset(&b, 0, sizeof(b));
	behind_heard(&b, 7, 9, 0, now);
	CU_ASSERT_EQUAL(behind_step(&b, 7, now), BEHIND_READ);
	behind_heard(&b, 7, 12, 1, now + MS(300));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(300)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(600)), BEHIND_READ);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(800)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(1000)), BEHIND_WAIT);
}

/* Versions told one after the other need no read, though each is in force a
 * moment after the next was heard of. */
static void
told_in_series(void)
{
	struct behind b;
	usec now = MS(5000);
	uint64_t v;

	memset(&b, 0, sizeof(b));
	for (v = 9; v < 40; v += 3, now += MS(330)) {
		behind_heard(&b, v - 6, v, 1, now);
		CU_ASSERT_EQUAL(behind_step(&b, v - 6, now), BEHIND_WAIT);
		CU_ASSERT_EQUAL(
		    behind_step(&b, v - 3, now + MS(100)), BEHIND_WAIT);
	}
}

static const struct unit_test tests[] = {
    {"told or read", told_or_read},
    {"lost on the way", lost_on_the_way},
    {"store away", store_away},
    {"newer meanwhile", newer_meanwhile},
    {"told in series", told_in_series},
};
UNIT_MAIN("behind", tests)
