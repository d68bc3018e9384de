/* Whether a controller hears enough hosts to keep control. */
#include "hearing.h"
#include "unit.h"

#define NOW MS(100000)

/* Fills in when hosts were heard: the first just now, the others earlier. */
static void
fill(usec *heard, int n, int lately, usec others)
{
	int i;

	for (i = 0; i < n; i++)
		heard[i] = i < lately ? NOW - MS(100) : NOW - others;
}

/*
 * The controller's data centre is cut off from the other two but reaches the
 * store: the controller would keep control, and callers in the other two would
 * be refused as long as the cut lasts.
 */
static void
most_not_heard(void)
{
	usec heard[12];

	fill(heard, 12, 5, MS(1500));
	CU_ASSERT(!hears_most_hosts(heard, 12, NOW));
	/* A minority that is not heard is no reason to release control. */
	fill(heard, 12, 7, MS(1500));
	CU_ASSERT(hears_most_hosts(heard, 12, NOW));
}

/*
 * Hosts that ended long ago, or a fleet of at most one host, are no partition.
 */
static void
no_partition(void)
{
	usec heard[12];

	fill(heard, 12, 3, MS(20000));
	CU_ASSERT(hears_most_hosts(heard, 12, NOW));
	CU_ASSERT(hears_most_hosts(heard, 0, NOW));
	fill(heard, 1, 1, 0);
	CU_ASSERT(hears_most_hosts(heard, 1, NOW));
}

/* Guards against a controller whose work for reports grows with the fleet, and
 * one that takes hosts for lost which report in time. */
static void
large_fleets(void)
{
	static const int sizes[] = {3, 20, 300, 985, 2000};
	usec interval;
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		interval = report_interval(sizes[i]);
		CU_ASSERT(sizes[i] * US_PER_SEC <= 1501 * interval);
		CU_ASSERT(report_lag(sizes[i]) >= 2 * interval);
		CU_ASSERT(report_retry_delay(sizes[i]) >= 3 * interval);
		/* Three reports in a row may be lost. */
		CU_ASSERT(report_silence(sizes[i]) > 4 * interval);
		CU_ASSERT(
		    report_lost_after(sizes[i]) > report_silence(sizes[i]));
	}
	/* Up to 300 hosts report five times a second. */
	CU_ASSERT_EQUAL(report_interval(300), MS(200));
	CU_ASSERT(report_interval(2000) < MS(1400));
}

static const struct unit_test tests[] = {
    {"most hosts not heard", most_not_heard},
    {"no partition", no_partition},
    {"large fleets", large_fleets},
};
UNIT_MAIN("hearing", tests)
