#include "budget.h"

/* Allows `share` retries for each first try, and max of them in a burst. */
void
budget_init(struct budget *b, double share, double max)
{
	b->share = share;
	b->max = max;
	b->tokens = max;
}

/* Counts a first try, which pays for a share of a retry. */
void
budget_first(struct budget *b)
{
	b->tokens += b->share;
	if (b->tokens > b->max)
		b->tokens = b->max;
}

/*
 * True where a retry may be sent.  Without the budget a server that fails all
 * requests is sent a multiple of its load, just when it can bear it least;
 * with it the sum stays under 1 + share of the callers' own.
 */
int
budget_retry(struct budget *b)
{
	if (b->tokens < 1)
		return (0);
	b->tokens -= 1;
	return (1);
}
