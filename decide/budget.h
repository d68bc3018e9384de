/* A retry budget: limits retries to a share of first attempts, so that they
 * cannot multiply the load. */
#ifndef BUDGET_H
#define BUDGET_H

struct budget {
	double tokens; /* retries that may be sent now */
	double share;  /* tokens earned by each first attempt */
	double max;    /* tokens that are kept, the largest burst */
};

void budget_init(struct budget *, double share, double max);
void budget_deposit(struct budget *);
int budget_withdraw(struct budget *);

#endif
