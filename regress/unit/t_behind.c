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
	behind_heard(&b, 7, 12, 0, now + MS(300));
	CU_ASSERT_EQUAL(behind_step(&b, 7, now + MS(300)), BEHIND_WAIT);
	behind_read(&b, now + MS(600));
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(600)), BEHIND_READ);
	CU_ASSERT_EQUAL(behind_step(&b, 9, now + MS(800)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(1000)), BEHIND_WAIT);
	/* A read that had begun before may give what is here already. */
	behind_heard(&b, 12, 15, 0, now + MS(2000));
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2000)), BEHIND_READ);
	behind_read(&b, now + MS(2010));
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2010)), BEHIND_WAIT);
	CU_ASSERT_EQUAL(behind_step(&b, 12, now + MS(2300)), BEHIND_READ);
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

/* When a step is due first, in a series of versions that are heard of each 325
 * ms and do not come; the store says at one moment that it does not give them.
 */
static usec
first_in_series(int told, usec unread_at, enum behind_step step, usec now)
{
	struct behind b;
	usec at;
	uint64_t v = 9;

	memset(&b, 0, sizeof(b));
	for (at = now; at < now + MS(4000); at += MS(25)) {
		if ((at - now) % MS(325) == 0) {
			behind_heard(&b, 7, v, told, at);
			v += 3;
		}
		if (at == unread_at)
			behind_unread(&b);
		if (behind_step(&b, 7, at) == step)
			return (at);
	}
	return (0);
}

/* A host that lost one change of a series does not serve by old rules on. */
static void
lost_in_a_series(void)
{
	usec now = MS(5000);

	CU_ASSERT_EQUAL(first_in_series(1, 0, BEHIND_READ, now), now + MS(400));
}

/* The store does not answer in the course of a series: another host is asked
 * all the same. */
static void
store_away_in_a_series(void)
{
	usec now = MS(5000), unread = now + MS(1500);

	CU_ASSERT_EQUAL(first_in_series(0, unread, BEHIND_ASK, now), unread);
}

static const struct unit_test tests[] = {
    {"told or read", told_or_read},
    {"lost on the way", lost_on_the_way},
    {"store away", store_away},
    {"newer meanwhile", newer_meanwhile},
    {"told in series", told_in_series},
    {"lost in a series", lost_in_a_series},
    {"store away in a series", store_away_in_a_series},
};
UNIT_MAIN("behind", tests)
