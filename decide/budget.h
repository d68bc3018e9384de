/* The retry budget: a share of first tries, so that retries cannot multiply. */
#ifndef BUDGET_H
#define BUDGET_H

struct budget {
	double tokens;
	double share;
	double max;
};

void budget_init(struct budget *, double share, double max);
void budget_first(struct budget *);
int budget_retry(struct budget *);

#endif
