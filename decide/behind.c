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

/* Another host has a version; told says that it has sent it here. */
void
behind_heard(
    struct behind *b, uint64_t own, uint64_t version, int told, usec now)
{
	if (version <= own || version <= b->wanted)
		return;
	b->wanted = version;
	b->read_at = told ? now + TOLD_WITHIN : now;
	b->unread = 0;
}

/* The store did not give what was read. */
void
behind_unread(struct behind *b)
{
	b->unread = 1;
}

/*
 * What to do now.  Whoever has it never sends it unasked a second time: copies
 * sent on a timer pile up on a link that needs longer for one than the timer
 * runs, and then none gets through.
 */
enum behind_step
behind_step(struct behind *b, uint64_t own, usec now)
{
	if (b->wanted <= own)
		return (BEHIND_WAIT);
	/* What was read was written before the newest: that is read at once. */
	if (b->reading && own != b->had)
		b->read_at = now;
	b->reading = b->reading && own == b->had;
	if (now >= b->read_at) {
		b->reading = 1;
		b->had = own;
		b->read_at = now + READ_AGAIN;
		return (BEHIND_READ);
	}
	if (!b->unread || now < b->ask_at)
		return (BEHIND_WAIT);
	b->ask_at = now + ASK_AGAIN;
	return (BEHIND_ASK);
}
