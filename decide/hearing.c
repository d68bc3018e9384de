#include "hearing.h"

/*
 * Hosts report every 200 ms; one not heard from for this long may be cut off.
 */
#define HEARD_RECENTLY MS(900)
/*
 * A host not heard from for this long has ended, or was cut off long ago, and
 * does not count.
 */
#define HEARD_EARLIER MS(8000)

/*
 * True if at least half of the hosts heard from within HEARD_EARLIER were also
 * heard from within HEARD_RECENTLY; heard has the time of each host's last
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
		lately += now - heard[i] < HEARD_RECENTLY;
	}
	return (2 * lately >= before);
}
