#include "join.h"

/* How long a host waits that hears no controller, and by how much hosts that
 * start together differ. */
#define WAIT_UNHEARD MS(600)
#define SPREAD_UNHEARD MS(400)
/* The same if it hears one that does not follow the store, or not yet. */
#define WAIT_UNTOLD MS(1500)
#define SPREAD_UNTOLD MS(500)
/* The same if it hears one that does: copies are sent to few hosts at a time.
 */
#define WAIT_TOLD MS(10000)
#define SPREAD_TOLD MS(5000)
/* A controller that was not heard for this long may be gone. */
#define SILENT_AFTER MS(900)
/* Time that hosts wait for others for each host of the fleet. */
#define DELAY_PER_HOST MS(3)

/* Records that the host has started. */
void
join_begin(struct join *j, uint64_t seed, usec now)
{
	j->began = now;
	j->seed = seed;
	j->heard = 0;
	j->told = 0;
}

/* Records a heartbeat; told says that its sender follows the store. */
void
join_heard(struct join *j, int told, usec now)
{
	j->heard = now;
	j->told = told;
}

/*
 * Returns how much longer than in a small fleet a host waits before it follows
 * the store itself.  A controller that has lost its watch lists all targets
 * again, which takes a second for 10,000 of them; if all hosts did meanwhile,
 * their calls would exceed the store's rate, and the controller's with them.
 * With the time that passes before, a leaving target must be known within
 * three quarters of leave_bound.
 */
usec
follow_delay(int hosts, uint64_t seed, usec leave_bound)
{
	usec delay = hosts * DELAY_PER_HOST;
	usec most = leave_bound * 3 / 4 - SILENT_AFTER;

	if (delay > most)
		delay = most > 0 ? most : 0;
	return (delay / 2 + (usec)(seed % (uint64_t)(delay / 2 + 1)));
}

/*
 * True while the host waits.  A list of 10,000 targets is 50 calls, and a
 * fleet that starts together would make them for each of its hosts; only hosts
 * that no controller sends the list to read it, and not all at once.
 */
int
join_waits(const struct join *j, usec now)
{
	usec wait = WAIT_UNHEARD, spread = SPREAD_UNHEARD;

	if (j->heard != 0 && now - j->heard <= SILENT_AFTER) {
		wait = j->told ? WAIT_TOLD : WAIT_UNTOLD;
		spread = j->told ? SPREAD_TOLD : SPREAD_UNTOLD;
	}
	return (now - j->began < wait + (usec)(j->seed % (uint64_t)spread));
}
