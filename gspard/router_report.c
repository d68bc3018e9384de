/* The router's reports to the control service on requested keys and targets. */
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"

#define TARGETS_MAX 1024

/* Returns an empty report with capacity for a number of services; NULL if
 * memory is exhausted. */
struct router_report *
router_report_new(int services)
{
	struct router_report *h;

	h = calloc(1, sizeof(*h));
	if (h == NULL)
		return (NULL);
	h->keys = calloc((size_t)services + 1, sizeof(*h->keys));
	if (h->keys != NULL)
		return (h);
	free(h);
	return (NULL);
}

/* Adds a service's sample of requested keys. */
void
router_report_keys(
    struct router_report *h, const char *service, const struct heat *heat)
{
	struct reported_keys *k = &h->keys[h->nkeys++];

	name_copy(k->service, sizeof(k->service), service);
	k->heat = *heat;
}

/*
 * Adds the state of a target that has answered since the last report.  One that
 * has announced in an answer that it is leaving, and whose entry does not say
 * so, is added every time: it gets no more requests, and the next controller
 * must know too.
 */
void
router_report_target(
    struct router_report *h, const char *id, const struct dest *d, int answers)
{
	int leaving = d->leaving_from != 0 && !d->leaving;
	struct reported_target *t;

	if ((answers == 0 && !leaving) || h->ntargets == TARGETS_MAX)
		return;
	t = realloc(h->targets, sizeof(*t) * (size_t)(h->ntargets + 1));
	if (t == NULL)
		return;
	h->targets = t;
	t += h->ntargets++;
	name_copy(t->id, sizeof(t->id), id);
	t->latency_ratio = d->latency_ratio;
	t->limit = d->limit;
	t->leaving = leaving;
	t->answers = answers;
}

/* Frees a report; has the type of a message's drop function. */
void
router_report_free(void *arg)
{
	struct router_report *h = arg;

	free(h->keys);
	free(h->targets);
	free(h);
}
