/* Tests which requests a stopping host accepts, and their deadlines. */
#include "stop_plan.h"
#include "unit.h"

#define NOW MS(50000)
#define GRACE MS(6000)

/*
 * For two seconds after a host was asked to stop, the load balancer still sends
 * it requests, some with deadlines after its end.  If it refused them, they
 * would fail when all hosts stop at once; if they ran until the kill, they
 * would get no answer.  They are accepted with an earlier deadline.
 */
static void
before_balancer_notices(void)
{
	struct stop_plan l = stop_plan_make(NOW, GRACE);

	CU_ASSERT(stop_plan_accepts(&l, NOW + MS(2000), NOW + MS(5000)));
	CU_ASSERT(stop_plan_accepts(&l, NOW + MS(2000), NOW + MS(20000)));
	CU_ASSERT(stop_plan_deadline(&l, NOW + MS(20000)) == l.end);
	CU_ASSERT(stop_plan_deadline(&l, NOW + MS(900)) == NOW + MS(900));
}

/*
 * A caller sends a request with a deadline of 3 s on a kept connection, 4.9 s
 * after the host was asked to stop.  If it were accepted and its target failed
 * it after 0.6 s, it would be retried and cut off by the kill at 6 s, without
 * an answer.
 */
static void
kept_connection(void)
{
	struct stop_plan l = stop_plan_make(NOW, GRACE);
	usec now = NOW + MS(4900);

	CU_ASSERT(!stop_plan_accepts(&l, now, now + MS(3000)));
	CU_ASSERT(stop_plan_accepts(&l, now, now + MS(100)));
	now = NOW + MS(3500);
	CU_ASSERT(stop_plan_accepts(&l, now, now + MS(1200)));
}

/* Time is left to write the answers, also with a short grace period. */
static void
order(void)
{
	struct stop_plan l = stop_plan_make(NOW, GRACE);

	CU_ASSERT(l.end >= NOW + GRACE * 5 / 6 && l.end < NOW + MS(5300));
	CU_ASSERT(l.accept_all_until < l.end);
	l = stop_plan_make(NOW, MS(1000));
	CU_ASSERT(l.accept_all_until <= l.end && l.end < NOW + MS(1000));
}

static const struct unit_test tests[] = {
    {"before balancer notices", before_balancer_notices},
    {"kept connection", kept_connection},
    {"order", order},
};
UNIT_MAIN("stop_plan", tests)
