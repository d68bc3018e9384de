/*
 * Shares of a rate limit follow demand, and their sum never exceeds the limit,
 * whichever reports are lost or late.
 */
#include <stdlib.h>

#include "share.h"
#include "unit.h"

#define N 5

static struct share s[N];
static struct share *shares[N];

/* Clears all shares. */
static void
reset_shares(void)
{
	int i;

	for (i = 0; i < N; i++) {
		s[i] = (struct share){0, 0, 0};
		shares[i] = &s[i];
	}
}

/* Returns the sum of all shares that may be in use. */
static double
sum_held(void)
{
	double sum = 0;
	int i;

	for (i = 0; i < N; i++)
		sum += s[i].held;
	return (sum);
}

/* Demand moves to one target: it gets most of the limit once the others have
 * confirmed their lower shares. */
static void
follows_demand(void)
{
	int i;

	reset_shares();
	share_plan(shares, N, 100, 1);
	CU_ASSERT(s[0].given > 19 && s[0].given < 21);
	s[0].demand = 500;
	share_plan(shares, N, 100, 1);
	CU_ASSERT(s[0].given < 21);
	for (i = 1; i < N; i++)
		s[i].held = s[i].given;
	share_plan(shares, N, 100, 1);
	CU_ASSERT(s[0].given > 80);
	CU_ASSERT(s[1].given > 3);
}

/* Reports come late, in any order or never, while demand changes at random. */
static void
never_above_limit(void)
{
	double limit = 100;
	int i, k, bad = 0;

	reset_shares();
	srandom(3);
	for (i = 0; i < 20000; i++) {
		k = (int)(random() % N);
		s[k].demand = (double)(random() % 1000);
		/* A holder reports what it uses: the last share it got. */
		if (random() % 3 == 0)
			s[random() % N].held = s[k].held;
		for (k = 0; k < N; k++) {
			if (random() % 3 == 0)
				s[k].held = s[k].given;
			if (s[k].held < s[k].given)
				s[k].held = s[k].given;
		}
		if (sum_held() > limit + 0.001)
			continue;
		share_plan(shares, N, limit, random() % 2);
		bad += sum_held() > limit + 0.001;
	}
	CU_ASSERT_EQUAL(bad, 0);
}

/* No share is raised before all holders have reported. */
static void
no_raise_before_reports(void)
{
	reset_shares();
	s[1].demand = 10;
	share_plan(shares, N, 100, 0);
	CU_ASSERT(sum_held() == 0);
}

/* A bucket limits the average rate and allows a short burst. */
static void
bucket_limits_rate(void)
{
	struct bucket b = {0, 0};
	int i, n = 0;

	for (i = 0; i < 10000; i++)
		n += bucket_take(&b, 50, MS(i));
	CU_ASSERT(n >= 490 && n <= 511);
	b = (struct bucket){0, 0};
	CU_ASSERT(!bucket_take(&b, 0.5, MS(1000)));
	CU_ASSERT(bucket_take(&b, 0.5, MS(2000)));
}

static const struct unit_test tests[] = {
    {"follows demand", follows_demand},
    {"never above the limit", never_above_limit},
    {"no raise before all reports", no_raise_before_reports},
    {"bucket keeps the rate", bucket_limits_rate},
};
UNIT_MAIN("share", tests)
