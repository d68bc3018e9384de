/*
 * At-most-once execution: the table of tickets that a dispatcher keeps for a
 * target.
 *
 * A ticket consists of the id of the table that issued it and a number.  A
 * table knows whether each of its own tickets was used.  It cannot know that
 * of a ticket of another table, and reports it as unknown.  This does not
 * depend on the clocks of callers.
 */
#ifndef ONCE_H
#define ONCE_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#define TICKET_TEXT 48

enum once_result {
	ONCE_RUN,     /* unused: run the request */
	ONCE_JOIN,    /* running: wait for the same answer */
	ONCE_REPLAY,  /* finished: send the same answer again */
	ONCE_UNKNOWN, /* issued by another table, or evicted */
	ONCE_INVALID, /* not a ticket, or never issued */
	ONCE_FULL     /* its entry is taken by a request that runs */
};

struct once_entry {
	uint64_t number;
	int state;
	void *value;
};

struct once {
	uint64_t table_id; /* id, part of each ticket */
	uint64_t next;
	uint64_t min_number; /* lower numbers may have been evicted */
	struct once_entry *entries;
	size_t size;
	void (*free_value)(void *value); /* frees the value of an ended entry */
};

int once_init(struct once *, uint64_t table_id, size_t size, void (*)(void *));
void once_free(struct once *);
void once_ticket(struct once *, char out[TICKET_TEXT]);
enum once_result once_check(struct once *, const char *, uint64_t *, void **);
void once_begin(struct once *, uint64_t number, void *value);
void once_finish(struct once *, uint64_t number, void *value);
void once_reset(struct once *, uint64_t number);

#endif
