#include "excess.h"

/* Adds an answer of which size bytes of body have been received. */
void
excess_add(struct excess *e, size_t size, void *answer)
{
	e->total += size;
	if (size <= e->largest)
		return;
	e->largest = size;
	e->answer = answer;
}

/*
 * Returns the answer to give up, or NULL if all bodies fit in max bytes.  It is
 * the largest, which frees the most; a body without end soon is that.
 */
void *
excess_choose(const struct excess *e, size_t max)
{
	return (e->total > max ? e->answer : NULL);
}
