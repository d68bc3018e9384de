/*
 * At most once: the table of tickets that one dispatcher keeps for a target.
 *
 * A ticket names the table that issued it and a number in it.  A table knows
 * of each of its tickets whether it was used; a ticket of another table it
 * cannot vouch for, and says so.  No clock of a caller takes part.
 */
#ifndef ONCE_H
#define ONCE_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#define TICKET_TEXT 48

enum once_verdict {
	ONCE_RUN,     /* first seen: run it */
	ONCE_JOIN,    /* runs already: wait for the same answer */
	ONCE_REPLAY,  /* ended: give the same answer */
	ONCE_STRANGE, /* issued by another table, or forgotten */
	ONCE_BAD,     /* no ticket at all */
	ONCE_FULL     /* no room to remember one more that runs */
};

struct once_entry {
	uint64_t number;
	int state;
	void *value;
};

struct once {
	uint64_t table;
	uint64_t next;
	uint64_t floor;
	struct once_entry *entries;
	size_t size;
	void (*drop)(void *value);
};

int once_init(struct once *, uint64_t table, size_t size, void (*)(void *));
void once_free(struct once *);
void once_ticket(struct once *, char out[TICKET_TEXT]);
enum once_verdict once_ask(struct once *, const char *, uint64_t *, void **);
void once_running(struct once *, uint64_t number, void *value);
void once_ended(struct once *, uint64_t number, void *value);
void once_forget(struct once *, uint64_t number);

#endif
