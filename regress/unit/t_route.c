/* Tests what the router does after an attempt, and the retry budget. */
#include "result.h"
#include "route.h"
#include "unit.h"

static const struct route_attempt idem = {1, 1, 0, MS(5000)};
static const struct route_attempt once = {0, 1, 0, MS(5000)};

/* Sets up a budget of `max` retries that are all earned: no decision ends a
 * request for want of one. */
static void
fill_budget(struct budget *b, double share, double max)
{
	budget_init(b, share, max);
	while (b->tokens < max)
		budget_deposit(b);
}

/* A request that may have run and is not idempotent is never retried. */
static void
not_idempotent(void)
{
	static const int codes[] = {GS_PEER_LOST, GS_TARGET_LOST, GS_CUT_SHORT,
	    GS_DEADLINE, GS_OLD_TICKET, GS_ANSWER_LARGE};
	struct budget b;
	size_t i;

	fill_budget(&b, 0.1, 10);
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		CU_ASSERT_EQUAL(
		    route_decide(&once, codes[i], OUT_UNKNOWN, 0, &b),
		    ROUTE_END);
}

/* Idempotent requests are retried within budget, attempts and deadline. */
static void
retries_are_bounded(void)
{
	struct route_attempt many = idem;
	struct budget b;

	fill_budget(&b, 0.1, 1);
	CU_ASSERT_EQUAL(route_decide(&idem, GS_TARGET_LOST, OUT_UNKNOWN, 0, &b),
	    ROUTE_RETRY);
	CU_ASSERT_EQUAL(
	    route_decide(&idem, GS_TARGET_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
	/* After a lost connection the first retry needs no budget. */
	CU_ASSERT_EQUAL(
	    route_decide(&idem, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_RETRY);
	many.attempts = 2;
	CU_ASSERT_EQUAL(
	    route_decide(&many, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
	fill_budget(&b, 0.1, 10);
	CU_ASSERT_EQUAL(
	    route_decide(&idem, GS_PEER_LOST, OUT_UNKNOWN, MS(5000), &b),
	    ROUTE_END);
	many.attempts = 3;
	CU_ASSERT_EQUAL(
	    route_decide(&many, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
}

/* A request whose key is moving is held for a second at most, then it fails. */
static void
hold_is_bounded(void)
{
	struct route_attempt t = once;
	struct budget b;

	fill_budget(&b, 0.1, 10);
	CU_ASSERT_EQUAL(
	    route_decide(&t, GS_MOVED, OUT_NOT_RUN, MS(100), &b), ROUTE_HOLD);
	t.held_since = MS(100);
	CU_ASSERT_EQUAL(
	    route_decide(&t, GS_MOVED, OUT_NOT_RUN, MS(1000), &b), ROUTE_HOLD);
	CU_ASSERT_EQUAL(
	    route_decide(&t, GS_MOVED, OUT_NOT_RUN, MS(1100), &b), ROUTE_END);
}

/* Refused requests are not retried: that would only add load. */
static void
refusals_are_final(void)
{
	static const int codes[] = {
	    GS_BUSY, GS_TOO_LATE, GS_SHED, GS_NO_OWNER, GS_OVER_LIMIT};
	struct budget b;
	size_t i;

	fill_budget(&b, 0.1, 10);
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		CU_ASSERT_EQUAL(
		    route_decide(&idem, codes[i], OUT_NOT_RUN, 0, &b),
		    ROUTE_END);
}

/* When all requests fail, retries stay within their share of first attempts. */
static void
budget_bounds_retries(void)
{
	struct budget b;
	int i, retries = 0;

	budget_init(&b, 0.1, 20);
	for (i = 0; i < 10000; i++) {
		budget_deposit(&b);
		while (budget_withdraw(&b))
			retries++;
	}
	CU_ASSERT(retries <= 1000 + 21);
}

static const struct unit_test tests[] = {
    {"not idempotent", not_idempotent},
    {"retries are bounded", retries_are_bounded},
    {"hold is bounded", hold_is_bounded},
    {"refusals are final", refusals_are_final},
    {"budget bounds retries", budget_bounds_retries},
};
UNIT_MAIN("route", tests)
