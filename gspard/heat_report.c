/* The router's reports to the control service on requested keys and targets. */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"

#define TARGETS_MAX 1024

/* Returns an empty report with capacity for a number of services; NULL where
 * memory is exhausted. */
struct heat_report *
heat_report_new(int services)
{
	struct heat_report *h;

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
heat_report_keys(
    struct heat_report *h, const char *service, const struct heat *heat)
{
	struct heat_keys *k = &h->keys[h->nkeys++];

	name_copy(k->service, sizeof(k->service), service);
	k->heat = *heat;
}

/* Adds the state of a target that has answered since the last report. */
void
heat_report_target(struct heat_report *h, const char *id, double speed,
    double limit, int answers)
{
	struct heat_target *t;

	if (answers == 0 || h->ntargets == TARGETS_MAX)
		return;
	t = realloc(h->targets, sizeof(*t) * (size_t)(h->ntargets + 1));
	if (t == NULL)
		return;
	h->targets = t;
	t += h->ntargets++;
	name_copy(t->id, sizeof(t->id), id);
	t->speed = speed;
	t->limit = limit;
	t->answers = answers;
}

/* Frees a report; has the type of a message's drop function. */
void
heat_report_free(void *arg)
{
	struct heat_report *h = arg;

	free(h->keys);
	free(h->targets);
	free(h);
}
