#include "behind.h"

/*
 * A host that is told a version on the connection on which it hears of it has
 * its bytes by then, and needs a moment to read them.  Later they were lost on
 * the way, or were a change of a version that it has not.
 */
#define TOLD_WITHIN MS(400)
/* A read of the store that has not ended by then is not waited for alone. */
#define READ_AGAIN MS(2000)
/* Between asking a host and asking again: a copy of 1 MB takes 0.8 s on a link
 * of 10 Mbit/s, and one that is on its way must not be asked for once more. */
#define ASK_AGAIN MS(2000)

/* Between two reads at least: one that had begun before the store took the
 * version gives what is here already. */
#define READ_PAUSE MS(300)

/* When the newest version should be here by what was told, or at once. */
static usec
due_at(const struct behind *b)
{
	return (b->told ? b->heard_at + TOLD_WITHIN : b->heard_at);
}

/*
 * Another host has a version; told says that it has sent it here.  What is
 * waited for already is not put off: of a series of changes one may be lost,
 * and then none after it is of use here.
 */
void
behind_heard(
    struct behind *b, uint64_t own, uint64_t version, int told, usec now)
{
	int was_behind = b->wanted > own;

	if (version <= own || version <= b->wanted)
		return;
	b->wanted = version;
	b->heard_at = now;
	b->told = told;
	if (!was_behind)
		b->unread = 0;
	if (!was_behind || (!b->reading && due_at(b) < b->read_at))
		b->read_at = due_at(b);
}

/* The store did not give what was read. */
void
behind_unread(struct behind *b)
{
	b->unread = 1;
}

/* A read has ended, and what it gave is in force. */
void
behind_read(struct behind *b, usec now)
{
	b->reading = 0;
	b->read_at = due_at(b) > now ? due_at(b) : now;
	if (b->read_at < b->began_at + READ_PAUSE)
		b->read_at = b->began_at + READ_PAUSE;
}

/*
 * What to do now.  Whoever has it never sends it unasked a second time: copies
 * sent on a timer pile up on a link that needs longer for one than the timer
 * runs, and then none gets through.
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
	/* What was told before is here; the rest is on its way. */
	if (advanced && !b->reading)
		b->read_at = due_at(b);
	if (now >= b->read_at) {
		b->reading = 1;
		b->began_at = now;
		b->read_at = now + READ_AGAIN;
		return (BEHIND_READ);
	}
	if (!b->unread || now < b->ask_at)
		return (BEHIND_WAIT);
	b->ask_at = now + ASK_AGAIN;
	return (BEHIND_ASK);
}
