#include "recent.h"

/* How long an entry counts.  An answer this recent shows that a content does
 * not crash targets, and a run has ended or crashed its target by then. */
#define RECENT_FOR MS(10000)

/* Records a content; it replaces the one that has its place in the table. */
void
recent_add(struct recent *r, uint64_t digest, usec now)
{
	unsigned i = (unsigned)(digest % RECENT_MAX);

	r->entries[i].digest = digest;
	r->entries[i].at = now;
}

/*
 * True if the content was recorded recently.  A content that was answered
 * recently is not to blame when a target that runs it crashes.
 */
int
recent_has(const struct recent *r, uint64_t digest, usec now)
{
	unsigned i = (unsigned)(digest % RECENT_MAX);

	return (r->entries[i].at != 0 && r->entries[i].digest == digest &&
	    now - r->entries[i].at <= RECENT_FOR);
}
