/* The time to read a list of targets must not grow quadratically. */
#include <stdio.h>
#include <string.h>

#include "membership.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 5

/* Returns the time to read two lists: one of n / 2 targets, then one of n with
 * the same targets among them. */
static usec
read_list(int n)
{
	struct membership k;
	struct fleet_target t;
	usec from;
	int i, pass;

	memset(&k, 0, sizeof(k));
	memset(&t, 0, sizeof(t));
	k.heartbeat = MS(900);
	t.service = t.dc = "s";
	from = clock_mono();
	for (pass = 2; pass > 0; pass--) {
		membership_list_begin(&k);
		for (i = 0; i < n; i += pass) {
			snprintf(t.id, sizeof(t.id), "i-%08x",
			    (unsigned)i * 2654435761u);
			membership_entry_put(&k, &t, MS(1000));
		}
		membership_list_end(&k, MS(1000));
	}
	from = clock_mono() - from;
	membership_free(&k);
	return (from);
}

/* Returns the least time of several tries. */
static usec
fastest(int n)
{
	usec took, best = 0;
	int i;

	for (i = 0; i < TRIES; i++) {
		took = read_list(n);
		if (i == 0 || took < best)
			best = took;
	}
	return (best);
}

/* With four times the targets, quadratic growth would take 16 times as long. */
static void
linear_time(void)
{
	usec few = fastest(1000), many = fastest(4000);

	printf("1000 targets %lld us, 4000 targets %lld us\n", (long long)few,
	    (long long)many);
	CU_ASSERT(many <= 8 * few);
}

static const struct unit_test tests[] = {{"linear time", linear_time}};
UNIT_MAIN("membership_size", tests)
