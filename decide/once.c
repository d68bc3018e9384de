#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"

enum { FREE, RUNNING, ENDED };

/*
 * Makes a table that remembers `size` tickets.  `table` must be a random
 * number no other table ever had; drop frees what an ended entry holds.
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

/* Empties an entry. */
static void
clear(struct once *o, struct once_entry *e)
{
	if (e->state == ENDED && e->value != NULL && o->drop != NULL)
		o->drop(e->value);
	memset(e, 0, sizeof(*e));
}

/* Frees the table and what it remembers. */
void
once_free(struct once *o)
{
	size_t i;

	for (i = 0; o->entries != NULL && i < o->size; i++)
		clear(o, &o->entries[i]);
	free(o->entries);
	o->entries = NULL;
}

/* Issues a ticket; none is remembered until it is used. */
void
once_ticket(struct once *o, char out[TICKET_TEXT])
{
	snprintf(out, TICKET_TEXT, "gs1-%016" PRIx64 "-%" PRIu64, o->table,
	    o->next++);
}

/* The entry where a number is remembered. */
static struct once_entry *
slot(struct once *o, uint64_t number)
{
	return (&o->entries[number % o->size]);
}

/*
 * Decides what a request with this ticket gets.  Sets the ticket's number,
 * and for ONCE_JOIN and ONCE_REPLAY the value remembered.
 *
 * A ticket under the floor may have been used and forgotten, one of another
 * table may have been used there: running it could bill a family twice, so
 * the caller gets "unknown".  Every number from the floor on that is not in
 * the table was never used here, for an entry is only overwritten after the
 * floor has moved past it.
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

/* Remembers that a ticket's request runs; value is who runs it. */
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

/* Remembers a ticket's answer, which the table frees with drop. */
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

/* Takes a ticket back to unused: its request is known not to have run. */
void
once_forget(struct once *o, uint64_t number)
{
	struct once_entry *e = slot(o, number);

	if (e->state == RUNNING && e->number == number)
		memset(e, 0, sizeof(*e));
}
