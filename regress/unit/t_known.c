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

/*
 * The controller follows the store and tells.  Its word counts at once: what
 * it says is gone gets no new work, though this host saw an outage just now
 * and would doubt it; what it does not name in a whole list is gone too.
 */
static void
told(void)
{
	struct fleet_target t[2];
	struct fleet f = {.targets = t, .ntargets = 1};

	start(6);
	known_store_failed(&k, MS(1000));
	known_store_answered(&k, MS(5000));
	memset(t, 0, sizeof(t));
	name_copy(t[0].id, sizeof(t[0].id), "t1");
	t[0].gone = 1;
	known_told(&k, &f, MS(5100));
	CU_ASSERT_EQUAL(usable(MS(5100)), 5);
	/* One that is new. */
	t[0].gone = 0;
	name_copy(t[0].id, sizeof(t[0].id), "new");
	known_told(&k, &f, MS(5200));
	CU_ASSERT_EQUAL(usable(MS(5200)), 6);
	/* All there are. */
	f.whole = 1;
	f.ntargets = 2;
	name_copy(t[1].id, sizeof(t[1].id), "t2");
	known_told(&k, &f, MS(5300));
	CU_ASSERT_EQUAL(usable(MS(5300)), 2);
}

/*
 * A target said that it leaves.  A controller that was cut off meanwhile is
 * back and tells what it knew before: the target gets no work by that.
 */
static void
never_back(void)
{
	struct fleet_target t;
	struct fleet f = {.targets = &t, .ntargets = 1};

	start(3);
	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), "t1");
	t.leaving = 1;
	known_put(&k, &t, MS(1000));
	CU_ASSERT_EQUAL(usable(MS(1000)), 2);
	t.leaving = 0;
	known_told(&k, &f, MS(9000));
	CU_ASSERT_EQUAL(usable(MS(9000)), 2);
}

/* How many targets of a name may be sent new work. */
static int
usable_of(const char *id, usec now)
{
	struct fleet *f;
	int i, n = 0;

	known_tick(&k, now);
	f = known_fleet(&k);
	for (i = 0; i < f->ntargets; i++)
		n +=
		    !f->targets[i].leaving && strcmp(f->targets[i].id, id) == 0;
	fleet_free(f);
	return (n);
}

/*
 * A target that said it leaves has ended and starts again under its id, before
 * its entry was ever removed.  Believed to leave for ever, it would get no work
 * as long as it lives.  Its earlier life is over, and what is heard of that
 * late changes nothing; when the entry goes, so does the later life.
 */
static void
started_again(void)
{
	struct fleet_target t;

	start(2);
	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), "t7#1000");
	t.leaving = 1;
	known_put(&k, &t, MS(100));
	CU_ASSERT_EQUAL(usable(MS(100)), 2);
	put("t7#2000", MS(200));
	CU_ASSERT_EQUAL(usable_of("t7#2000", MS(200)), 1);
	CU_ASSERT_EQUAL(usable_of("t7#1000", MS(200)), 0);
	put("t7#1000", MS(300));
	CU_ASSERT_EQUAL(usable_of("t7#1000", MS(300)), 0);
	CU_ASSERT_EQUAL(usable_of("t7#2000", MS(300)), 1);
	CU_ASSERT_EQUAL(k.n, 4);
	known_gone(&k, "t7", MS(400));
	CU_ASSERT_EQUAL(usable(MS(400)), 2);
}

/*
 * Twice within a heartbeat: the second life was never heard of, or is heard of
 * after the third.
 */
static void
started_twice(void)
{
	start(0);
	put("t7#1000", MS(100));
	put("t7#3000", MS(200));
	put("t7#2000", MS(300));
	CU_ASSERT_EQUAL(usable(MS(300)), 1);
	CU_ASSERT_EQUAL(usable_of("t7#3000", MS(300)), 1);
}

/*
 * Another writer spoils the entry of a target, just after an outage in which
 * entries lapsed.  It names nobody now, and that is no lapse to be doubted; the
 * target's own next heartbeat brings it back.
 */
static void
spoilt(void)
{
	start(6);
	known_store_failed(&k, MS(1000));
	known_store_answered(&k, MS(5000));
	known_unusable(&k, "t3", MS(5100));
	CU_ASSERT_EQUAL(usable(MS(5100)), 5);
	put("t3", MS(5900));
	CU_ASSERT_EQUAL(usable(MS(5900)), 6);
}

/* Hosts that know the same have the same digest, in whatever order. */
static void
digest(void)
{
	struct fleet *a, *b;

	start(3);
	a = known_fleet(&k);
	known_free(&k);
	k.heartbeat = MS(900);
	put("t2", MS(9));
	put("t0", MS(9));
	put("t1", MS(9));
	b = known_fleet(&k);
	CU_ASSERT_EQUAL(a->digest, b->digest);
	fleet_free(b);
	known_gone(&k, "t1", MS(10));
	b = known_fleet(&k);
	CU_ASSERT_NOT_EQUAL(a->digest, b->digest);
	fleet_free(a);
	fleet_free(b);
}

static const struct unit_test tests[] = {
    {"removed", removed},
    {"lapsed", lapsed},
    {"short outage", short_outage},
    {"leaving in an outage", leaving_in_outage},
    {"many at once", many_at_once},
    {"two at once", two_at_once},
    {"told", told},
    {"never back", never_back},
    {"started again", started_again},
    {"started twice", started_twice},
    {"spoilt", spoilt},
    {"digest", digest},
};
UNIT_MAIN("known", tests)
