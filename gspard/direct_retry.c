/* The retry budgets of services: this host's part of what all may send. */
#include "direct.h"

/* Interval at which the use of the budgets is counted and logged. */
#define USE_INTERVAL MS(1000)

/* Adds the use of a service's budget to the metrics, and logs it if a retry was
 * sent or refused; hosts is 0 if their number is not known. */
static void
report_use(struct service_state *v, int hosts)
{
	struct budget *b = &v->retry_budget;
	struct budget_use use = budget_take_use(b);

	count_add(C_RETRY_PAID, (uint64_t)use.retries);
	count_add(C_RETRY_REFUSED, (uint64_t)use.refused);
	if (use.retries == 0 && use.refused == 0)
		return;
	log_line(LOG_INFO, "router",
	    "Retry budget of service %s: %d requests, %d retries sent, %d "
	    "refused, %.1f of %.1f left, hosts %d.",
	    v->name, use.deposits, use.retries, use.refused, b->tokens, b->max,
	    hosts);
}

/* Sets this host's part of each service's retry budget from the settings and
 * the number of hosts. */
void
retry_budgets_update(struct direct *d, usec now)
{
	const struct bounds *b = &kernel_conf(d->s->kernel)->bounds;
	int i, hosts = host_count_most(&d->host_count, now);

	for (i = 0; i < d->nsvcs; i++)
		budget_set_part(&d->svcs[i].retry_budget, b->retry_share,
		    b->retry_slack, hosts);
	if (now < d->next_retry_use)
		return;
	d->next_retry_use = now + USE_INTERVAL;
	for (i = 0; i < d->nsvcs; i++)
		report_use(&d->svcs[i], hosts);
}
