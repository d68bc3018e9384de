/* Membership: targets that leave, entries that lapse, and targets that return.
 */
#include <stdio.h>
#include <string.h>

#include "membership.h"
#include "unit.h"

static struct membership k;

/* Adds a target. */
static void
put(const char *id, usec now)
{
	struct fleet_target t;

	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), id);
	t.service = t.dc = "s";
	membership_entry_put(&k, &t, now);
}

/* Starts a test with n targets. */
static void
set_up(int n)
{
	char id[8];
	int i;

	membership_free(&k);
	k.heartbeat = MS(900);
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		put(id, MS(1));
	}
}

/* Returns how many targets may get new requests. */
static int
usable(usec now)
{
	struct fleet *f;
	int i, n = 0;

	membership_tick(&k, now);
	f = membership_snapshot(&k);
	for (i = 0; i < f->ntargets; i++)
		n += !f->targets[i].leaving;
	fleet_free(f);
	return (n);
}

static void
removed(void)
{
	set_up(6);
	membership_entry_removed(&k, "t3", MS(100));
	CU_ASSERT_EQUAL(usable(MS(100)), 5);
	CU_ASSERT_EQUAL(k.n, 6);
	/* Later it is dropped from the list. */
	CU_ASSERT_EQUAL(usable(MS(100) + GONE_RETENTION + 1), 5);
	CU_ASSERT_EQUAL(k.n, 5);
}

/*
 * The store is unavailable for four seconds, all entries lapse, and the first
 * list after that is empty.  If the targets were taken for gone, every host
 * would refuse all requests.  Targets that write their entry again within two
 * seconds stay usable all the time; the others are gone then.
 */
static void
lapsed_in_outage(void)
{
	set_up(6);
	membership_store_failed(&k, MS(1000));
	membership_store_failed(&k, MS(3000));
	membership_store_answered(&k, MS(5000));
	membership_list_begin(&k);
	membership_list_end(&k, MS(5000));
	CU_ASSERT_EQUAL(usable(MS(5000)), 6);
	put("t0", MS(6000));
	put("t1", MS(6500));
	CU_ASSERT_EQUAL(usable(MS(6900)), 6);
	CU_ASSERT_EQUAL(usable(MS(7001)), 2);
}

/* Entries do not lapse in a short outage: a target without one is gone. */
static void
short_outage(void)
{
	set_up(6);
	membership_store_failed(&k, MS(1000));
	membership_store_answered(&k, MS(1500));
	membership_entry_removed(&k, "t1", MS(1500));
	CU_ASSERT_EQUAL(usable(MS(1500)), 5);
}

/* A target that has announced that it leaves is gone once its entry is, also
 * after an outage. */
static void
leaving_in_outage(void)
{
	set_up(6);
	k.list[2].t.leaving = 1;
	membership_store_failed(&k, MS(1000));
	membership_store_answered(&k, MS(5000));
	membership_entry_removed(&k, "t2", MS(5000));
	CU_ASSERT_EQUAL(usable(MS(5000)), 5);
}

/*
 * Most entries are removed in one answer, though this host noticed no outage:
 * its watch call was waiting all through it.  They may have lapsed.
 */
static void
many_at_once(void)
{
	int i;
	char id[8];

	set_up(8);
	membership_mass_removal(&k, 6, MS(1000));
	for (i = 0; i < 6; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		membership_entry_removed(&k, id, MS(1000));
	}
	CU_ASSERT_EQUAL(usable(MS(1000)), 8);
	CU_ASSERT_EQUAL(usable(MS(1000) + LAPSE_GRACE + 1), 2);
}

/* Two of eight entries are removed: this is planned work, and the targets are
 * gone at once. */
static void
two_at_once(void)
{
	set_up(8);
	membership_mass_removal(&k, 2, MS(1000));
	membership_entry_removed(&k, "t0", MS(1000));
	membership_entry_removed(&k, "t1", MS(1000));
	CU_ASSERT_EQUAL(usable(MS(1000)), 6);
}

