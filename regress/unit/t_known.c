/* The list of targets: what leaves, what lapses, and what comes back. */
#include <stdio.h>
#include <string.h>

#include "known.h"
#include "unit.h"

static struct known k;

static void
put(const char *id, usec now)
{
	struct fleet_target t;

	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), id);
	name_copy(t.service, sizeof(t.service), "s");
	known_put(&k, &t, now);
}

static void
start(int n)
{
	char id[8];
	int i;

	known_free(&k);
	k.heartbeat = MS(900);
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		put(id, MS(1));
	}
}

/* How many targets may be sent new work. */
static int
usable(usec now)
{
	struct fleet *f;
	int i, n = 0;

	known_tick(&k, now);
	f = known_fleet(&k);
	for (i = 0; i < f->ntargets; i++)
		n += !f->targets[i].leaving;
	fleet_free(f);
	return (n);
}

static void
removed(void)
{
	start(6);
	known_gone(&k, "t3", MS(100));
	CU_ASSERT_EQUAL(usable(MS(100)), 5);
	CU_ASSERT_EQUAL(k.n, 6);
	/* Long after, it is not even named. */
	CU_ASSERT_EQUAL(usable(MS(100) + GONE_KEPT + 1), 5);
	CU_ASSERT_EQUAL(k.n, 5);
}

/*
 * The store is away for four seconds and lets all entries lapse.  When it is
 * back a list names none of them: callers would be refused by every host.  The
 * targets write again within two seconds, and nobody notices; one that does
 * not is gone then.
 */
static void
lapsed(void)
{
	start(6);
	known_store_failed(&k, MS(1000));
	known_store_failed(&k, MS(3000));
	known_store_answered(&k, MS(5000));
	known_list_begin(&k);
	known_list_end(&k, MS(5000));
	CU_ASSERT_EQUAL(usable(MS(5000)), 6);
	put("t0", MS(6000));
	put("t1", MS(6500));
	CU_ASSERT_EQUAL(usable(MS(6900)), 6);
	CU_ASSERT_EQUAL(usable(MS(7001)), 2);
}

/* A short outage lets nothing lapse: what is missing has left. */
static void
short_outage(void)
{
	start(6);
	known_store_failed(&k, MS(1000));
	known_store_answered(&k, MS(1500));
	known_gone(&k, "t1", MS(1500));
	CU_ASSERT_EQUAL(usable(MS(1500)), 5);
}

/* One that said that it leaves is believed, whatever the store's state. */
static void
leaving_in_outage(void)
{
	start(6);
	k.list[2].t.leaving = 1;
	known_store_failed(&k, MS(1000));
	known_store_answered(&k, MS(5000));
	known_gone(&k, "t2", MS(5000));
	CU_ASSERT_EQUAL(usable(MS(5000)), 5);
}

/*
 * Half of all entries go in one answer though this host saw no outage: its
 * watch had waited through it.
 */
static void
many_at_once(void)
{
	int i;
	char id[8];

	start(8);
	known_batch(&k, 6, MS(1000));
	for (i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		known_gone(&k, id, MS(1000));
	}
	CU_ASSERT_EQUAL(usable(MS(1000)), 8);
	CU_ASSERT_EQUAL(usable(MS(1000) + LAPSE_BACK + 1), 2);
}

/* Two of eight leave without a word: planned work, acted on at once. */
static void
two_at_once(void)
{
	start(8);
	known_batch(&k, 2, MS(1000));
	known_gone(&k, "t0", MS(1000));
	known_gone(&k, "t1", MS(1000));
	CU_ASSERT_EQUAL(usable(MS(1000)), 6);
}

static const struct unit_test tests[] = {
    {"removed", removed},
    {"lapsed", lapsed},
    {"short outage", short_outage},
    {"leaving in an outage", leaving_in_outage},
    {"many at once", many_at_once},
    {"two at once", two_at_once},
};
UNIT_MAIN("known", tests)
