#include "superseded.h"

/* Records that a version was replaced now. */
void
superseded_add(struct superseded *l, uint64_t replaced, usec now)
{
	unsigned i = l->next++ % SUPERSEDED_MAX;

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
superseded_within(
    const struct superseded *l, uint64_t version, usec span, usec now)
{
	int i;

	for (i = 0; i < SUPERSEDED_MAX; i++) {
		if (l->replaced[i].replaced_at != 0 &&
		    l->replaced[i].version == version &&
		    now - l->replaced[i].replaced_at <= span)
			return (1);
	}
	return (0);
}
