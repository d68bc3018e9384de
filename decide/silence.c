#include "silence.h"

/* A request is overdue after so many times what is typical, and this long. */
#define TIMES_TYPICAL 4
#define PATIENCE_MIN MS(250)

/* A short call to the target was not answered in time. */
void
silence_missed(struct silence *s)
{
	s->missed = 1;
}

/*
 * A short call sent at `sent` was answered.  True where the one before it was
 * not: the target lives, so it was the connection that was silent, or the
 * target was frozen for a while.  Either way what was sent before waits in vain
 * or too long, and connections from before may be dead without a sign.
 */
int
silence_heard(struct silence *s, usec sent)
{
	silence_answered(s, sent);
	if (!s->missed)
		return (0);
	s->missed = 0;
	s->fresh_from = sent;
	return (1);
}

/*
 * How many seconds old a connection may be that is used now; 0 is any age, and
 * CONN_FRESH none.  Whole seconds, rounded down, so that none from before
 * passes.
 */
long
silence_conn_age(const struct silence *s, usec now)
{
	long age;

	if (s->missed)
		return (CONN_FRESH);
	if (s->fresh_from == 0)
		return (0);
	age = (long)((now - s->fresh_from) / US_PER_SEC);
	return (age > 0 ? age : CONN_FRESH);
}

/* Something sent at `sent` was answered. */
void
silence_answered(struct silence *s, usec sent)
{
	if (sent > s->answered)
		s->answered = sent;
}

/*
 * True where a request sent at `sent`, not answered yet, may be on a silent
 * connection: connections from then are suspected, or it takes far longer than
 * is typical while later ones are answered.  A target that is slow as a whole
 * answers nothing later, so it is not suspected.
 */
int
silence_suspects(const struct silence *s, usec now, usec sent, usec typical)
{
	usec patience = TIMES_TYPICAL * typical;

	if (sent < s->fresh_from)
		return (1);
	if (patience < PATIENCE_MIN)
		patience = PATIENCE_MIN;
	return (sent < s->answered && now - sent > patience);
}
