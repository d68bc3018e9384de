/*
 * When a connection that was closed for sending may be released.  Until then
 * what its peer still sends is read and discarded: to release a socket with
 * unread bytes resets the connection, as do bytes that arrive later, and the
 * peer loses what it has not received of its last answer.
 */
#ifndef DELIVERY_H
#define DELIVERY_H

#include "clock.h"

enum delivery_state {
	DELIVERY_PENDING,
	DELIVERY_DONE,	/* the peer has acknowledged everything */
	DELIVERY_FAILED /* it does not read, or takes too long */
};

struct delivery {
	usec since;
	usec progress_at; /* when the peer acknowledged something last */
	int unsent;	  /* bytes that it had not acknowledged then */
};

int delivery_is_complete(int unsent);
int delivery_is_needed(usec answered_at, int unsent, usec now);
int delivery_may_be_cut(usec answered_at, usec now);
void delivery_begin(struct delivery *, int unsent, usec now);
enum delivery_state delivery_check(struct delivery *, int unsent, usec now);

#endif
