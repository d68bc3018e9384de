/* Choice of the standbys of a controller. */
#include <string.h>

#include "standby.h"
#include "unit.h"

/* Returns a host that could be a standby. */
static struct candidate
host(const char *name, const char *dc, int max_hosts, int is_standby)
{
	struct candidate c;

	memset(&c, 0, sizeof(c));
	name_copy(c.process.host, sizeof(c.process.host), name);
	name_copy(c.dc, sizeof(c.dc), dc);
	c.max_hosts = max_hosts;
	c.is_standby = is_standby;
	return (c);
}

/*
 * A fleet of a few large and many small hosts loses its controller. A small
 * host as its successor would spend all of its link on the heartbeats of a
 * hundred hosts; they hear it late, look for another controller, and keys have
 * no owner meanwhile.
 */
static void
large_first(void)
{
	struct candidate c[] = {host("s1", "north", 55, 0),
	    host("s2", "east", 55, 1), host("b1", "north", 312, 0),
	    host("b2", "east", 312, 0), host("b3", "south", 312, 0)};
	struct member m[STANDBYS_MAX];

	CU_ASSERT_EQUAL(standbys_pick(c, 5, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "b1");
	CU_ASSERT_STRING_EQUAL(m[1].host, "b2");
}

/*
 * The data centre of the controller or of a standby is cut off: one of the
 * three hosts must remain whichever data centre is lost.
 */
static void
data_centres_apart(void)
{
	struct candidate c[] = {host("a", "south", 312, 0),
	    host("b", "north", 312, 0), host("c", "north", 312, 0),
	    host("d", "east", 55, 0)};
	struct member m[STANDBYS_MAX];

	CU_ASSERT_EQUAL(standbys_pick(c, 4, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "b");
	CU_ASSERT_STRING_EQUAL(m[1].host, "d");
}

/*
 * A small host controls 81 as the large ones were cut off from the store. It
 * releases control to a standby that is large enough once the store answers
 * that standby; with any other, control would go back to a small one, over and
 * over.
 */
static void
larger_takes_over(void)
{
	struct candidate c[] = {host("s1", "north", 55, 0),
	    host("b1", "north", 312, 1), host("b2", "east", 312, 0)};

	CU_ASSERT(!larger_standby_ready(c, 3, 55, 81));
	c[2].store = 1; /* not a standby, so not first to take control */
	CU_ASSERT(!larger_standby_ready(c, 3, 55, 81));
	c[1].store = 1;
	CU_ASSERT(larger_standby_ready(c, 3, 55, 81));
	/*
	 * A host large enough for its fleet, or of unknown size, keeps control.
	 */
	CU_ASSERT(!larger_standby_ready(c, 3, 55, 40));
	CU_ASSERT(!larger_standby_ready(c, 3, 0, 81));
	/* A standby that is only a little larger does not take over. */
	c[1].max_hosts = 70;
	CU_ASSERT(!larger_standby_ready(c, 3, 55, 81));
}

/*
 * Among equals, current standbys are kept: each change is a write, and promises
 * of both lists are needed while it is pending.
 */
static void
current_standbys_kept(void)
{
	struct candidate c[] = {host("a", "north", 250, 0),
	    host("b", "east", 250, 0), host("c", "north", 250, 1),
	    host("d", "east", 250, 1)};
	struct member m[STANDBYS_MAX];

	CU_ASSERT_EQUAL(standbys_pick(c, 4, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "c");
	CU_ASSERT_STRING_EQUAL(m[1].host, "d");
}

/* Fewer candidates than standbys wanted. */
static void
few_candidates(void)
{
	struct candidate c[] = {host("a", "south", 0, 0)};
	struct member m[STANDBYS_MAX];

	CU_ASSERT_EQUAL(standbys_pick(c, 0, "south", m), 0);
	CU_ASSERT_EQUAL(standbys_pick(c, 1, "south", m), 1);
}

/* Capacity and delay of a small and a large host. */
static void
sizes(void)
{
	CU_ASSERT_EQUAL(host_capacity(0.1, 10), 55);
	CU_ASSERT_EQUAL(host_capacity(0.5, 200), 312);
	CU_ASSERT_EQUAL(host_capacity(0, 200), 0);
	CU_ASSERT(bootstrap_delay(55) > bootstrap_delay(312));
	CU_ASSERT_EQUAL(bootstrap_delay(0), 0);
}

/* Guards against a fleet whose hosts all read the store when control is lost,
 * as no host is large enough to control them all alone. */
static void
standbys_relay(void)
{
	int one_core = host_capacity(1, 1000), fifth = host_capacity(0.2, 1000);

	CU_ASSERT(is_overloaded(one_core, 985));
	CU_ASSERT(can_relay(one_core, 985));
	CU_ASSERT(can_relay(fifth, 100));
	CU_ASSERT(!can_relay(fifth, 300));
	CU_ASSERT(can_relay(0, 2000));
}

static const struct unit_test tests[] = {
    {"larger standby takes over", larger_takes_over},
    {"large hosts first", large_first},
    {"data centres apart", data_centres_apart},
    {"current standbys are kept", current_standbys_kept},
    {"fewer candidates than standbys", few_candidates},
    {"sizes", sizes},
    {"standbys relay", standbys_relay},
};
UNIT_MAIN("standby", tests)
