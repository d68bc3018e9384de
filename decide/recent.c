#include "recent.h"

/* An answer so long ago says that a request crashes no target. */
#define RECENTLY MS(10000)

/* Notes that a request of this content was answered. */
void
recent_answered(struct recent *r, uint64_t digest, usec now)
{
	unsigned i = (unsigned)(digest % RECENT_KEPT);

	r->kept[i].digest = digest;
	r->kept[i].at = now;
}

/*
 * True where one of this content was answered lately: it happened to run at a
 * target that crashed.  What is asked for all the time runs at every crash,
 * and would be quarantined with what causes them.
 */
int
recent_was_answered(const struct recent *r, uint64_t digest, usec now)
{
	unsigned i = (unsigned)(digest % RECENT_KEPT);

	return (r->kept[i].at != 0 && r->kept[i].digest == digest &&
	    now - r->kept[i].at <= RECENTLY);
}
