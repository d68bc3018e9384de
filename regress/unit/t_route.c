/* What a router does after an attempt, and the retry budget. */
#include "result.h"
#include "route.h"
#include "unit.h"

static const struct route_try idem = {1, 1, 0, MS(5000)};
static const struct route_try once = {0, 1, 0, MS(5000)};

/* What may have run is never sent again where twice does harm. */
static void
no_second_run(void)
{
	static const int codes[] = {GS_PEER_LOST, GS_TARGET_LOST, GS_CUT_SHORT,
	    GS_DEADLINE, GS_OLD_TICKET, GS_ANSWER_LARGE};
	struct budget b;
	size_t i;

	budget_init(&b, 0.1, 10);
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		CU_ASSERT_EQUAL(
		    route_after(&once, codes[i], OUT_UNKNOWN, 0, &b),
		    ROUTE_END);
}

/* Idempotent work is sent again, within budget, tries and deadline. */
static void
retries_are_bounded(void)
{
	struct route_try many = idem;
	struct budget b;

	budget_init(&b, 0.1, 1);
	CU_ASSERT_EQUAL(route_after(&idem, GS_TARGET_LOST, OUT_UNKNOWN, 0, &b),
	    ROUTE_AGAIN);
	CU_ASSERT_EQUAL(
	    route_after(&idem, GS_TARGET_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
	/* A lost connection's requests go once more without the budget. */
	CU_ASSERT_EQUAL(
	    route_after(&idem, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_AGAIN);
	many.tries = 2;
	CU_ASSERT_EQUAL(
	    route_after(&many, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
	budget_init(&b, 0.1, 10);
	CU_ASSERT_EQUAL(
	    route_after(&idem, GS_PEER_LOST, OUT_UNKNOWN, MS(5000), &b),
	    ROUTE_END);
	many.tries = 3;
	CU_ASSERT_EQUAL(
	    route_after(&many, GS_PEER_LOST, OUT_UNKNOWN, 0, &b), ROUTE_END);
}

/* A moving key's request is held a second at most, then given up at once. */
static void
holds_a_little(void)
{
	struct route_try t = once;
	struct budget b;

	budget_init(&b, 0.1, 10);
	CU_ASSERT_EQUAL(
	    route_after(&t, GS_MOVED, OUT_NOT_RUN, MS(100), &b), ROUTE_HOLD);
	t.held_from = MS(100);
	CU_ASSERT_EQUAL(
	    route_after(&t, GS_MOVED, OUT_NOT_RUN, MS(1000), &b), ROUTE_HOLD);
	CU_ASSERT_EQUAL(
	    route_after(&t, GS_MOVED, OUT_NOT_RUN, MS(1100), &b), ROUTE_END);
}

/* Refusals are final at once: asking again would only add load. */
static void
refusals_are_final(void)
{
	static const int codes[] = {
	    GS_BUSY, GS_TOO_LATE, GS_SHED, GS_NO_OWNER, GS_OVER_LIMIT};
	struct budget b;
	size_t i;

	budget_init(&b, 0.1, 10);
	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		CU_ASSERT_EQUAL(
		    route_after(&idem, codes[i], OUT_NOT_RUN, 0, &b),
		    ROUTE_END);
}

/* All fail: the retries stay within their share of the first tries. */
static void
budget_bounds_the_sum(void)
{
	struct budget b;
	int i, retries = 0;

	budget_init(&b, 0.1, 20);
	for (i = 0; i < 10000; i++) {
		budget_first(&b);
		while (budget_retry(&b))
			retries++;
	}
	CU_ASSERT(retries <= 1000 + 21);
}

static const struct unit_test tests[] = {
    {"no second run", no_second_run},
    {"retries are bounded", retries_are_bounded},
    {"holds a little", holds_a_little},
    {"refusals are final", refusals_are_final},
    {"budget bounds the sum", budget_bounds_the_sum},
};
UNIT_MAIN("route", tests)