/*
 * The controller follows the store and sends hosts what it knows.  A target
 * that it reports as gone gets no new requests, though this host has just seen
 * an outage and would doubt that.  Targets that are missing from a complete
 * list are gone, too.
 */
static void
from_controller(void)
{
	struct fleet_target t[2];
	struct fleet f = {.targets = t, .ntargets = 1};

	set_up(6);
	membership_store_failed(&k, MS(1000));
	membership_store_answered(&k, MS(5000));
	memset(t, 0, sizeof(t));
	name_copy(t[0].id, sizeof(t[0].id), "t1");
	t[0].gone = 1;
	membership_adopt(&k, &f, MS(5100));
	CU_ASSERT_EQUAL(usable(MS(5100)), 5);
	/* A new target. */
	t[0].gone = 0;
	name_copy(t[0].id, sizeof(t[0].id), "new");
	membership_adopt(&k, &f, MS(5200));
	CU_ASSERT_EQUAL(usable(MS(5200)), 6);
	/* A complete list. */
	f.whole = 1;
	f.ntargets = 2;
	name_copy(t[1].id, sizeof(t[1].id), "t2");
	membership_adopt(&k, &f, MS(5300));
	CU_ASSERT_EQUAL(usable(MS(5300)), 2);
}

/*
 * A target announces that it leaves.  A controller that was cut off meanwhile
 * then sends its outdated list: the target must not get requests again.
 */
static void
leaving_is_final(void)
{
	struct fleet_target t;
	struct fleet f = {.targets = &t, .ntargets = 1};

	set_up(3);
	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), "t1");
	t.leaving = 1;
	membership_entry_put(&k, &t, MS(1000));
	CU_ASSERT_EQUAL(usable(MS(1000)), 2);
	t.leaving = 0;
	membership_adopt(&k, &f, MS(9000));
	CU_ASSERT_EQUAL(usable(MS(9000)), 2);
}

/* Guards against using a target again whose answer announced that it leaves,
 * because its entry or another host's list does not say so yet. */
static void
leaving_by_answer(void)
{
	struct fleet_target t;
	struct fleet f = {.targets = &t, .ntargets = 1, .whole = 0};

	set_up(3);
	k.changed = 0;
	membership_leave_announced(&k, "t1");
	CU_ASSERT(k.changed);
	CU_ASSERT_EQUAL(usable(MS(1000)), 2);
	k.changed = 0;
	membership_leave_announced(&k, "t1");
	membership_leave_announced(&k, "t9");
	CU_ASSERT(!k.changed);
	put("t1", MS(1200));
	CU_ASSERT_EQUAL(usable(MS(1200)), 2);
	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), "t1");
	membership_adopt(&k, &f, MS(1300));
	CU_ASSERT_EQUAL(usable(MS(1300)), 2);
	CU_ASSERT(k.list[1].t.leave_unwritten);
	t.leaving = 1;
	membership_adopt(&k, &f, MS(1400));
	CU_ASSERT(k.list[1].t.leaving && !k.list[1].t.leave_unwritten);
	/* Its entry lapses in an outage: it is gone, not missed. */
	k.doubt_until = MS(9000);
	membership_entry_removed(&k, "t1", MS(1400));
	CU_ASSERT_EQUAL(usable(MS(1400)), 2);
	CU_ASSERT(k.list[1].t.gone);
}

/* Guards against taking targets for gone whose entries the store has lost. */
static void
restored_store(void)
{
	set_up(6);
	membership_store_restored(&k, MS(5000));
	membership_list_begin(&k);
	put("t0", MS(5010));
	put("t1", MS(5010));
	put("t2", MS(5010));
	put("t3", MS(5010));
	membership_list_end(&k, MS(5010));
	CU_ASSERT_EQUAL(usable(MS(6999)), 6);
	put("t4", MS(6999));
	CU_ASSERT_EQUAL(usable(MS(7000)), 5);
}

