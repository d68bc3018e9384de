/* The router's services and rule statistics, and the choice of a target for a
 * request. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "direct.h"
#include "feature.h"

/* Initial average time of requests, in microseconds. */
#define AVG_TIME_INITIAL 100000.0

/* Returns the state of a service, which is created if missing; NULL if the
 * table is full. */
struct service_state *
service_state_get(struct direct *d, const char *name)
{
	const struct bounds *b = &kernel_conf(d->s->kernel)->bounds;
	struct service_state *v;
	int i;

	for (i = 0; i < d->nsvcs; i++) {
		if (strcmp(d->svcs[i].name, name) == 0)
			return (&d->svcs[i]);
	}
	if (d->nsvcs == SITE_SERVICES_MAX)
		return (NULL);
	v = &d->svcs[d->nsvcs++];
	memset(v, 0, sizeof(*v));
	name_copy(v->name, sizeof(v->name), name);
	v->avg_time = AVG_TIME_INITIAL;
	budget_init(&v->retry_budget, b->retry_share, 1);
	return (v);
}

/* Returns the statistics of a rule, which are created if missing and replace
 * another rule's if all of its slots are taken. */
struct rule_stats *
rule_stats_get(struct direct *d, const struct rule *r)
{
	uint64_t h = XXH3_64bits_withSeed(
	    r->prefix.p, r->prefix.n, XXH3_64bits(r->host.p, r->host.n));
	struct rule_stats *l;
	int i;

	for (i = 0; i < 8; i++) {
		l = &d->rule_stats[(h + (uint64_t)i) % RULE_STATS_SIZE];
		if (l->hash == h)
			return (l);
		if (l->hash == 0)
			break;
	}
	l->hash = h;
	l->avg_time = AVG_TIME_INITIAL;
	l->count = d->seed ^ h;
	return (l);
}

/* Returns the target of a service that is expected to answer soonest, or NULL
 * if all are full.  The cost of the one that this request was sent to before
 * is multiplied, so that a retry prefers another. */
struct target_state *
pick_target(struct direct *d, const struct pending *p, usec now)
{
	struct target_state *s, *best = NULL;
	double cost, least = 0;

	for (s = d->targets; s != NULL; s = s->next) {
		if (strcmp(s->service, p->svc->name) != 0 ||
		    !dest_can_send(&s->dest, now, &d->conf))
			continue;
		cost = dest_cost(&s->dest, now, (usec)p->stats->avg_time,
		    (usec)p->svc->avg_time);
		if (s == p->last_target)
			cost *= 8;
		/* Random, or hosts in the same state would all choose the same
		 * target. */
		d->seed = d->seed * 6364136223846793005u + 1442695040888963407u;
		if (feature_on(FEATURE_SPREAD))
			cost *= 1 + (double)(d->seed >> 40) / (1 << 24) * 0.15;
		if (best == NULL || cost < least) {
			best = s;
			least = cost;
		}
	}
	return (best);
}
