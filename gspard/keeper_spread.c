/* What the controller tells all hosts: that it is there, and who owns what. */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"
#include "standby.h"

/* Between signs of life of the controller. */
#define ALIVE_EVERY MS(300)

/* The number of what is published: rises also when control changes hands. */
uint64_t
spread_number(const struct keeper *k)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < k->nkeys; i++)
		n += k->keys[i]->number;
	return (k->term.rec.term << 32 | (n & 0xffffffff));
}

/* All that is published, as one snapshot. */
static struct owners *
collect(const struct keeper *k)
{
	struct owner_range *r;
	struct owners *o;
	int i, n, base = 0;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return (NULL);
	o->number = spread_number(k);
	/* Those not heard lately count too: they may go on sending, cut off,
	 * and the parts of shared limits must not add up to more. */
	o->hosts = k->nhosts;
	for (i = 0; i < k->nkeys; i++)
		o->ntargets += k->keys[i]->ntargets;
	o->targets = calloc((size_t)o->ntargets + 1, sizeof(*o->targets));
	o->services = calloc((size_t)k->nkeys + 1, sizeof(*o->services));
	if (o->targets == NULL || o->services == NULL) {
		owners_free(o);
		return (NULL);
	}
	for (i = 0; i < k->nkeys; i++) {
		if (!keys_ready(k->keys[i]))
			continue;
		keys_fill_owners(k->keys[i], &o->services[o->nservices]);
		for (n = 0; n < k->keys[i]->ntargets; n++)
			memcpy(o->targets[base + n], k->keys[i]->targets[n].id,
			    NAME_MAX_GS);
		for (n = 0; n < o->services[o->nservices].nranges; n++) {
			r = &o->services[o->nservices].ranges[n];
			if (r->target >= 0)
				r->target += base;
		}
		base += k->keys[i]->ntargets;
		o->nservices++;
	}
	return (o);
}

/* This host's rank among all by name, from 0: the same list gives each host
 * another. */
static int
rank(const struct keeper *k)
{
	const char *self = keeper_self(k);
	int i, n = 0;

	for (i = 0; i < k->nhosts; i++)
		n += strcmp(k->hosts[i].who.host, self) < 0;
	return (n);
}

/* Hands a snapshot to the router. */
void
owners_publish(struct keeper *k, struct owners *o)
{
	struct shared *sh;

	o->rank = rank(k);
	sh = shared_new(o, owners_free);
	if (sh == NULL) {
		owners_free(o);
		return;
	}
	k->number = o->number;
	shared_unref(k->owners);
	k->owners = shared_ref(sh);
	msg_post(k->s->kernel, "router", MSG_OWNERS, sh, shared_unref);
}

/* The state of a range on the wire. */
static uint32_t
range_state(const struct owner_range *r, usec now)
{
	if (!r->moving)
		return (0);
	if (r->served_at <= now)
		return (STATE_MOVING);
	return (STATE_BACK + (uint32_t)((r->served_at - now) / 1000));
}

/* Fills in one service's owners; -1 without memory. */
static int
fill_service(Gspar__KeyOwners *w, const struct owner_service *s, usec now)
{
	int i;

	gspar__key_owners__init(w);
	w->service = (char *)s->name;
	w->n_from = w->n_owner = w->n_state = (size_t)s->nranges;
	w->n_to = w->n_from;
	w->to = calloc((size_t)s->nranges + 1, sizeof(*w->to));
	w->from = calloc((size_t)s->nranges + 1, sizeof(*w->from));
	w->owner = calloc((size_t)s->nranges + 1, sizeof(*w->owner));
	w->state = calloc((size_t)s->nranges + 1, sizeof(*w->state));
	if (w->from == NULL || w->owner == NULL || w->state == NULL ||
	    w->to == NULL)
		return (-1);
	for (i = 0; i < s->nranges; i++) {
		w->from[i] = s->ranges[i].from;
		w->to[i] = s->ranges[i].to;
		w->owner[i] = (uint32_t)(s->ranges[i].target + 1);
		w->state[i] = range_state(&s->ranges[i], now);
	}
	return (0);
}

/* True where a host has what a difference is laid over. */
static int
has(const struct keeper_host *h, uint64_t number)
{
	return (number != 0 && (h->told == number || h->owners == number));
}

/* True where a host is to be told a snapshot now. */
static int
needs(const struct keeper_host *h, uint64_t number, usec now)
{
	return (keeper_tells(h, now) && h->owners != number &&
	    (h->told != number || now - h->told_at >= TELL_AGAIN));
}

/* Sends owners to the hosts that need them and have, or have not, what a
 * difference since a number is laid over; since is 0 for all of them. */
