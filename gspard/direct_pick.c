/* The router's targets, services and rule statistics, and the choice of a
 * target for a request. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "direct.h"
#include "feature.h"
#include "incarnation.h"

/* Initial average time of requests, in microseconds. */
#define AVG_TIME_INITIAL 100000.0

/* Interval at which limits of targets are updated. */
#define LIMITS_INTERVAL MS(20)
/* Number of hosts assumed to share a rate limit until their number is known. */
#define RATE_HOSTS_ASSUMED 512

/* Returns a target's state by id, or NULL. */
struct target_state *
target_state_find(struct direct *d, const char *id)
{
	return (apr_hash_get(d->by_id, id, APR_HASH_KEY_STRING));
}

/* Returns a service of the current configuration by name, or NULL. */
static const struct site_service *
service_of(const struct direct *d, const char *name)
{
	const struct site *site = d->site == NULL ? NULL : d->site->p;
	int n = site == NULL ? -1 : site_service(site, name);

	return (n < 0 ? NULL : &site->services[n]);
}

/*
 * Returns for how long a target that must get no new requests after `bound`
 * still gets some: not at all, or for half of that time if it owns keys, which
 * are moved first.
 */
usec
target_grace(const struct direct *d, const char *service, usec bound)
{
	const struct site_service *v = service_of(d, service);

	return (v != NULL && v->keyed ? bound / 2 : 0);
}

/* Returns when a target stops getting requests because its data centre is
 * evacuated. */
static usec
closed_from(
    const struct direct *d, const struct fleet *f, const struct fleet_target *t)
{
	usec bound = MS(kernel_conf(d->s->kernel)->bounds.evacuate_ms);

	return (evacuations_closed_from(
	    &f->evacuations, t->dc, target_grace(d, t->service, bound)));
}

/* Sets the time until which a target is cold, and its rate limit until then. */
static void
set_cold(struct dest *d, const struct site_service *v, const struct fleet *f,
    const struct fleet_target *t)
{
	usec evacuation_cold_until = evacuations_cold_until(
	    &f->evacuations, t->dc, v == NULL ? 0 : v->cold_start);

	d->cold_until = t->cold_until > evacuation_cold_until
	    ? t->cold_until
	    : evacuation_cold_until;
	d->cold_rate = v == NULL ? 0 : v->cold_rate;
}

/* Returns this host's turns at targets whose limit is shared by all hosts. */
static struct rate_turns
own_turns(const struct direct *d, usec now)
{
	struct rate_turns t = {d->conf.hosts, d->rank, now - clock_wall()};
	const char *host = kernel_conf(d->s->kernel)->host;

	if (d->hosts_known)
		return (t);
	/* Too small a share only delays requests; too large a one exceeds the
	 * limits. */
	t.hosts = RATE_HOSTS_ASSUMED;
	t.rank = (int)(XXH3_64bits(host, strlen(host)) % RATE_HOSTS_ASSUMED);
	return (t);
}

/* Updates the limits of all targets. */
void
targets_update_limits(struct direct *d, usec now)
{
	struct rate_turns t = own_turns(d, now);
	struct target_state *p;

	d->next_limits = now + LIMITS_INTERVAL;
	for (p = d->targets; p != NULL; p = p->next)
		dest_apply_limit(&p->dest, &t, now);
}

/* Adds or updates a target from its entry. */
static void
update_entry(struct direct *d, const struct fleet *f,
    const struct fleet_target *t, usec now)
{
	const struct conf *conf = kernel_conf(d->s->kernel);
	struct target_state *p = target_state_find(d, t->id);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			return;
		name_copy(p->id, sizeof(p->id), t->id);
		p->digest = incarnation_digest(p->id);
		dest_init(&p->dest, t->slots);
		p->next = d->targets;
		d->targets = p;
		apr_hash_set(d->by_id, p->id, APR_HASH_KEY_STRING, p);
	}
	name_copy(p->addr, sizeof(p->addr), t->addr);
	name_copy(p->service, sizeof(p->service), t->service);
	name_copy(p->dc, sizeof(p->dc), t->dc);
	p->dest.slots = t->slots;
	p->dest.same_dc = strcmp(t->dc, conf->dc) == 0;
	set_cold(&p->dest, service_of(d, t->service), f, t);
	p->dest.closed_from = closed_from(d, f, t);
	if (t->gone && !p->dest.leaving)
		crash_add_end(d, p);
	if (t->leaving && !t->gone)
		dest_announce_leave(&p->dest,
		    now +
			target_grace(d, t->service, MS(conf->bounds.leave_ms)));
	p->dest.leaving = t->leaving && !t->leave_unwritten;
	p->listed = 1;
}

/* Updates all targets from a new list; those not on it are leaving. */
void
targets_update(struct direct *d, const struct fleet *f, usec now)
{
	struct target_state *p;
	int i;

	for (p = d->targets; p != NULL; p = p->next)
		p->listed = 0;
	for (i = 0; i < f->ntargets; i++)
		update_entry(d, f, &f->targets[i], now);
	for (p = d->targets; p != NULL; p = p->next) {
		if (!p->listed)
			p->dest.leaving = 1;
	}
	d->have_fleet = 1;
	d->pools_changed = 1;
	targets_update_limits(d, now);
}

/* Frees targets that are not listed and that no request refers to. */
void
targets_sweep(struct direct *d)
{
	struct target_state **at = &d->targets, *p;

	while ((p = *at) != NULL) {
		if (p->listed || p->users > 0 || p->queue.waiting > 0) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		apr_hash_set(d->by_id, p->id, APR_HASH_KEY_STRING, NULL);
		free(p);
	}
}

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