/* Returns how many targets with an id may get new requests. */
static int
usable_of(const char *id, usec now)
{
	struct fleet *f;
	int i, n = 0;

	membership_tick(&k, now);
	f = membership_snapshot(&k);
	for (i = 0; i < f->ntargets; i++)
		n +=
		    !f->targets[i].leaving && strcmp(f->targets[i].id, id) == 0;
	fleet_free(f);
	return (n);
}

/*
 * A target that announced that it leaves ends and restarts under its id before
 * its entry is removed.  If it were still taken for leaving, it would get no
 * requests as long as it runs.  The earlier incarnation is gone, and outdated
 * news of it change nothing; when the entry is removed, so is the later one.
 */
static void
restarted(void)
{
	struct fleet_target t;

	set_up(2);
	memset(&t, 0, sizeof(t));
	name_copy(t.id, sizeof(t.id), "t7#1000");
	t.leaving = 1;
	membership_entry_put(&k, &t, MS(100));
	CU_ASSERT_EQUAL(usable(MS(100)), 2);
	put("t7#2000", MS(200));
	CU_ASSERT_EQUAL(usable_of("t7#2000", MS(200)), 1);
	CU_ASSERT_EQUAL(usable_of("t7#1000", MS(200)), 0);
	put("t7#1000", MS(300));
	CU_ASSERT_EQUAL(usable_of("t7#1000", MS(300)), 0);
	CU_ASSERT_EQUAL(usable_of("t7#2000", MS(300)), 1);
	CU_ASSERT_EQUAL(k.n, 4);
	membership_entry_removed(&k, "t7", MS(400));
	CU_ASSERT_EQUAL(usable(MS(400)), 2);
}

/*
 * A target restarts twice within a heartbeat, so that its second incarnation is
 * heard of only after the third, if at all.
 */
static void
restarted_twice(void)
{
	set_up(0);
	put("t7#1000", MS(100));
	put("t7#3000", MS(200));
	put("t7#2000", MS(300));
	CU_ASSERT_EQUAL(usable(MS(300)), 1);
	CU_ASSERT_EQUAL(usable_of("t7#3000", MS(300)), 1);
}

/*
 * Another writer overwrites the entry of a target with invalid data, just after
 * an outage in which entries lapsed.  That is no lapse: the target is gone at
 * once, until its next heartbeat writes a valid entry.
 */
static void
invalid_entry(void)
{
	set_up(6);
	membership_store_failed(&k, MS(1000));
	membership_store_answered(&k, MS(5000));
	membership_entry_invalid(&k, "t3", MS(5100));
	CU_ASSERT_EQUAL(usable(MS(5100)), 5);
	put("t3", MS(5900));
	CU_ASSERT_EQUAL(usable(MS(5900)), 6);
}

/* Hosts that know the same targets have the same digest, in any order. */
static void
digest(void)
{
	struct fleet *a, *b;

	set_up(3);
	a = membership_snapshot(&k);
	membership_free(&k);
	k.heartbeat = MS(900);
	put("t2", MS(9));
	put("t0", MS(9));
	put("t1", MS(9));
	b = membership_snapshot(&k);
	CU_ASSERT_EQUAL(a->digest, b->digest);
	fleet_free(b);
	membership_entry_removed(&k, "t1", MS(10));
	b = membership_snapshot(&k);
	CU_ASSERT_NOT_EQUAL(a->digest, b->digest);
	fleet_free(a);
	fleet_free(b);
}

static const struct unit_test tests[] = {
    {"removed", removed},
    {"lapsed in an outage", lapsed_in_outage},
    {"short outage", short_outage},
    {"leaving in an outage", leaving_in_outage},
    {"many at once", many_at_once},
    {"two at once", two_at_once},
    {"from the controller", from_controller},
    {"leaving is final", leaving_is_final},
    {"leaving by answer", leaving_by_answer},
    {"restored store", restored_store},
    {"restarted", restarted},
    {"restarted twice", restarted_twice},
    {"invalid entry", invalid_entry},
    {"digest", digest},
};
UNIT_MAIN("membership", tests)
