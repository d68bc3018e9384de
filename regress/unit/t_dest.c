/* Tests a host's estimate of targets, and where it sends requests. */
#include "dest.h"
#include "unit.h"

static const struct dest_conf twelve = {12};

static void
record_end(struct dest *d, usec now, enum dest_end e, usec took, int running,
    int waiting)
{
	struct dest_answer a = {
	    e, took, MS(100), {running >= 0, running, waiting, 0, 0}};

	dest_ended(d, now, &a);
}

/*
 * Some targets never answer a request that they cannot queue, nor any later one
 * on that connection.  Twelve hosts that each know only the last reported load
 * must stay below the target's four slots and sixteen queue places: a host
 * sends nothing to a target that reported to be full until that report is old.
 */
static void
stays_below_full(void)
{
	struct dest d;

	dest_init(&d, 4);
	CU_ASSERT(dest_can_send(&d, MS(1000), &twelve));
	dest_sent(&d, 0);
	record_end(&d, MS(1000), DEST_ANSWERED, MS(100), 4, 14);
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
	CU_ASSERT(!dest_can_send(&d, MS(1050), &twelve));
	CU_ASSERT(dest_can_send(&d, MS(1400), &twelve));
	/* One host does not fill a target, however idle it seems. */
	dest_init(&d, 4);
	dest_sent(&d, 0);
	dest_sent(&d, 0);
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
}

/* A leaving target gets no new requests, however idle it is: it may be gone
 * before they reach it. */
static void
leaving(void)
{
	struct dest d;

	dest_init(&d, 4);
	CU_ASSERT(dest_usable(&d, MS(1000)));
	d.leaving = 1;
	CU_ASSERT(!dest_usable(&d, MS(1000)));
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
}

/* Guards against sending to a target whose data centre has been evacuated. */
static void
evacuated(void)
{
	struct dest d;

	dest_init(&d, 4);
	d.closed_from = MS(2000);
	CU_ASSERT(dest_usable(&d, MS(1999)) && !dest_closed(&d, MS(1999)));
	CU_ASSERT(!dest_usable(&d, MS(2000)) && dest_closed(&d, MS(2000)));
	CU_ASSERT(!dest_can_send(&d, MS(2000), &twelve));
	d.closed_from = 0;
	CU_ASSERT(dest_can_send(&d, MS(2000), &twelve));
}

/* Guards against sending to a target after its answer announced that it leaves,
 * and against a later answer that postpones it. */
static void
leave_announced(void)
{
	struct dest d;

	dest_init(&d, 4);
	CU_ASSERT(dest_announce_leave(&d, MS(2000)));
	CU_ASSERT(dest_can_send(&d, MS(1999), &twelve));
	CU_ASSERT(!dest_left(&d, MS(1999)) && dest_left(&d, MS(2000)));
	CU_ASSERT(dest_closed(&d, MS(2000)) && !dest_usable(&d, MS(2000)));
	CU_ASSERT(!dest_can_send(&d, MS(2000), &twelve));
	CU_ASSERT(!dest_announce_leave(&d, MS(3000)));
	CU_ASSERT(dest_closed(&d, MS(2000)));
}

/* Guards against sending requests to a target in the time for which it wants
 * none, also where something else happens meanwhile. */
static void
paused(void)
{
	struct dest d;

	dest_init(&d, 4);
	dest_sent(&d, 0);
	dest_sent(&d, 0);
	dest_sent(&d, 0);
	record_end(&d, MS(1000), DEST_REFUSED, 0, -1, 0);
	dest_pause(&d, MS(4000));
	CU_ASSERT(dest_paused(&d, MS(3999)) && !dest_paused(&d, MS(4000)));
	CU_ASSERT_EQUAL(dest_wait(&d, MS(1500)), MS(2500));
	dest_pause(&d, MS(2000));
	record_end(&d, MS(1100), DEST_UNREACHED, 0, -1, 0);
	CU_ASSERT(!dest_can_send(&d, MS(3999), &twelve));
	record_end(&d, MS(1200), DEST_ANSWERED, MS(100), 0, 0);
	CU_ASSERT(!dest_can_send(&d, MS(3999), &twelve));
	CU_ASSERT(dest_can_send(&d, MS(4000), &twelve));
}

