#include "behind.h"

/*
 * A version that is pushed arrives on the connection that announces it, before
 * the announcement, and takes a moment to be applied. After this time the push
 * was lost, or was a change to a version that this host does not have.
 */
#define PUSH_TIMEOUT MS(400)
/* A read of the store that is still pending after this time is repeated. */
#define READ_RETRY_DELAY MS(2000)
/*
 * Interval between requests to other hosts: a copy of 1 MB takes 0.8 s on a
 * link of 10 Mbit/s, and one under way must not be requested again.
 */
#define ASK_INTERVAL MS(2000)

/*
 * Minimum interval between the starts of two reads: a read that began before
 * the store took the version returns the version that this host has.
 */
#define READ_INTERVAL_MIN MS(300)

/*
 * Returns when to read the newest version: at once, or after the time for a
 * push.
 */
static usec
due_at(const struct behind *b)
{
	return (b->pushed ? b->announced_at + PUSH_TIMEOUT : b->announced_at);
}

/*
 * Another host has announced a version; pushed says that it has also sent it to
 * this host. A read that is already due is not postponed: in a series of
 * changes one may be lost, and then no later one can be applied.
 */
void
behind_announced(
    struct behind *b, uint64_t own, uint64_t version, int pushed, usec now)
{
	int was_behind = b->wanted > own;

	if (version <= own || version <= b->wanted)
		return;
	b->wanted = version;
	b->announced_at = now;
	b->pushed = pushed;
	if (!was_behind)
		b->read_failed = 0;
	if (!was_behind || (!b->reading && due_at(b) < b->read_at))
		b->read_at = due_at(b);
}

/* A read of the store has failed. */
void
behind_read_failed(struct behind *b)
{
	b->read_failed = 1;
}

/* A read has ended, and its result is in force. */
void
behind_read_done(struct behind *b, usec now)
{
	b->reading = 0;
	b->read_at = due_at(b) > now ? due_at(b) : now;
	if (b->read_at < b->began_at + READ_INTERVAL_MIN)
		b->read_at = b->began_at + READ_INTERVAL_MIN;
}

/*
 * Returns what to do now. Other hosts never push a copy again unasked: copies
 * sent by a timer pile up on a link that needs longer for one than the timer's
 * interval, and then none arrives.
 */
enum behind_step
behind_step(struct behind *b, uint64_t own, usec now)
{
	int advanced = own != b->own;

	b->own = own;
	if (b->wanted <= own) {
		b->reading = 0;
		return (BEHIND_WAIT);
	}
	/* An earlier push has arrived; the rest is under way. */
	if (advanced && !b->reading)
		b->read_at = due_at(b);
	if (now >= b->read_at) {
		b->reading = 1;
		b->began_at = now;
		b->read_at = now + READ_RETRY_DELAY;
		return (BEHIND_READ);
	}
	if (!b->read_failed || now < b->ask_at)
		return (BEHIND_WAIT);
	b->ask_at = now + ASK_INTERVAL;
	return (BEHIND_ASK);
}
