/* Evacuations of data centres, as known from the store and from other hosts. */
#include <stdio.h>
#include <string.h>

#include "evacuation.h"
#include "membership.h"
#include "unit.h"

#define GRACE MS(2500)

static struct evacuations e, other;

static void
set_up(void)
{
	memset(&e, 0, sizeof(e));
	memset(&other, 0, sizeof(other));
}

/* Targets are closed at once, or after the grace period if they own keys. */
static void
closed_from(void)
{
	set_up();
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == 0);
	CU_ASSERT(evacuations_begin(&e, "a", MS(1000)) == 0);
	CU_ASSERT(evacuations_active(&e, "a") && !evacuations_active(&e, "b"));
	CU_ASSERT(evacuations_closed_from(&e, "a", 0) == MS(1000));
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == MS(3500));
	CU_ASSERT(evacuations_closed_from(&e, "b", 0) == 0);
	/* Reported again, the evacuation keeps its start. */
	evacuations_begin(&e, "a", MS(3000));
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == MS(3500));
	evacuations_end(&e, "a", MS(9000));
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == 0);
	CU_ASSERT(evacuations_begin(&e, "a", MS(9500)) == 0);
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == MS(12000));
}

/* An evacuation from a list may have started long ago: there is no grace. */
static void
unknown_start(void)
{
	set_up();
	other.as_of = 7;
	evacuations_begin(&other, "a", 0);
	CU_ASSERT(evacuations_sync(&e, &other, MS(1000)) == 1);
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) <= MS(1000));
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) != 0);
}

/* A list of an earlier revision than the present set changes nothing. */
static void
older_list(void)
{
	set_up();
	other.as_of = 9;
	evacuations_begin(&other, "a", 0);
	evacuations_begin(&other, "b", 0);
	CU_ASSERT(evacuations_sync(&e, &other, MS(1000)) == 1);
	other.n = 0;
	other.as_of = 8;
	CU_ASSERT(evacuations_sync(&e, &other, MS(1000)) == 0);
	CU_ASSERT(evacuations_active(&e, "a") && evacuations_active(&e, "b"));
	other.as_of = 12;
	evacuations_begin(&other, "b", 0);
	CU_ASSERT(evacuations_sync(&e, &other, MS(2000)) == 1);
	CU_ASSERT(!evacuations_active(&e, "a") && evacuations_active(&e, "b"));
	CU_ASSERT(evacuations_sync(&e, &other, MS(3000)) == 0);
}

/* A controller with an older revision does not restart an evacuation that has
 * ended. */
static void
older_controller(void)
{
	set_up();
	evacuations_begin(&e, "a", MS(1000));
	e.as_of = 20;
	evacuations_end(&e, "a", MS(5000));
	e.as_of = 30;
	other.as_of = 25;
	evacuations_begin(&other, "a", MS(1000));
	CU_ASSERT(evacuations_adopt(&e, &other) == 0);
	CU_ASSERT(!evacuations_active(&e, "a"));
	other.as_of = 31;
	CU_ASSERT(evacuations_adopt(&e, &other) == 1);
	CU_ASSERT(evacuations_active(&e, "a"));
	/* Nor does a controller that has just started and read nothing yet. */
	other.n = 0;
	other.as_of = 0;
	CU_ASSERT(evacuations_adopt(&e, &other) == 0);
	CU_ASSERT(evacuations_active(&e, "a"));
}

/* A new controller that has only read a list does not change known start times.
 */
static void
controller_without_start_times(void)
{
	set_up();
	evacuations_begin(&e, "a", MS(1000));
	e.as_of = 20;
	evacuations_begin(&other, "a", 0);
	evacuations_begin(&other, "b", 0);
	other.as_of = 21;
	CU_ASSERT(evacuations_adopt(&e, &other) == 1);
	CU_ASSERT(evacuations_closed_from(&e, "a", GRACE) == MS(3500));
	CU_ASSERT(evacuations_closed_from(&e, "b", GRACE) == 1);
}

/* After an evacuation has ended, targets are cold for the cold start time. */
static void
cold_after(void)
{
	set_up();
	evacuations_begin(&e, "a", MS(1000));
	CU_ASSERT(evacuations_cold_until(&e, "a", MS(3000)) == 0);
	evacuations_end(&e, "a", MS(8000));
	CU_ASSERT(evacuations_cold_until(&e, "a", MS(3000)) == MS(11000));
	CU_ASSERT(evacuations_cold_until(&e, "b", MS(3000)) == 0);
	evacuations_expire(&e, MS(11000));
	CU_ASSERT(e.n == 1);
	evacuations_expire(&e, MS(60000));
	CU_ASSERT(e.n == 0);
}

/* If the table is full, no active evacuation is dropped. */
static void
table_full(void)
{
	char dc[16];
	int i;

	set_up();
	for (i = 0; i < EVACUATIONS_MAX; i++) {
		snprintf(dc, sizeof(dc), "dc-%d", i);
		CU_ASSERT(evacuations_begin(&e, dc, MS(1000 + i)) == 0);
	}
	CU_ASSERT(evacuations_begin(&e, "more", MS(5000)) == -1);
	evacuations_end(&e, "dc-7", MS(6000));
	evacuations_end(&e, "dc-9", MS(5500));
	CU_ASSERT(evacuations_begin(&e, "more", MS(7000)) == 0);
	CU_ASSERT(evacuations_active(&e, "more"));
	CU_ASSERT(evacuations_active(&e, "dc-8"));
	/* The one that ended first was replaced. */
	CU_ASSERT(evacuations_cold_until(&e, "dc-9", 1) == 0);
	CU_ASSERT(evacuations_cold_until(&e, "dc-7", 1) != 0);
}

/* Hosts that know the same evacuations have the same digest, in any order. */
static void
digest(void)
{
	set_up();
	CU_ASSERT(evacuations_digest(&e) == 0);
	evacuations_begin(&e, "a", MS(1));
	evacuations_begin(&e, "b", MS(1));
	evacuations_begin(&other, "b", MS(9));
	CU_ASSERT(evacuations_digest(&e) != evacuations_digest(&other));
	evacuations_begin(&other, "a", MS(9));
	CU_ASSERT(evacuations_digest(&e) == evacuations_digest(&other));
	evacuations_end(&e, "a", MS(2));
	evacuations_end(&e, "b", MS(2));
	CU_ASSERT(evacuations_digest(&e) == 0);
}

/* A fleet received from the controller includes its evacuations. */
static void
in_fleet(void)
{
	static struct membership k;
	struct fleet received = {.ntargets = 0}, *f;

	set_up();
	evacuations_begin(&received.evacuations, "a", MS(1000));
	received.evacuations.as_of = 5;
	membership_adopt(&k, &received, MS(1500));
	CU_ASSERT(k.changed);
	f = membership_snapshot(&k);
	CU_ASSERT_FATAL(f != NULL);
	CU_ASSERT(evacuations_active(&f->evacuations, "a"));
	CU_ASSERT(f->digest == evacuations_digest(&received.evacuations));
	fleet_free(f);
	membership_free(&k);
}

static const struct unit_test tests[] = {
    {"closed from", closed_from},
    {"unknown start", unknown_start},
    {"older list", older_list},
    {"older controller", older_controller},
    {"controller without start times", controller_without_start_times},
    {"cold after", cold_after},
    {"table full", table_full},
    {"digest", digest},
    {"in a fleet", in_fleet},
};
UNIT_MAIN("evacuation", tests)
