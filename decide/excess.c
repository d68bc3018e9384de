#include "excess.h"

/* Adds an item; one without weight is never chosen. */
void
excess_add(struct excess *e, size_t size, uint64_t weight, void *item)
{
	e->total += size;
	if (weight <= e->heaviest)
		return;
	e->heaviest = weight;
	e->item = item;
}

/* Returns the item to give up, or NULL if all of them fit in max. */
void *
excess_choose(const struct excess *e, size_t max)
{
	return (e->total > max ? e->item : NULL);
}
