#include "hearing.h"

/* Hosts report every 200 ms; one not heard for so long may be cut off ... */
#define HEARD_LATELY MS(900)
/* ... and one not heard for so long has ended, or was cut off long ago, and is
 * no sign that something is wrong now. */
#define HEARD_BEFORE MS(8000)

/*
 * True where at least half of the hosts that were there a little while ago are
 * heard still; heard holds when each was heard last.
 *
 * A controller whose data centre is cut off from the others may reach the
 * store all the same.  It would keep control, and renew nothing beyond its own
 * data centre: all other keys would be without owner for as long as the cut
 * lasts.  Where it hears fewer than half, more than half can have another.
 */
int
hears_enough(const usec *heard, int n, usec now)
{
	int i, before = 0, lately = 0;

	for (i = 0; i < n; i++) {
		before += now - heard[i] < HEARD_BEFORE;
		lately += now - heard[i] < HEARD_LATELY;
	}
	return (2 * lately >= before);
}
