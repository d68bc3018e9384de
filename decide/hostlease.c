#include <string.h>

#include "hostlease.h"
#include "lease.h"

/*
 * Records that a lease request is sent now, the next one after interval;
 * returns its sequence number.
 */
uint64_t
hostlease_request(struct hostlease *h, usec now, usec interval)
{
	h->seq++;
	h->sent[h->seq % LEASE_REQUESTS_MAX] = now;
	h->next_request = now + interval;
	return (h->seq);
}

/*
 * Takes a reply to a request; true if it was accepted.
 *
 * A reply of an earlier term than the one followed is refused: its controller
 * may have been paused for longer than its lease and go on as though nothing
 * had happened, while a later controller already gives this host's targets to
 * others.
 */
int
hostlease_reply(struct hostlease *h, usec now, const char *from, uint64_t term,
    uint64_t seq, usec length)
{
	usec end;

	if (term < h->term || seq > h->seq ||
	    h->seq - seq >= LEASE_REQUESTS_MAX)
		return (0);
	if (term > h->term || h->controller[0] == '\0')
		hostlease_hint(h, from, term);
	h->last_heard = now;
	end = lease_holder_end(h->sent[seq % LEASE_REQUESTS_MAX], length);
	if (end > h->until)
		h->until = end;
	return (1);
}

/*
 * Takes the name of a controller; true if its term is later than the one
 * followed.
 */
int
hostlease_hint(struct hostlease *h, const char *controller, uint64_t term)
{
	if (term <= h->term || controller[0] == '\0')
		return (0);
	h->term = term;
	name_copy(h->controller, sizeof(h->controller), controller);
	h->next_request = 0;
	return (1);
}