/* Guards against backing off from targets that were out of reach, all at once,
 * when there is another way to them. */
static void
failures_forgotten(void)
{
	struct dest d;
	int i;

	dest_init(&d, 4);
	for (i = 0; i < 5; i++) {
		dest_sent(&d, MS(1000));
		record_end(&d, MS(1000), DEST_UNREACHED, 0, -1, 0);
	}
	CU_ASSERT(dest_wait(&d, MS(1000)) > MS(500));
	dest_forget_failures(&d);
	CU_ASSERT(dest_can_send(&d, MS(1000), &twelve));
	/* The next failure counts as the first. */
	dest_sent(&d, MS(1000));
	record_end(&d, MS(1000), DEST_UNREACHED, 0, -1, 0);
	CU_ASSERT(dest_wait(&d, MS(1000)) <= MS(150));
	/* An attempt that did not leave this host says nothing. */
	dest_forget_failures(&d);
	dest_sent(&d, MS(1000));
	record_end(&d, MS(1000), DEST_NOT_SENT, 0, -1, 0);
	CU_ASSERT_EQUAL(d.inflight, 0);
	CU_ASSERT(dest_can_send(&d, MS(1000), &twelve));
}

/* Guards against sending a cold target as many requests as a warm one. */
static void
cold(void)
{
	struct rate_turns t = {90, 0, MS(0)};
	struct dest d;

	dest_init(&d, 6);
	d.cold_rate = 6;
	d.cold_until = MS(4000);
	dest_apply_limit(&d, &t, MS(1000));
	CU_ASSERT(dest_limit(&d, MS(1000)) == 6);
	CU_ASSERT(!dest_can_send(&d, MS(1000), &twelve));
	/* This host has a turn every 15 s. */
	CU_ASSERT(rate_wait(&d.rate, 0, MS(1000)) == MS(14000));
	dest_apply_limit(&d, &t, MS(4000));
	CU_ASSERT(dest_limit(&d, MS(4000)) < 0);
	CU_ASSERT(dest_can_send(&d, MS(4000), &twelve));
	/* The target's own limit holds only if it is lower. */
	d.limit = 2;
	CU_ASSERT(dest_limit(&d, MS(1000)) == 2);
	CU_ASSERT(dest_limit(&d, MS(4000)) == 2);
	d.limit = 7;
	CU_ASSERT(dest_limit(&d, MS(1000)) == 6);
	/* When it is cold again, the host has no turn saved. */
	d.limit = -1;
	d.cold_until = MS(9000);
	dest_apply_limit(&d, &t, MS(5000));
	CU_ASSERT(!dest_can_send(&d, MS(5000), &twelve));
}

/* With few hosts each may send more. */
static void
few_hosts(void)
{
	const struct dest_conf two = {2};
	struct dest d;
	int n;

	dest_init(&d, 4);
	for (n = 0; dest_can_send(&d, MS(1000), &two); n++)
		dest_sent(&d, 0);
	CU_ASSERT_EQUAL(n, 6);
}

/*
 * A target that accepts no connections is backed off from, longer each time, so
 * that callers don't wait for it again and again; then it is tried again.
 */
static void
unreached(void)
{
	struct dest d;

	dest_init(&d, 4);
	dest_sent(&d, 0);
	record_end(&d, MS(1000), DEST_UNREACHED, 0, -1, 0);
	CU_ASSERT(!dest_usable(&d, MS(1100)));
	CU_ASSERT(dest_usable(&d, MS(1200)));
	dest_sent(&d, 0);
	record_end(&d, MS(1200), DEST_UNREACHED, 0, -1, 0);
	CU_ASSERT(!dest_usable(&d, MS(1400)));
	dest_sent(&d, 0);
	record_end(&d, MS(2000), DEST_ANSWERED, MS(100), 1, 0);
	dest_sent(&d, 0);
	record_end(&d, MS(2000), DEST_UNREACHED, 0, -1, 0);
	CU_ASSERT(dest_usable(&d, MS(2200)));
}

