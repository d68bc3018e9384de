/* When a closed connection may be released. */
#include "delivery.h"
#include "unit.h"

#define BEGIN MS(1000)

/* A connection is released before its peer has received the answer, or kept
 * after that. */
static void
received(void)
{
	struct delivery d;

	delivery_begin(&d, 50000, BEGIN);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 40000, BEGIN + MS(1200)), DELIVERY_PENDING);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 2, BEGIN + MS(1500)), DELIVERY_PENDING);
	/* The end of the stream may wait for its acknowledgement. */
	CU_ASSERT_EQUAL(delivery_check(&d, 1, BEGIN + MS(1600)), DELIVERY_DONE);
	CU_ASSERT_EQUAL(delivery_check(&d, 0, BEGIN + MS(1600)), DELIVERY_DONE);
}

/* A peer has no time to read what its system has acknowledged. */
static void
time_to_read(void)
{
	struct delivery d;

	delivery_begin(&d, 0, BEGIN);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 0, BEGIN + MS(900)), DELIVERY_PENDING);
	CU_ASSERT_EQUAL(delivery_check(&d, 0, BEGIN + MS(1000)), DELIVERY_DONE);
}

/* A peer that does not read, or only a little, keeps a connection for ever; or
 * one that reads slowly is given up. */
static void
slow(void)
{
	struct delivery d;
	usec now;

	delivery_begin(&d, 50000, BEGIN);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 50000, BEGIN + MS(4900)), DELIVERY_PENDING);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 50000, BEGIN + MS(5000)), DELIVERY_FAILED);
	delivery_begin(&d, 50000, BEGIN);
	for (now = BEGIN; now < BEGIN + MS(30000); now += MS(4000))
		CU_ASSERT_EQUAL(
		    delivery_check(&d, 50000 - (int)(now / MS(4000)), now),
		    DELIVERY_PENDING);
	CU_ASSERT_EQUAL(
	    delivery_check(&d, 40000, BEGIN + MS(30000)), DELIVERY_FAILED);
}

/* A request that crosses the close of an idle connection is read, so that its
 * caller cannot tell that it has not run. */
static void
needed(void)
{
	CU_ASSERT(delivery_is_needed(BEGIN, 0, BEGIN + MS(900)));
	CU_ASSERT(!delivery_is_needed(BEGIN, 1, BEGIN + MS(1000)));
	CU_ASSERT(delivery_is_needed(BEGIN, 2, BEGIN + MS(9000)));
}

static const struct unit_test tests[] = {
    {"received", received},
    {"time to read", time_to_read},
    {"slow", slow},
    {"needed", needed},
};
UNIT_MAIN("delivery", tests)
