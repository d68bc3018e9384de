/* A retry budget: limits retries to a share of first attempts, so that they
 * cannot multiply the load. */
#ifndef BUDGET_H
#define BUDGET_H

/* How a budget was used, for metrics. */
struct budget_use {
	int deposits;
	int retries;
	int refused;
};

struct budget {
	double tokens;	       /* retries that may be sent now */
	double share;	       /* tokens earned by each first attempt */
	double max;	       /* tokens that are kept, the largest burst */
	struct budget_use use; /* since it was last taken */
};

void budget_init(struct budget *, double share, double max);
void budget_set_part(struct budget *, double share, double slack, int hosts);
void budget_deposit(struct budget *);
int budget_withdraw(struct budget *);
struct budget_use budget_take_use(struct budget *);

#endif
