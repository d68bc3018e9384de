/*
 * How a host whose configuration is older than another host's gets the newer
 * one: it waits for a push, reads the store, or asks a host that has it.
 */
#ifndef BEHIND_H
#define BEHIND_H

#include <stdint.h>

#include "clock.h"

enum behind_step { BEHIND_WAIT, BEHIND_READ, BEHIND_ASK };

struct behind {
	uint64_t wanted;   /* newest version announced; 0 if none */
	usec announced_at; /* when it was first announced */
	int pushed;	   /* it was pushed to this host as well */
	uint64_t own;	   /* this host's version at the last step */
	usec read_at;	   /* when the store is read next */
	usec began_at;	   /* when the last read began */
	int reading;	   /* that read is pending */
	int read_failed;   /* the store did not return it */
	usec ask_at;	   /* when another host may be asked again */
};

void behind_announced(
    struct behind *, uint64_t own, uint64_t version, int pushed, usec now);
void behind_read_failed(struct behind *);
void behind_read_done(struct behind *, usec now);
enum behind_step behind_step(struct behind *, uint64_t own, usec now);

#endif
