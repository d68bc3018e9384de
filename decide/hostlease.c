#include <string.h>

#include "hostlease.h"
#include "lease.h"

/* Notes that an ask goes out now; returns its number. */
uint64_t
hostlease_ask(struct hostlease *h, usec now, usec every)
{
	h->seq++;
	h->sent[h->seq % ASKS_KEPT] = now;
	h->next_ask = now + every;
	return (h->seq);
}

/*
 * Takes an answer; true where it renewed the lease.
 *
 * An answer under a lower term than one already followed is refused: its
 * controller may have been paused over its lease and wake as though nothing
 * had happened, while a later one already gives our targets to others.
 */
int
hostlease_given(struct hostlease *h, usec now, const char *from, uint64_t term,
    uint64_t seq, usec length)
{
	usec end;

	if (term < h->term || seq > h->seq || h->seq - seq >= ASKS_KEPT)
		return (0);
	if (term > h->term || h->controller[0] == '\0')
		hostlease_hint(h, from, term);
	h->heard = now;
	end = lease_holder_end(h->sent[seq % ASKS_KEPT], length);
	if (end > h->until)
		h->until = end;
	return (1);
}

/* Learns of a controller; true where it is of a later term than the known. */
int
hostlease_hint(struct hostlease *h, const char *controller, uint64_t term)
{
	if (term <= h->term || controller[0] == '\0')
		return (0);
	h->term = term;
	name_copy(h->controller, sizeof(h->controller), controller);
	h->next_ask = 0;
	return (1);
}
