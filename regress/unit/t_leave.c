/* What a stopping host takes, and when each request must have its answer. */
#include "leave.h"
#include "unit.h"

#define NOW MS(50000)
#define GRACE MS(6000)

/*
 * A host is asked to stop.  For two seconds more its balancer sends callers
 * here, with requests that may last longer than the host does.  Refused, they
 * would fail where all hosts stop at once; cut at the kill, they would end
 * without a word.  They are taken and bounded.
 */
static void
still_sent(void)
{
	struct leave l = leave_plan(NOW, GRACE);

	CU_ASSERT(leave_takes(&l, NOW + MS(2000), NOW + MS(5000)));
	CU_ASSERT(leave_takes(&l, NOW + MS(2000), NOW + MS(20000)));
	CU_ASSERT(leave_deadline(&l, NOW + MS(20000)) == l.end);
	CU_ASSERT(leave_deadline(&l, NOW + MS(900)) == NOW + MS(900));
}

/*
 * A caller sends on a connection that it kept, 4.9 s after the host was asked
 * to stop, with 3 s to wait.  Its target fails the request after 0.6 s, it is
 * sent once more, and the kill at 6 s ends the connection with no answer.
 */
static void
kept_connection(void)
{
	struct leave l = leave_plan(NOW, GRACE);
	usec now = NOW + MS(4900);

	CU_ASSERT(!leave_takes(&l, now, now + MS(3000)));
	CU_ASSERT(leave_takes(&l, now, now + MS(100)));
	now = NOW + MS(3500);
	CU_ASSERT(leave_takes(&l, now, now + MS(1200)));
}

/* Time is left to write the answers, and a short one begins no later. */
static void
order(void)
{
	struct leave l = leave_plan(NOW, GRACE);

	CU_ASSERT(l.end >= NOW + GRACE * 5 / 6 && l.end < NOW + MS(5300));
	CU_ASSERT(l.shut < l.end);
	l = leave_plan(NOW, MS(1000));
	CU_ASSERT(l.shut <= l.end && l.end < NOW + MS(1000));
}

static const struct unit_test tests[] = {
    {"still sent", still_sent},
    {"kept connection", kept_connection},
    {"order", order},
};
UNIT_MAIN("leave", tests)
