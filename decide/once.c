#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"

enum { FREE, RUNNING, ENDED };

/*
 * Initializes a table with room for `size` tickets; returns 0, or -1 if out of
 * memory.  `table` must be a random number that no other table ever had; drop
 * frees the value of an ended entry.
 */
int
once_init(struct once *o, uint64_t table, size_t size, void (*drop)(void *))
{
	memset(o, 0, sizeof(*o));
	o->entries = calloc(size, sizeof(*o->entries));
	if (o->entries == NULL)
		return (-1);
	o->size = size;
	o->table = table;
	o->next = 1;
	o->floor = 1;
	o->drop = drop;
	return (0);
}

/* Clears an entry and frees its value. */
static void
clear(struct once *o, struct once_entry *e)
{
	if (e->state == ENDED && e->value != NULL && o->drop != NULL)
		o->drop(e->value);
	memset(e, 0, sizeof(*e));
}

/* Frees the table and the values in it. */
void
once_free(struct once *o)
{
	size_t i;

	for (i = 0; o->entries != NULL && i < o->size; i++)
		clear(o, &o->entries[i]);
	free(o->entries);
	o->entries = NULL;
}

/* Issues a ticket, which takes no entry until it is used. */
void
once_ticket(struct once *o, char out[TICKET_TEXT])
{
	snprintf(out, TICKET_TEXT, "gs1-%016" PRIx64 "-%" PRIu64, o->table,
	    o->next++);
}

/* Returns the entry for a number. */
static struct once_entry *
slot(struct once *o, uint64_t number)
{
	return (&o->entries[number % o->size]);
}

/*
 * Decides how to handle a request with this ticket.  Sets *number to the
 * ticket's number and, for ONCE_JOIN and ONCE_REPLAY, *value to the stored
 * value.
 *
 * A ticket below the floor may have been used and evicted, and one of another
 * table may have been used there.  Running it could bill a family twice, so
 * the caller gets the outcome "unknown".  A number from the floor on that is
 * not in the table was never used, as an entry is only overwritten once the
 * floor is above it.
 */
enum once_verdict
once_ask(struct once *o, const char *ticket, uint64_t *number, void **value)
{
	struct once_entry *e;
	uint64_t table;
	int end = 0;

	if (sscanf(ticket, "gs1-%16" SCNx64 "-%" SCNu64 "%n", &table, number,
		&end) != 2 ||
	    ticket[end] != '\0')
		return (ONCE_BAD);
	if (table != o->table || *number < o->floor)
		return (ONCE_STRANGE);
	if (*number >= o->next)
		return (ONCE_BAD);
	e = slot(o, *number);
	if (e->state != FREE && e->number == *number) {
		*value = e->value;
		return (e->state == RUNNING ? ONCE_JOIN : ONCE_REPLAY);
	}
	if (e->state == RUNNING)
		return (ONCE_FULL);
	if (e->state == ENDED && e->number > *number)
		return (ONCE_STRANGE);
	return (ONCE_RUN);
}

/* Records that a ticket's request runs; value identifies the run. */
void
once_running(struct once *o, uint64_t number, void *value)
{
	struct once_entry *e = slot(o, number);

	if (e->state == ENDED && e->number >= o->floor)
		o->floor = e->number + 1;
	clear(o, e);
	e->number = number;
	e->state = RUNNING;
	e->value = value;
}

/* Stores the answer to a ticket's request; the table takes ownership. */
void
once_ended(struct once *o, uint64_t number, void *value)
{
	struct once_entry *e = slot(o, number);

	if (e->state != RUNNING || e->number != number) {
		if (o->drop != NULL)
			o->drop(value);
		return;
	}
	e->state = ENDED;
	e->value = value;
}

/* Marks a ticket as unused again: its request certainly did not run. */
void
once_forget(struct once *o, uint64_t number)
{
	struct once_entry *e = slot(o, number);

	if (e->state == RUNNING && e->number == number)
		memset(e, 0, sizeof(*e));
}
