/* Shares of a service's rate limit: one for each target's dispatcher. */
#ifndef SHARE_H
#define SHARE_H

#include "clock.h"

/* Rates are in requests per second; a limit of 0 means no limit. */
struct share {
	double demand; /* arrival rate, smoothed */
	double held;   /* the most that its holder may be using now */
	double given;  /* what it may use from the next reply on */
};

/* Token bucket that enforces a share. */
struct bucket {
	double tokens;
	usec at;
};

void share_plan(struct share **, int n, double limit, int may_raise);
int bucket_take(struct bucket *, double rate, usec now);

#endif
