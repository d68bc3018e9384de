#include <string.h>

#include "budget.h"

/*
 * Allows `share` retries for each first attempt, and a burst of `max`, which
 * first attempts have to earn.  If it were there from the start, a process that
 * is killed and started again would send the burst each time.
 */
void
budget_init(struct budget *b, double share, double max)
{
	b->share = share;
	b->max = max;
	b->tokens = 0;
	memset(&b->use, 0, sizeof(b->use));
}

/* Adds the tokens that a first attempt earns. */
void
budget_deposit(struct budget *b)
{
	b->use.deposits++;
	b->tokens += b->share;
	if (b->tokens > b->max)
		b->tokens = b->max;
}

/*
 * Takes a token for a retry; returns 0 if there is none and the retry must not
 * be sent.  Without a budget, retries multiply the load of a target that fails
 * every request, when it is least able to handle it.  With it, a target gets at
 * most 1 + share times the callers' requests.
 */
int
budget_withdraw(struct budget *b)
{
	if (b->tokens < 1) {
		b->use.refused++;
		return (0);
	}
	b->tokens -= 1;
	b->use.retries++;
	return (1);
}

/* Returns how the budget was used since the last call. */
struct budget_use
budget_take_use(struct budget *b)
{
	struct budget_use use = b->use;

	memset(&b->use, 0, sizeof(b->use));
	return (use);
}
