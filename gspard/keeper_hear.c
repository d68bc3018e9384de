/* What a host hears of its controller: that it is there, and who owns what. */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"

/* Where the controller says that it does not reach the store, a host waits for
 * one more sign of life (300 ms) before it follows the store itself: that
 * leaves 550 of the 900 ms that silence takes. */
#define FOLLOW_NEXT MS(550)

/* Reads one service's owners. */
static void
read_service(struct owner_service *s, const Gspar__KeyOwners *w, usec now)
{
	struct owner_range *r;
	size_t i, n = w->n_from;

	name_copy(s->name, sizeof(s->name), w->service);
	if (w->n_owner < n || w->n_state < n || w->n_to < n)
		return;
	s->ranges = calloc(n + 1, sizeof(*s->ranges));
	if (s->ranges == NULL)
		return;
	for (i = 0; i < n; i++) {
		r = &s->ranges[s->nranges++];
		r->from = w->from[i];
		r->to = w->to[i];
		r->target = (int)w->owner[i] - 1;
		r->moving = w->state[i] != 0;
		if (w->state[i] >= STATE_BACK)
			r->served_at = now + MS(w->state[i] - STATE_BACK);
	}
}

/* Reads who owns what, or what changed; NULL without memory. */
static struct owners *
read_owners(const struct keeper *k, const Gspar__Owners *w, usec now)
{
	struct owners *o;
	size_t i;
	int n;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return (NULL);
	o->number = w->number;
	o->hosts = (int)w->host_count;
	o->targets = calloc(w->n_targets + 1, sizeof(*o->targets));
	o->services = calloc(w->n_services + 1, sizeof(*o->services));
	if (o->targets == NULL || o->services == NULL) {
		owners_free(o);
		return (NULL);
	}
	for (i = 0; i < w->n_targets; i++)
		name_copy(
		    o->targets[o->ntargets++], NAME_MAX_GS, w->targets[i]);
	for (i = 0; i < w->n_services; i++)
		read_service(&o->services[o->nservices++], w->services[i], now);
	for (i = 0; i < w->n_services; i++) {
		for (n = 0; n < o->services[i].nranges; n++) {
			if (o->services[i].ranges[n].target >= o->ntargets)
				o->services[i].ranges[n].target = -1;
		}
	}
	return (o);
}

/* Lays a difference over what is known here; frees it.  NULL where it is
 * since another number: reports show it, and all is told. */
static struct owners *
lay_over(const struct keeper *k, struct owners *d, uint64_t since)
{
	const struct owners *base = k->owners == NULL ? NULL : k->owners->p;
	struct owners *o = NULL;

	if (base != NULL && base->number == since)
		o = owners_apply(base, d);
	owners_free(d);
	return (o);
}

/* Takes in a host that the controller names. */
static void
host_told(struct keeper *k, const Gspar__HostAddr *w, usec now)
{
	struct member m;

	memset(&m, 0, sizeof(m));
	name_copy(m.host, sizeof(m.host), w->host);
	name_copy(m.addr, sizeof(m.addr), w->addr);
	m.boot = w->boot;
	keeper_host_seen(k, &m, w->dc, 0, now);
}

/*
 * Updates the list of hosts.  The controller sends it when it changes; in
 * between, each heartbeat confirms the last one.  Expired instead, it would
 * give all hosts the same rank, and with it the same turn at limited targets.
 */
static void
hosts_told(struct keeper *k, const Gspar__Owners *w, usec now)
{
	struct keeper_host *h;
	size_t i;
	int n;

	for (n = 0; n < k->nhosts && w->n_hosts > 0; n++)
		k->hosts[n].named = 0;
	for (i = 0; i < w->n_hosts; i++) {
		host_told(k, w->hosts[i], now);
		if ((h = keeper_host(k, w->hosts[i]->host)) != NULL)
			h->named = now;
	}
	for (n = 0; n < k->nhosts; n++) {
		if (k->hosts[n].named != 0)
			k->hosts[n].named = now;
	}
}

/* Takes in what the controller says. */
void
spread_take(struct keeper *k, const Gspar__Owners *w, usec now)
{
	struct owners *o;

	if (k->acting)
		term_superseded(&k->term, now, w->term);
	if (w->term < k->controller_term || k->acting)
		return;
	k->controller_term = w->term;
	/*
	 * One that lives by its standbys' promises, while this host reaches the
	 * store, should be replaced, though it is heard: its standbys may be
	 * cut off from the store with it, and none of them would ever know.
	 */
	if (w->controller[0] == '\0')
		k->heard = 0;
	else if (!w->late || !k->fresh)
		k->heard = now;
	name_copy(k->controller, sizeof(k->controller), w->controller);
	/*
	 * Its address too: a host that has just started may hear it before it
	 * has read the record, and could not report to it, so it would be
	 * forgotten by it, and know no owners, for good.
	 */
	if (w->self != NULL)
		host_told(k, w->self, now);
	if (!w->whole) {
		hosts_told(k, w, now);
		site_heard(k, w, now);
		term_version_announced(&k->term, now, w->record);
		k->strained = w->strained;
		k->told_fleet = w->fleet;
		k->told_quarantine = w->quarantine;
		k->follows = w->follows;
		if (w->follows)
			k->fleet_heard = now;
		else if (k->fleet_heard > now - FOLLOW_NEXT)
			/* Unless its next sign says otherwise. */
			k->fleet_heard = now - FOLLOW_NEXT;
	}
	if (!w->whole || w->number < k->number)
		return;
	if ((o = read_owners(k, w, now)) == NULL)
		return;
	if (w->since != 0)
		o = lay_over(k, o, w->since);
	if (o != NULL)
		owners_publish(k, o);
}
