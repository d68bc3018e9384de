#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once.h"

enum { FREE, RUNNING, ENDED };

/*
 * Initializes a table with room for `size` tickets; returns 0, or -1 if out of
 * memory.  `table_id` must be a random number that no other table ever had;
 * free_value frees the value of an ended entry.
 */
int
once_init(
    struct once *o, uint64_t table_id, size_t size, void (*free_value)(void *))
{
	memset(o, 0, sizeof(*o));
	o->entries = calloc(size, sizeof(*o->entries));
	if (o->entries == NULL)
		return (-1);
	o->size = size;
	o->table_id = table_id;
	o->next = 1;
	o->min_number = 1;
	o->free_value = free_value;
	return (0);
}

/* Clears an entry and frees its value. */
static void
clear_entry(struct once *o, struct once_entry *e)
{
	if (e->state == ENDED && e->value != NULL && o->free_value != NULL)
		o->free_value(e->value);
	memset(e, 0, sizeof(*e));
}

/* Frees the table and the values in it. */
void
once_free(struct once *o)
{
	size_t i;

	for (i = 0; o->entries != NULL && i < o->size; i++)
		clear_entry(o, &o->entries[i]);
	free(o->entries);
	o->entries = NULL;
}

/* Issues a ticket, which takes no entry until it is used. */
void
once_ticket(struct once *o, char out[TICKET_TEXT])
{
	snprintf(out, TICKET_TEXT, "gs1-%016" PRIx64 "-%" PRIu64, o->table_id,
	    o->next++);
}

/* Returns the entry for a number. */
static struct once_entry *
entry_for(struct once *o, uint64_t number)
{
	return (&o->entries[number % o->size]);
}

/*
 * Decides how to handle a request with this ticket.  Sets *number to the
 * ticket's number and, for ONCE_JOIN and ONCE_REPLAY, *value to the stored
 * value.
 *
 * A ticket below min_number may have been used and evicted, and one of another
 * table may have been used there.  Running it could repeat its effects, so
 * the caller gets the outcome "unknown".  A number from min_number on that is
 * not in the table was never used, as an entry is only overwritten once
 * min_number is above it.
 */
enum once_result
once_check(struct once *o, const char *ticket, uint64_t *number, void **value)
{
	struct once_entry *e;
	uint64_t table_id;
	int end = 0;

	if (sscanf(ticket, "gs1-%16" SCNx64 "-%" SCNu64 "%n", &table_id, number,
		&end) != 2 ||
	    ticket[end] != '\0')
		return (ONCE_INVALID);
	if (table_id != o->table_id || *number < o->min_number)
		return (ONCE_UNKNOWN);
	if (*number >= o->next)
		return (ONCE_INVALID);
	e = entry_for(o, *number);
	if (e->state != FREE && e->number == *number) {
		*value = e->value;
		return (e->state == RUNNING ? ONCE_JOIN : ONCE_REPLAY);
	}
	if (e->state == RUNNING)
		return (ONCE_FULL);
	if (e->state == ENDED && e->number > *number)
		return (ONCE_UNKNOWN);
	return (ONCE_RUN);
}

/* Records that a ticket's request runs; value identifies the run. */
void
once_begin(struct once *o, uint64_t number, void *value)
{
	struct once_entry *e = entry_for(o, number);

	if (e->state == ENDED && e->number >= o->min_number)
		o->min_number = e->number + 1;
	clear_entry(o, e);
	e->number = number;
	e->state = RUNNING;
	e->value = value;
}

/* Stores the answer to a ticket's request; the table takes ownership. */
void
once_finish(struct once *o, uint64_t number, void *value)
{
	struct once_entry *e = entry_for(o, number);

	if (e->state != RUNNING || e->number != number) {
		if (o->free_value != NULL)
			o->free_value(value);
		return;
	}
	e->state = ENDED;
	e->value = value;
}

/* Marks a ticket as unused again: its request certainly did not run. */
void
once_reset(struct once *o, uint64_t number)
{
	struct once_entry *e = entry_for(o, number);

	if (e->state == RUNNING && e->number == number)
		memset(e, 0, sizeof(*e));
}
