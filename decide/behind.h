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
	uint64_t had;	 /* the host's own when the store was read last */
	int reading;	 /* what that read gives is not in force yet */
	usec read_at;	 /* when the store is read next */
	usec ask_at;	 /* when another host is asked next */
	int unread;	 /* the store did not give it */
};

void behind_heard(
    struct behind *, uint64_t own, uint64_t version, int told, usec now);
void behind_unread(struct behind *);
enum behind_step behind_step(struct behind *, uint64_t own, usec now);

#endif
