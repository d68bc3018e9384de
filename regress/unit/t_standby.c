/* Who stands by for a controller. */
#include <string.h>

#include "standby.h"
#include "unit.h"

/* A host that could stand by. */
static struct candidate
host(const char *name, const char *dc, int bears, int is_one)
{
	struct candidate c;

	memset(&c, 0, sizeof(c));
	name_copy(c.who.host, sizeof(c.who.host), name);
	name_copy(c.dc, sizeof(c.dc), dc);
	c.bears = bears;
	c.is_one = is_one;
	return (c);
}

/*
 * A fleet of a few large and many small hosts loses its controller.  If a small
 * one follows, it spends all of its link on the signs of life of a hundred
 * hosts; they hear it late, look for another, and keys go unserved meanwhile.
 */
static void
large_first(void)
{
	struct candidate c[] = {host("s1", "north", 55, 0),
	    host("s2", "east", 55, 1), host("b1", "north", 312, 0),
	    host("b2", "east", 312, 0), host("b3", "south", 312, 0)};
	struct member m[STANDBYS];

	CU_ASSERT_EQUAL(standbys_pick(c, 5, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "b1");
	CU_ASSERT_STRING_EQUAL(m[1].host, "b2");
}

/*
 * The controller's data centre is cut off, or with it the one of a standby.
 * Each data centre that can be lost alone must leave one of the three.
 */
static void
data_centres_apart(void)
{
	struct candidate c[] = {host("a", "south", 312, 0),
	    host("b", "north", 312, 0), host("c", "north", 312, 0),
	    host("d", "east", 55, 0)};
	struct member m[STANDBYS];

	CU_ASSERT_EQUAL(standbys_pick(c, 4, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "b");
	CU_ASSERT_STRING_EQUAL(m[1].host, "d");
}

/*
 * A small host controls 81, for the large ones were cut off from the store.  It
 * gives control to a standby that bears them once the store answers that one;
 * to any other, control would come back to a small one, over and over.
 */
static void
larger_takes_over(void)
{
	struct candidate c[] = {host("s1", "north", 55, 0),
	    host("b1", "north", 312, 1), host("b2", "east", 312, 0)};

	CU_ASSERT(!larger_stands_by(c, 3, 55, 81));
	c[2].store = 1; /* no standby: it would not be first to take control */
	CU_ASSERT(!larger_stands_by(c, 3, 55, 81));
	c[1].store = 1;
	CU_ASSERT(larger_stands_by(c, 3, 55, 81));
	/* One that bears its fleet, or has no size, keeps control. */
	CU_ASSERT(!larger_stands_by(c, 3, 55, 40));
	CU_ASSERT(!larger_stands_by(c, 3, 0, 81));
	/* A little larger is not worth it. */
	c[1].bears = 70;
	CU_ASSERT(!larger_stands_by(c, 3, 55, 81));
}

/* Among equals those that stand by stay: each change is a write, and promises
 * of both lists are needed while it is open. */
static void
stays(void)
{
	struct candidate c[] = {host("a", "north", 250, 0),
	    host("b", "east", 250, 0), host("c", "north", 250, 1),
	    host("d", "east", 250, 1)};
	struct member m[STANDBYS];

	CU_ASSERT_EQUAL(standbys_pick(c, 4, "south", m), 2);
	CU_ASSERT_STRING_EQUAL(m[0].host, "c");
	CU_ASSERT_STRING_EQUAL(m[1].host, "d");
}

static void
few(void)
{
	struct candidate c[] = {host("a", "south", 0, 0)};
	struct member m[STANDBYS];

	CU_ASSERT_EQUAL(standbys_pick(c, 0, "south", m), 0);
	CU_ASSERT_EQUAL(standbys_pick(c, 1, "south", m), 1);
}

/* Sizes of the machines that run it today. */
static void
sizes(void)
{
	CU_ASSERT_EQUAL(hosts_borne(0.1, 10), 55);
	CU_ASSERT_EQUAL(hosts_borne(0.5, 200), 312);
	CU_ASSERT_EQUAL(hosts_borne(0, 200), 0);
	CU_ASSERT(first_wait(55) > first_wait(312));
	CU_ASSERT_EQUAL(first_wait(0), 0);
}

static const struct unit_test tests[] = {
    {"larger takes over", larger_takes_over},
    {"large ones first", large_first},
    {"data centres apart", data_centres_apart},
    {"stays", stays},
    {"few", few},
    {"sizes", sizes},
};
UNIT_MAIN("standby", tests)
