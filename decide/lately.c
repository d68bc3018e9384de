#include "lately.h"

/* Records that a version was replaced now. */
void
lately_changed(struct lately *l, uint64_t replaced, usec now)
{
	unsigned i = l->next++ % LATELY_KEPT;

	l->replaced[i].version = replaced;
	l->replaced[i].replaced_at = now;
}

/*
 * True if the version was replaced within the given time.  A host that reports
 * such a version has not yet received the update; a host that reports any other
 * outdated one has lost an update.  Waiting for a pause in the changes would
 * also tell the two apart, but a rolling replacement of targets leaves no
 * pause.
 */
int
lately_stood(const struct lately *l, uint64_t version, usec span, usec now)
{
	int i;

	for (i = 0; i < LATELY_KEPT; i++) {
		if (l->replaced[i].replaced_at != 0 &&
		    l->replaced[i].version == version &&
		    now - l->replaced[i].replaced_at <= span)
			return (1);
	}
	return (0);
}
