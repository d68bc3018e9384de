#include <string.h>

#include "budget.h"

/* The part of the slack that hosts divide among themselves.  The rest is for
 * hosts that have just been added and are not counted yet. */
#define SLACK_DIVIDED 0.75
/* What a budget whose part is less than one retry earns of the share. */
#define SMALL_PART_SHARE 0.5

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

/*
 * Sets the budget to the part of one of so many hosts, 0 if their number is not
 * known: together they may send `share` retries for each first attempt and
 * `slack` more.  A host can keep one retry in any case.  Where that is more
 * than its part, it earns less.
 */
void
budget_set_part(struct budget *b, double share, double slack, int hosts)
{
	double part = hosts > 0 ? SLACK_DIVIDED * slack / hosts : 1;

	b->share = part < 1 ? share * SMALL_PART_SHARE : share;
	b->max = part < 1 ? 1 : part;
	if (b->tokens > b->max)
		b->tokens = b->max;
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
