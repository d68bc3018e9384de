/*
 * Whether this host's data centre is cut off from the others, so that callers
 * are served better elsewhere.
 */
#ifndef CUTOFF_H
#define CUTOFF_H

#include "clock.h"

/* What a host sees of the targets of other data centres. */
struct cutoff_far {
	int lost;    /* not reached when last tried, a little while ago */
	int reached; /* answered a little while ago */
};

struct cutoff {
	int off;       /* believed to be cut off */
	usec lost_at;  /* no target elsewhere is reached since; 0 is not so */
	usec heard_at; /* the controller, last */
};

void cutoff_heard(struct cutoff *, usec now);
int cutoff_look(struct cutoff *, const struct cutoff_far *, usec now);

#endif
