/*
 * How a host that has an older configuration than another gets the newer one:
 * it waits for what it is told, reads the store, or asks whoever has it.
 */
#ifndef BEHIND_H
#define BEHIND_H

#include <stdint.h>

#include "clock.h"

enum behind_step { BEHIND_WAIT, BEHIND_READ, BEHIND_ASK };

struct behind {
	uint64_t wanted; /* newest version that was heard of; 0 is none */
	usec heard_at;	 /* when, first */
	int told;	 /* it was sent here as well */
	uint64_t own;	 /* the host's own when it was looked at last */
	usec read_at;	 /* when the store is to be read */
	usec began_at;	 /* when it was read last */
	int reading;	 /* that read has not ended */
	int unread;	 /* the store did not give it */
	usec ask_at;	 /* when another host may be asked */
};

void behind_heard(
    struct behind *, uint64_t own, uint64_t version, int told, usec now);
void behind_unread(struct behind *);
void behind_read(struct behind *, usec now);
enum behind_step behind_step(struct behind *, uint64_t own, usec now);

#endif
