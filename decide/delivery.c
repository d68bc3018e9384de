#include "delivery.h"

/* How long a peer has to read an answer that was written.  An acknowledgement
 * only tells that its system has the bytes. */
#define READ_TIME MS(1000)
/* A peer that acknowledges nothing for so long does not read. */
#define STALL_MAX MS(5000)
/* Limit for peers that read a little now and then. */
#define DELIVERY_MAX MS(30000)
/* The end of the stream counts as a byte, and is acknowledged late. */
#define END_OF_STREAM 1

/* True if a peer has acknowledged all but the end of the stream, of which
 * `unsent` bytes are not acknowledged. */
int
delivery_is_complete(int unsent)
{
	return (unsent <= END_OF_STREAM);
}

/*
 * True if the peer may still lose its last answer, which was written at
 * `answered_at`.  Where it cannot, a request that crosses the close is left
 * unread, so that the reset tells its caller that it has not run.
 */
int
delivery_is_needed(usec answered_at, int unsent, usec now)
{
	return (now - answered_at < READ_TIME || !delivery_is_complete(unsent));
}

/* True if an answer that was written then may be cut if what it takes is
 * needed: its caller has had time to read it. */
int
delivery_may_be_cut(usec answered_at, usec now)
{
	return (now - answered_at > READ_TIME);
}

/* Begins at the close. */
void
delivery_begin(struct delivery *d, int unsent, usec now)
{
	d->since = now;
	d->progress_at = now;
	d->unsent = unsent;
}

/* Takes note of the bytes that are not acknowledged yet, and returns whether
 * the connection may be released. */
enum delivery_state
delivery_check(struct delivery *d, int unsent, usec now)
{
	if (unsent < d->unsent) {
		d->unsent = unsent;
		d->progress_at = now;
	}
	if (now - d->since < READ_TIME)
		return (DELIVERY_PENDING);
	if (delivery_is_complete(unsent))
		return (DELIVERY_DONE);
	if (now - d->progress_at >= STALL_MAX || now - d->since >= DELIVERY_MAX)
		return (DELIVERY_FAILED);
	return (DELIVERY_PENDING);
}
