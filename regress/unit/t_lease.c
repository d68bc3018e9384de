/*
 * The holder of a lease must stop before its granter gives the keys to another
 * host, however long either message was delayed and if clocks drift.
 */
#include "lease.h"
#include "hostlease.h"
#include "unit.h"

/* The reply was delayed by 200 ms: the holder still stops first. */
static void
holder_stops_first(void)
{
	usec requested = MS(1000), replied = MS(1150), len = MS(1300);

	CU_ASSERT(
	    lease_holder_end(requested, len) < lease_granter_end(replied, len));
	CU_ASSERT(
	    lease_holder_end(replied, len) < lease_granter_end(replied, len));
}

/* The margins cover clocks that drift apart by one part in a thousand. */
static void
margins_cover_drift(void)
{
	usec len = MS(100000), end = lease_holder_end(0, len);

	CU_ASSERT(end + end / 1000 <= lease_granter_end(0, len));
}

/*
 * A frozen target reads a renewal long after it was sent: the expiry is an
 * absolute time of its own clock, which is past by then.
 */
static void
late_renewal_has_expired(void)
{
	int64_t receiver_clock = 5000000, until;

	until = grant_expiry(receiver_clock, MS(100), MS(1000));
	CU_ASSERT(until > receiver_clock);
	CU_ASSERT(until <= receiver_clock + MS(900));
	/* The target thaws three seconds later, by its own clock. */
	CU_ASSERT(until < receiver_clock + MS(3000));
	CU_ASSERT_EQUAL(grant_expiry(receiver_clock, MS(1000), MS(1000)), 0);
	CU_ASSERT_EQUAL(grant_expiry(receiver_clock, MS(1000), MS(900)), 0);
}

/* The host's lease counts from its request, not from the reply. */
static void
host_counts_from_request(void)
{
	struct hostlease h = {.term = 0};
	uint64_t seq;

	seq = hostlease_request(&h, MS(1000), MS(200));
	CU_ASSERT(hostlease_reply(&h, MS(1900), "c", 1, seq, MS(1300)));
	CU_ASSERT(h.until < MS(2300));
}

/*
 * A controller of an earlier term resumes and replies: refused, as a later one
 * may already give this host's targets to others.
 */
static void
earlier_term_is_refused(void)
{
	struct hostlease h = {.term = 0};
	uint64_t a, b;

	a = hostlease_request(&h, MS(0), MS(200));
	CU_ASSERT(hostlease_reply(&h, MS(1), "new", 2, a, MS(1300)));
	b = hostlease_request(&h, MS(200), MS(200));
	CU_ASSERT(!hostlease_reply(&h, MS(201), "old", 1, b, MS(1300)));
	CU_ASSERT(h.until < MS(1300));
	CU_ASSERT_STRING_EQUAL(h.controller, "new");
	CU_ASSERT(!hostlease_hint(&h, "old", 1));
	CU_ASSERT(!hostlease_reply(&h, MS(300), "new", 2, 99, MS(1300)));
}

static const struct unit_test tests[] = {
    {"holder stops first", holder_stops_first},
    {"margins cover drift", margins_cover_drift},
    {"late renewal has expired", late_renewal_has_expired},
    {"host lease counts from request", host_counts_from_request},
    {"earlier term is refused", earlier_term_is_refused},
};
UNIT_MAIN("lease", tests)
