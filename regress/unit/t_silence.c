/* Dead connections to a target: when they are suspected, and for how long. */
#include "silence.h"
#include "unit.h"

/* One unanswered probe alone shows nothing; an answered one after it does. */
static void
miss_then_answer(void)
{
	struct silence s = {0, 0, 0};

	CU_ASSERT_EQUAL(silence_probe_answered(&s, MS(100)), 0);
	CU_ASSERT_EQUAL(silence_conn_age(&s, MS(110)), 0);
	silence_probe_missed(&s);
	CU_ASSERT_EQUAL(silence_conn_age(&s, MS(500)), CONN_NEW_ONLY);
	CU_ASSERT(!silence_suspects(&s, MS(500), MS(400), MS(5)));
	CU_ASSERT_EQUAL(silence_probe_answered(&s, MS(500)), 1);
	CU_ASSERT(silence_suspects(&s, MS(510), MS(499), MS(5)));
	CU_ASSERT(!silence_suspects(&s, MS(510), MS(500), MS(5)));
	CU_ASSERT_EQUAL(silence_probe_answered(&s, MS(700)), 0);
}

/* No connection from before the silence is reused, however late. */
static void
no_older_connection(void)
{
	struct silence s = {0, 0, 0};
	usec now;
	long age;

	silence_probe_missed(&s);
	silence_probe_answered(&s, MS(500));
	for (now = MS(500); now < MS(9000); now += MS(37)) {
		age = silence_conn_age(&s, now);
		CU_ASSERT(
		    age == CONN_NEW_ONLY || now - age * US_PER_SEC >= MS(500));
	}
	CU_ASSERT_EQUAL(silence_conn_age(&s, MS(1499)), CONN_NEW_ONLY);
	CU_ASSERT_EQUAL(silence_conn_age(&s, MS(2600)), 2);
}

/*
 * A request far longer than typical is suspected only if later ones were
 * answered.
 */
static void
overtaken(void)
{
	struct silence s = {0, 0, 0};

	CU_ASSERT(!silence_suspects(&s, MS(1000), MS(100), MS(5)));
	silence_request_answered(&s, MS(150));
	CU_ASSERT(silence_suspects(&s, MS(1000), MS(100), MS(5)));
	CU_ASSERT(!silence_suspects(&s, MS(340), MS(100), MS(5)));
	CU_ASSERT(!silence_suspects(&s, MS(1000), MS(100), MS(300)));
	CU_ASSERT(!silence_suspects(&s, MS(1000), MS(150), MS(5)));
	silence_request_answered(&s, MS(90));
	CU_ASSERT(silence_suspects(&s, MS(1000), MS(100), MS(5)));
}

static const struct unit_test tests[] = {
    {"missed probe, then answer", miss_then_answer},
    {"overtaken by later requests", overtaken},
    {"no older connection is reused", no_older_connection},
};
UNIT_MAIN("silence", tests)
