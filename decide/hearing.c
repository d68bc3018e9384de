#include "hearing.h"

/* Shortest interval between reports of a host. */
#define INTERVAL_MIN MS(200)
/* Reports that a controller gets each second at most, from all hosts. */
#define REPORTS_PER_SECOND 1500
/* A host that has not been heard from for this long is sent nothing more. */
#define LOST_AFTER_MIN MS(3000)
/*
 * A host not heard from for this long has ended, or was cut off long ago, and
 * does not count.
 */
#define HEARD_EARLIER MS(8000)

/*
 * Returns the interval between reports of a host.  In large fleets it grows
 * with their number: the controller handles the reports of all hosts.
 */
usec
report_interval(int hosts)
{
	usec shared = (usec)hosts * US_PER_SEC / REPORTS_PER_SECOND;

	return (shared > INTERVAL_MIN ? shared : INTERVAL_MIN);
}

/* Returns for how long a report may name what has been replaced. */
usec
report_lag(int hosts)
{
	return (2 * report_interval(hosts));
}

/* Returns the time after which a host is sent again what its reports show that
 * it lacks. */
usec
report_retry_delay(int hosts)
{
	return (3 * report_interval(hosts));
}

/* Returns the time after which a host that has not been heard from may be cut
 * off. */
usec
report_silence(int hosts)
{
	return (report_interval(hosts) * 9 / 2);
}

/* Returns the time after which a host that has not been heard from is sent
 * nothing more. */
usec
report_lost_after(int hosts)
{
	usec lost = 5 * report_interval(hosts);

	return (lost > LOST_AFTER_MIN ? lost : LOST_AFTER_MIN);
}

/*
 * True if at least half of the hosts heard from within HEARD_EARLIER were also
 * heard from lately; heard has the time of each host's last
 * report.
 *
 * A controller whose data centre is cut off from the others may still reach the
 * store. It would keep control but renew leases only in its own data centre,
 * and all other keys would have no owner as long as the cut lasts. If it hears
 * from fewer than half, more than half of the hosts can have another
 * controller.
 */
int
hears_most_hosts(const usec *heard, int n, usec now)
{
	int i, before = 0, lately = 0;

	for (i = 0; i < n; i++) {
		before += now - heard[i] < HEARD_EARLIER;
		lately += now - heard[i] < report_silence(n);
	}
	return (2 * lately >= before);
}
