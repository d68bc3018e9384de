#include "share.h"

/* Part of a limit that is divided evenly whatever the demand, so that a target
 * without recent requests need not wait for its first share. */
#define EVEN_SHARE 0.2
/* Capacity of a bucket in seconds of its rate; at least one request. */
#define BURST_SECONDS 0.2

/* Returns the share of a limit that demand calls for. */
static double
share_by_demand(const struct share *s, double sum, int n, double limit)
{
	double even = limit * EVEN_SHARE / n;

	if (sum <= 0)
		return (limit / n);
	return (even + limit * (1 - EVEN_SHARE) * s->demand / sum);
}

/*
 * Recomputes the shares of a limit.  A share is lowered at once, but what that
 * frees is assigned to others only after the holder has confirmed the lower
 * share: until then both would use it and the sum exceed the limit.  may_raise
 * is 0 while some holder may not have reported yet.
 */
void
share_plan(struct share **s, int n, double limit, int may_raise)
{
	double sum = 0, used = 0, wanted, unassigned;
	int i;

	for (i = 0; i < n; i++)
		sum += s[i]->demand;
	for (i = 0; i < n; i++) {
		wanted = share_by_demand(s[i], sum, n, limit);
		if (wanted < s[i]->given)
			s[i]->given = wanted;
		if (s[i]->held < s[i]->given)
			s[i]->held = s[i]->given;
		used += s[i]->held;
	}
	for (i = 0; i < n && may_raise; i++) {
		wanted = share_by_demand(s[i], sum, n, limit);
		unassigned = limit - used;
		if (wanted <= s[i]->held || unassigned <= 0)
			continue;
		if (wanted - s[i]->held > unassigned)
			wanted = s[i]->held + unassigned;
		used += wanted - s[i]->held;
		s[i]->given = wanted;
		s[i]->held = wanted;
	}
}

/* Takes a token for one request; false if that would exceed the rate. */
int
bucket_take(struct bucket *b, double rate, usec now)
{
	double max = rate * BURST_SECONDS;

	if (max < 1)
		max = 1;
	b->tokens += rate * (double)(now - b->at) / US_PER_SEC;
	b->at = now;
	if (b->tokens > max)
		b->tokens = max;
	if (b->tokens < 1)
		return (0);
	b->tokens -= 1;
	return (1);
}
