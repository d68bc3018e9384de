/*
 * Heartbeats of the controller and the owners that it publishes to all hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"
#include "standby.h"

/* Interval of the controller's heartbeats. */
#define HEARTBEAT_INTERVAL MS(300)

/*
 * Returns the number of the current snapshot.  The term is its upper half, so
 * it also rises when the controller changes.
 */
uint64_t
owners_number(const struct sitectl *k)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < k->nkeys; i++)
		n += k->keys[i]->number;
	return (k->term.rec.term << 32 | (n & 0xffffffff));
}

/* Returns a snapshot of the owners of all services; NULL if memory runs out. */
static struct owners *
collect_owners(const struct sitectl *k)
{
	struct owner_range *r;
	struct owners *o;
	int i, n, base = 0;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return (NULL);
	o->number = owners_number(k);
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

/*
 * Returns this host's rank by name, from 0.  With the same list of hosts each
 * host gets a different rank.
 */
static int
rank(const struct sitectl *k)
{
	const char *self = sitectl_self(k);
	int i, n = 0;

	for (i = 0; i < k->hosts.n; i++)
		n += strcmp(k->hosts.list[i].process.host, self) < 0;
	return (n);
}

/* Tells the router how many hosts share limits, if that has changed since it
 * was told last; does nothing if hosts is 0. */
void
host_count_publish(struct sitectl *k, int hosts)
{
	struct host_turn turn = {hosts, rank(k)}, *copy;

	if (hosts == 0 || (hosts == k->turn.hosts && turn.rank == k->turn.rank))
		return;
	copy = malloc(sizeof(*copy));
	if (copy == NULL)
		return;
	*copy = turn;
	if (msg_post(k->s->kernel, "router", MSG_HOST_COUNT, copy, free) == 0)
		k->turn = turn;
}

/* Sends a snapshot to the router.  Takes ownership of it. */
void
owners_publish(struct sitectl *k, struct owners *o)
{
	struct shared *sh;

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

/* Encodes the state of a range. */
static uint32_t
range_state(const struct owner_range *r, usec now)
{
	if (!r->moving)
		return (0);
	if (r->served_at <= now)
		return (RANGE_MOVING);
	return (RANGE_MOVING_UNTIL + (uint32_t)((r->served_at - now) / 1000));
}

/* Encodes one service's owners; returns -1 if memory runs out. */
static int
fill_service(Gspar__KeyOwners *msg, const struct owner_service *s, usec now)
{
	int i;

	gspar__key_owners__init(msg);
	msg->service = (char *)s->name;
	msg->n_from = msg->n_owner = msg->n_state = (size_t)s->nranges;
	msg->n_to = msg->n_from;
	msg->to = calloc((size_t)s->nranges + 1, sizeof(*msg->to));
	msg->from = calloc((size_t)s->nranges + 1, sizeof(*msg->from));
	msg->owner = calloc((size_t)s->nranges + 1, sizeof(*msg->owner));
	msg->state = calloc((size_t)s->nranges + 1, sizeof(*msg->state));
	if (msg->from == NULL || msg->owner == NULL || msg->state == NULL ||
	    msg->to == NULL)
		return (-1);
	for (i = 0; i < s->nranges; i++) {
		msg->from[i] = s->ranges[i].from;
		msg->to[i] = s->ranges[i].to;
		msg->owner[i] = (uint32_t)(s->ranges[i].target + 1);
		msg->state[i] = range_state(&s->ranges[i], now);
	}
	return (0);
}

/* True if a host has the base of a difference, or was sent it. */
static int
has_base(const struct host_entry *h, uint64_t number)
{
	return (number != 0 &&
	    (h->owners_sent == number || h->owners_reported == number));
}

/* True if a snapshot is to be sent to a host now. */
static int
needs_owners(const struct sitectl *k, const struct host_entry *h,
    uint64_t number, usec now)
{
	return (sitectl_host_up(k, h, now) && h->owners_reported != number &&
	    (h->owners_sent != number ||
		now - h->owners_sent_at >= report_retry_delay(k->hosts.n)));
}

/*
 * Sends owners to the hosts that need them: with since != 0, a difference, to
 * those that have its base; with since 0, the whole snapshot, to the others.
 */
static void
send_owners(struct sitectl *k, const struct owners *o, uint64_t since,
    uint64_t base, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Owners w = GSPAR__OWNERS__INIT;
	Gspar__KeyOwners services[SITECTL_SERVICES_MAX],
	    *list[SITECTL_SERVICES_MAX];
	struct host_entry *h;
	char **names;
	int i, bad = 0;

	names = calloc((size_t)o->ntargets + 1, sizeof(*names));
	w.term = k->term.rec.term;
	w.number = o->number;
	w.since = since;
	w.controller = (char *)sitectl_self(k);
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
	for (i = 0; i < k->hosts.n && !bad && names != NULL; i++) {
		h = &k->hosts.list[i];
		if (!needs_owners(k, h, o->number, now) ||
		    has_base(h, base) != (since != 0))
			continue;
		h->owners_sent = o->number;
		h->owners_sent_at = now;
		send_frame(k->s->kernel, h->process.host, 0, &f);
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
 * Sends the owners to all hosts that need them; hosts that have the last
 * snapshot get only the difference.  If one is lost, the host's next reports
 * show it, and it is sent the whole snapshot.
 */
static void
send_changes(struct sitectl *k, const struct owners *o, usec now)
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

/*
 * True once this controller knows the owners of all services.  Until then hosts
 * keep those of the previous controller: a snapshot sent now would name no
 * owner at all.
 */
static int
knows_owners(const struct sitectl *k)
{
	int i;

	for (i = 0; i < k->nkeys; i++) {
		if (!keys_ready(k->keys[i]))
			return (0);
	}
	return (1);
}

/*
 * Returns the number of hosts that share limits, or 0 while this controller has
 * just begun and may not know most of them.  Hosts that were not heard from
 * recently count too: they may still send although they are cut off, and the
 * shares of a limit must not add up to more than it.
 */
static int
host_count(const struct sitectl *k)
{
	return (knows_owners(k) ? k->hosts.n : 0);
}

/* Sends a heartbeat to all hosts, with what each needs of the list of hosts.
 */
static void
send_heartbeat(struct sitectl *k, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Owners w = GSPAR__OWNERS__INIT;
	const struct conf *conf = kernel_conf(k->s->kernel);
	Gspar__HostAddr self = GSPAR__HOST_ADDR__INIT;
	const struct site *site = sitectl_site(k);
	const struct fleet *fleet = sitectl_fleet(k);
	struct host_list *list = host_list_new(k, now);
	struct host_entry *h;
	int i, late = term_renewal_late(&k->term, now);

	self.host = (char *)conf->host;
	self.addr = (char *)conf->advertised;
	self.dc = (char *)conf->dc;
	self.tunnel = (char *)conf->tunnel;
	self.boot = kernel_boot(k->s->kernel);
	w.self = &self;
	w.term = k->term.rec.term;
	w.number = owners_number(k);
	w.controller = (char *)(k->resigned ? "" : conf->host);
	w.site = site == NULL ? 0 : site->version;
	w.site_told = k->site_pushed;
	w.site_from = k->site_request ? k->site_source : "";
	k->site_request = 0;
	w.record = k->term.version;
	w.host_count = (uint32_t)host_count(k);
	w.quarantine = quarantine_checksum(&k->quarantined);
	/*
	 * Not while this host cannot reach the store: other hosts may have
	 * newer data.
	 */
	w.follows = fleet != NULL && k->fresh && !late;
	w.late = late;
	w.strained = is_overloaded(sitectl_capacity(k), k->hosts.n);
	/*
	 * Also while targets come and go: changes are sent before the heartbeat
	 * with their digest, on the same connection, so a host whose list still
	 * differs has missed one.  When the digest was sent only once the list
	 * had stopped changing, it was never sent while targets were replaced
	 * one by one.
	 */
	if (w.follows) {
		w.fleet = fleet->digest;
		w.as_of = k->store_as_of;
	}
	f.body_case = GSPAR__FRAME__BODY_OWNERS;
	f.owners = &w;
	for (i = 0; i < k->hosts.n; i++) {
		h = &k->hosts.list[i];
		if (!sitectl_host_up(k, h, now) ||
		    strcmp(h->process.host, conf->host) == 0)
			continue;
		host_list_fill(k, list, h, &w, now);
		send_frame(k->s->kernel, h->process.host, 0, &f);
	}
	host_list_free(k, list);
	host_count_publish(k, host_count(k));
}

/* Informs all hosts that this host is no longer the controller. */
void
broadcast_resignation(struct sitectl *k, usec now)
{
	send_heartbeat(k, now);
}

/* Sends owners and heartbeats that are due, as controller. */
void
broadcast_tick(struct sitectl *k, usec now)
{
	uint64_t number = owners_number(k);
	struct owners *o;
	int i, behind = number != k->number;

	for (i = 0; i < k->hosts.n && !behind && now >= k->next_owners; i++)
		behind = needs_owners(k, &k->hosts.list[i], number, now);
	if (behind && now >= k->next_owners && knows_owners(k) &&
	    (o = collect_owners(k)) != NULL) {
		send_changes(k, o, now);
		owners_publish(k, o);
		k->next_owners = now + pace_broadcast(k->hosts.n);
	}
	if (now < k->next_heartbeat)
		return;
	k->next_heartbeat = now + HEARTBEAT_INTERVAL;
	send_heartbeat(k, now);
}
