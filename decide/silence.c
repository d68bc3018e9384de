#include "silence.h"

/*
 * A request is overdue after this many times the typical duration, but not
 * before OVERDUE_MIN.
 */
#define OVERDUE_FACTOR 4
#define OVERDUE_MIN MS(250)

/* A probe of the target was not answered in time. */
void
silence_probe_missed(struct silence *s)
{
	s->missed = 1;
}

/*
 * Takes the answer to a probe sent at `sent`; true if the previous probe was
 * not answered. The target is alive, so the connection was dead or the target
 * was frozen for a while. In both cases requests sent earlier wait in vain or
 * too long, and older connections may be dead without a sign.
 */
int
silence_probe_answered(struct silence *s, usec sent)
{
	silence_request_answered(s, sent);
	if (!s->missed)
		return (0);
	s->missed = 0;
	s->suspect_before = sent;
	return (1);
}

/*
 * Returns the maximum age in seconds of a connection that may be reused now; 0
 * is any age, CONN_NEW_ONLY none. Rounded down to whole seconds, so that no
 * connection from before the silence is reused.
 */
long
silence_conn_age(const struct silence *s, usec now)
{
	long age;

	if (s->missed)
		return (CONN_NEW_ONLY);
	if (s->suspect_before == 0)
		return (0);
	age = (long)((now - s->suspect_before) / US_PER_SEC);
	return (age > 0 ? age : CONN_NEW_ONLY);
}

/* A request or probe sent at `sent` was answered. */
void
silence_request_answered(struct silence *s, usec sent)
{
	if (sent > s->answered)
		s->answered = sent;
}

/*
 * True if a request sent at `sent` and not answered yet may be on a dead
 * connection: connections of that time are suspected, or the request takes far
 * longer than is typical while later ones are answered. A target that is slow
 * as a whole answers no later request, so it is not suspected.
 */
int
silence_suspects(const struct silence *s, usec now, usec sent, usec typical)
{
	usec overdue = OVERDUE_FACTOR * typical;

	if (sent < s->suspect_before)
		return (1);
	if (overdue < OVERDUE_MIN)
		overdue = OVERDUE_MIN;
	return (sent < s->answered && now - sent > overdue);
}
