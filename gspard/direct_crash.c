/* What the router sees of targets that crash, for the control service. */
#include "direct.h"

/* A send to a target ended without an answer: it may have crashed under it. */
void
crash_broke(struct direct *d, const struct pending *p,
    const struct target_state *s, usec now)
{
	struct quarantine_seen *n = &d->crashes;

	if (n->nbroken == QUARANTINE_SEEN ||
	    recent_was_answered(&d->recent, p->digest, now))
		return;
	n->broken[n->nbroken].digest = p->digest;
	n->broken[n->nbroken++].target = s->digest;
}

/* A target has ended: nobody takes connections at its address, another does, or
 * its entry is gone though it had not said that it leaves. */
void
crash_ended(struct direct *d, struct target_state *s)
{
	struct quarantine_seen *n = &d->crashes;

	if (s->ended || n->nended == QUARANTINE_SEEN)
		return;
	s->ended = 1;
	n->ended[n->nended++] = s->digest;
}
