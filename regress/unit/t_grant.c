/* Tests that a grant never outlives the host's lease and is never revived. */
#include "grant.h"
#include "unit.h"

static const struct grant_conf conf = {MS(900), MS(200)};

/* Sends the next message, which the target answers at once. */
static enum grant_step
send_next(struct grant *g, usec now, usec lease, int64_t *until)
{
	enum grant_step s = grant_next(g, now, lease, until);

	if (s != STEP_NONE)
		grant_answered(g, now, s, 1, 1000000 + now, 5);
	return (s);
}

/* Reads the clock first, then grants all shards, then renews. */
static void
message_order(void)
{
	struct grant g;
	int64_t until = 0;

	grant_init(&g, &conf, 1, MS(0));
	CU_ASSERT_EQUAL(send_next(&g, MS(300), MS(9000), &until), STEP_CLOCK);
	CU_ASSERT_EQUAL(send_next(&g, MS(301), MS(9000), &until), STEP_FULL);
	CU_ASSERT(until > 1000000 + MS(301));
	CU_ASSERT(until <= 1000000 + MS(301 + 900));
	CU_ASSERT(grant_usable(&g, MS(302)));
	CU_ASSERT_EQUAL(send_next(&g, MS(302), MS(9000), &until), STEP_NONE);
	CU_ASSERT_EQUAL(send_next(&g, MS(501), MS(9000), &until), STEP_RENEW);
	g.wanted_set++;
	CU_ASSERT(!grant_usable(&g, MS(502)));
	CU_ASSERT_EQUAL(send_next(&g, MS(502), MS(9000), &until), STEP_FULL);
}

/* No grant outlives the host's lease, and none is sent after it. */
static void
within_the_lease(void)
{
	struct grant g;
	int64_t until = 0;

	grant_init(&g, &conf, 1, 0);
	send_next(&g, MS(300), MS(1000), &until);
	CU_ASSERT_EQUAL(send_next(&g, MS(700), MS(1000), &until), STEP_FULL);
	CU_ASSERT(until <= 1000000 + MS(1000));
	CU_ASSERT_EQUAL(send_next(&g, MS(1001), MS(1000), &until), STEP_NONE);
	CU_ASSERT(!grant_usable(&g, MS(1001)));
}

/*
 * A target freezes until its grant has lapsed, then answers again.  Nothing is
 * granted to it before a later epoch.
 */
static void
thawed_target_stays_inactive(void)
{
	struct grant g;
	int64_t until = 0;
	usec now;

	grant_init(&g, &conf, 1, 0);
	send_next(&g, MS(300), MS(99000), &until);
	send_next(&g, MS(301), MS(99000), &until);
	for (now = MS(501); now < MS(2000); now += MS(50)) {
		if (grant_next(&g, now, MS(99000), &until) != STEP_NONE)
			grant_failed(&g, now);
		if (g.phase == GRANT_INACTIVE)
			break;
	}
	CU_ASSERT_EQUAL(g.phase, GRANT_INACTIVE);
	CU_ASSERT(!grant_maybe_valid(&g, now));
	CU_ASSERT(now > MS(301 + 890));
	CU_ASSERT_EQUAL(send_next(&g, MS(3000), MS(99000), &until), STEP_CLOCK);
	CU_ASSERT_EQUAL(send_next(&g, MS(3300), MS(99000), &until), STEP_CLOCK);
	CU_ASSERT(!grant_usable(&g, MS(3300)));
	grant_new_epoch(&g, 2, MS(3400));
	send_next(&g, MS(3600), MS(99000), &until);
	CU_ASSERT_EQUAL(send_next(&g, MS(3900), MS(99000), &until), STEP_FULL);
	CU_ASSERT(grant_usable(&g, MS(3901)));
}

/* A restarted target has lost its shards and gets a full grant. */
static void
restart_is_noticed(void)
{
	struct grant g;
	int64_t until = 0;

	grant_init(&g, &conf, 1, 0);
	send_next(&g, MS(300), MS(99000), &until);
	send_next(&g, MS(301), MS(99000), &until);
	CU_ASSERT_EQUAL(grant_next(&g, MS(600), MS(99000), &until), STEP_RENEW);
	grant_answered(&g, MS(600), STEP_RENEW, 0, 77, 6);
	CU_ASSERT(!grant_usable(&g, MS(601)));
	CU_ASSERT_EQUAL(send_next(&g, MS(801), MS(99000), &until), STEP_FULL);
}

/*
 * A dispatcher releases a target when its lease lapses and is assigned it
 * again in the same epoch.  Its messages must have higher numbers than before,
 * or the target refuses them as old.
 */
static void
duty_given_again(void)
{
	struct grant a, b;
	int64_t until = 0;

	grant_init(&a, &conf, 1, MS(0));
	send_next(&a, MS(300), MS(99000), &until);
	send_next(&a, MS(301), MS(99000), &until);
	send_next(&a, MS(601), MS(99000), &until);
	grant_init(&b, &conf, 1, MS(700));
	send_next(&b, MS(950), MS(99000), &until);
	CU_ASSERT_EQUAL(send_next(&b, MS(951), MS(99000), &until), STEP_FULL);
	CU_ASSERT(b.seq > a.seq);
}

/* While an unanswered grant may still arrive, no release is certain. */
static void
lost_grant_delays_release(void)
{
	struct grant g;
	int64_t until = 0;

	grant_init(&g, &conf, 1, 0);
	send_next(&g, MS(300), MS(99000), &until);
	send_next(&g, MS(301), MS(99000), &until);
	CU_ASSERT(grant_set_certain(&g, MS(302)));
	g.wanted_set++;
	CU_ASSERT_EQUAL(grant_next(&g, MS(600), MS(99000), &until), STEP_FULL);
	grant_failed(&g, MS(900));
	CU_ASSERT_EQUAL(send_next(&g, MS(901), MS(99000), &until), STEP_CLOCK);
	CU_ASSERT_EQUAL(send_next(&g, MS(902), MS(99000), &until), STEP_FULL);
	CU_ASSERT(!grant_set_certain(&g, MS(903)));
	CU_ASSERT(grant_set_certain(&g, MS(1502)));
}

static const struct unit_test tests[] = {
    {"message order", message_order},
    {"within the lease", within_the_lease},
    {"thawed target stays inactive", thawed_target_stays_inactive},
    {"restart is noticed", restart_is_noticed},
    {"duty given again", duty_given_again},
    {"lost grant delays release", lost_grant_delays_release},
};
UNIT_MAIN("grant", tests)
