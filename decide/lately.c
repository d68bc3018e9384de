#include "lately.h"

/* Another number stands from now on. */
void
lately_changed(struct lately *l, uint64_t was, usec now)
{
	unsigned i = l->next++ % LATELY_KEPT;

	l->was[i].number = was;
	l->was[i].until = now;
}

/*
 * True where the number still stood so long ago.  Who names such a one has not
 * heard of the change yet; who names any other has missed one for good.  To
 * wait until nothing has changed for a while tells them apart as well, but
 * while targets are replaced one after the other it never comes to that.
 */
int
lately_stood(const struct lately *l, uint64_t number, usec span, usec now)
{
	int i;

	for (i = 0; i < LATELY_KEPT; i++) {
		if (l->was[i].until != 0 && l->was[i].number == number &&
		    now - l->was[i].until <= span)
			return (1);
	}
	return (0);
}