/* Missing answers cause a backoff only if several are missing in a row. */
static void
broken(void)
{
	struct dest d;
	int i;

	dest_init(&d, 4);
	for (i = 0; i < 2; i++) {
		dest_sent(&d, 0);
		record_end(&d, MS(1000), DEST_BROKEN, 0, -1, 0);
	}
	CU_ASSERT(dest_usable(&d, MS(1001)));
	dest_sent(&d, 0);
	record_end(&d, MS(1000), DEST_BROKEN, 0, -1, 0);
	CU_ASSERT(!dest_usable(&d, MS(1001)));
}

/* Fast targets are preferred to slow, full and far ones. */
static void
costs(void)
{
	struct dest fast, slow, far;
	int i;

	dest_init(&fast, 4);
	dest_init(&slow, 4);
	fast.same_dc = slow.same_dc = 1;
	for (i = 0; i < 60; i++) {
		dest_sent(&fast, 0);
		record_end(&fast, MS(i), DEST_ANSWERED, MS(60), 1, 0);
		dest_sent(&slow, 0);
		record_end(&slow, MS(i), DEST_ANSWERED, MS(140), 1, 0);
	}
	CU_ASSERT(dest_cost(&fast, MS(1000), MS(100), MS(100)) <
	    dest_cost(&slow, MS(1000), MS(100), MS(100)));
	far = fast;
	far.same_dc = 0;
	CU_ASSERT(dest_cost(&far, MS(1000), MS(100), MS(100)) <
	    dest_cost(&slow, MS(1000), MS(100), MS(100)));
	CU_ASSERT(dest_cost(&far, MS(1000), MS(100), MS(100)) >
	    dest_cost(&fast, MS(1000), MS(100), MS(100)));
	fast.others_inflight = 12;
	fast.load_at = MS(1000);
	CU_ASSERT(dest_cost(&fast, MS(1000), MS(100), MS(100)) >
	    dest_cost(&slow, MS(1000), MS(100), MS(100)));
}

/*
 * Short reads and long exports go to the same targets.  A slower target with a
 * free slot answers a read sooner than a fast one whose slots are full of
 * exports.
 */
static void
behind_long_work(void)
{
	struct dest fast, slow;

	dest_init(&fast, 4);
	dest_init(&slow, 4);
	fast.latency_ratio = 0.6;
	slow.latency_ratio = 1.4;
	fast.others_inflight = 5;
	fast.load_at = MS(1000);
	CU_ASSERT(dest_cost(&fast, MS(1000), MS(36), MS(150)) >
	    dest_cost(&slow, MS(1000), MS(36), MS(150)));
}

/* A target that fails a part of its requests is avoided. */
static void
failing(void)
{
	struct dest good, bad;
	int i;

	dest_init(&good, 4);
	dest_init(&bad, 4);
	for (i = 0; i < 20; i++) {
		dest_sent(&bad, 0);
		record_end(&bad, MS(i), i % 2 ? DEST_ANSWERED : DEST_FAILED,
		    MS(100), 1, 0);
	}
	CU_ASSERT(dest_cost(&bad, MS(1000), MS(100), MS(100)) >
	    1.5 * dest_cost(&good, MS(1000), MS(100), MS(100)));
}

static const struct unit_test tests[] = {
    {"stays below full", stays_below_full},
    {"few hosts", few_hosts},
    {"leaving", leaving},
    {"evacuated", evacuated},
    {"leave announced", leave_announced},
    {"paused", paused},
    {"failures forgotten", failures_forgotten},
    {"cold", cold},
    {"unreached", unreached},
    {"broken", broken},
    {"costs", costs},
    {"behind long work", behind_long_work},
    {"failing", failing},
};
UNIT_MAIN("dest", tests)