static void
send_owners(struct keeper *k, const struct owners *o, uint64_t since,
    uint64_t base, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Owners w = GSPAR__OWNERS__INIT;
	Gspar__KeyOwners services[KEEPER_SERVICES], *list[KEEPER_SERVICES];
	struct keeper_host *h;
	char **names;
	int i, bad = 0;

	names = calloc((size_t)o->ntargets + 1, sizeof(*names));
	w.term = k->term.rec.term;
	w.number = o->number;
	w.since = since;
	w.host_count = (uint32_t)o->hosts;
	w.controller = (char *)keeper_self(k);
	w.whole = 1;
	w.targets = names;
	w.n_targets = (size_t)o->ntargets;
	for (i = 0; names != NULL && i < o->ntargets; i++)
		names[i] = o->targets[i];
	for (i = 0; i < o->nservices; i++) {
		bad |= fill_service(&services[i], &o->services[i], now);
		list[i] = &services[i];
	}
	w.services = list;
	w.n_services = (size_t)o->nservices;
	f.body_case = GSPAR__FRAME__BODY_OWNERS;
	f.owners = &w;
	for (i = 0; i < k->nhosts && !bad && names != NULL; i++) {
		h = &k->hosts[i];
		if (!needs(h, o->number, now) || has(h, base) != (since != 0))
			continue;
		h->told = o->number;
		h->told_at = now;
		send_frame(k->s->kernel, h->who.host, 0, &f);
	}
	for (i = 0; i < o->nservices; i++) {
		free(services[i].from);
		free(services[i].to);
		free(services[i].owner);
		free(services[i].state);
	}
	free(names);
}

/*
 * Tells all hosts that need it who owns what: those that have the last
 * snapshot only what changed since.  What gets lost on its way shows in the
 * host's next reports, and it is told all.
 */
static void
send_changes(struct keeper *k, const struct owners *o, usec now)
{
	const struct owners *was = k->owners == NULL ? NULL : k->owners->p;
	struct owners *d = NULL;
	uint64_t base = 0;

	if (was != NULL && was->number != o->number &&
	    was->number >> 32 == o->number >> 32 &&
	    (d = owners_diff(was, o)) != NULL) {
		base = was->number;
		send_owners(k, d, base, base, now);
		owners_free(d);
	}
	send_owners(k, o, 0, base, now);
}

/* Tells all hosts that the controller is there, and which hosts there are. */
static void
send_alive(struct keeper *k, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Owners w = GSPAR__OWNERS__INIT;
	const struct conf *conf = kernel_conf(k->s->kernel);
	Gspar__HostAddr hosts[KEEPER_HOSTS], *list[KEEPER_HOSTS];
	Gspar__HostAddr self = GSPAR__HOST_ADDR__INIT;
	const struct site *t = keeper_site(k);
	const struct fleet *fleet = keeper_fleet(k);
	struct keeper_host *h;
	int i, late = term_renewal_late(&k->term, now);

	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		gspar__host_addr__init(&hosts[i]);
		hosts[i].host = h->who.host;
		hosts[i].addr = h->who.addr;
		hosts[i].dc = h->dc;
		hosts[i].boot = h->who.boot;
		list[w.n_hosts++] = &hosts[i];
	}
	/* Who is there changes rarely; the rest is a few bytes. */
	if (!k->hosts_changed)
		w.n_hosts = 0;
	k->hosts_changed = 0;
	w.hosts = list;
	self.host = (char *)conf->host;
	self.addr = (char *)conf->reached;
	self.dc = (char *)conf->dc;
	self.boot = kernel_boot(k->s->kernel);
	w.self = &self;
	w.term = k->term.rec.term;
	w.number = spread_number(k);
	w.controller = (char *)(k->resigned ? "" : conf->host);
	w.site = t == NULL ? 0 : t->version;
	w.site_told = k->site_fits;
	w.site_from = k->site_ask ? k->site_from : "";
	k->site_ask = 0;
	w.record = k->term.version;
	w.quarantine = quarantine_checksum(&k->quarantined);
	/* Nor while this host does not reach the store: others know better. */
	w.follows = fleet != NULL && k->fresh && !late;
	w.late = late;
	w.strained = strained(keeper_bears(k), k->nhosts);
	/*
	 * Also while targets come and go: changes are told before the sign of
	 * life that has their digest, on the same connection, so whoever goes
	 * on knowing others has missed one.  Told only once the list stood
	 * still, it was never told while targets were replaced one by one.
	 */
	if (w.follows)
		w.fleet = fleet->digest;
	f.body_case = GSPAR__FRAME__BODY_OWNERS;
	f.owners = &w;
	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		if (keeper_tells(h, now) &&
		    strcmp(h->who.host, conf->host) != 0)
			send_frame(k->s->kernel, h->who.host, 0, &f);
	}
}

/* Tells all hosts that this one no longer controls. */
void
spread_farewell(struct keeper *k, usec now)
{
	send_alive(k, now);
}

/*
 * True once this controller knows who owns what.  Until then hosts go on by
 * what the earlier one told: what would be told now names no owner at all.
 */
static int
knows_owners(const struct keeper *k)
{
	int i;

	for (i = 0; i < k->nkeys; i++) {
		if (!keys_ready(k->keys[i]))
			return (0);
	}
	return (1);
}

/* Tells hosts what is due, as controller. */
void
spread_tick(struct keeper *k, usec now)
{
	uint64_t number = spread_number(k);
	struct owners *o;
	int i, behind = number != k->number;

	for (i = 0; i < k->nhosts && !behind; i++)
		behind = needs(&k->hosts[i], number, now);
	if (behind && knows_owners(k) && (o = collect(k)) != NULL) {
		send_changes(k, o, now);
		owners_publish(k, o);
	}
	if (now < k->next_spread)
		return;
	k->next_spread = now + ALIVE_EVERY;
	send_alive(k, now);
}
