/* Distribution of the list of targets from the controller to all hosts. */
#include <stdlib.h>
#include <string.h>

#include "intern.h"
#include "sitectl.h"

/*
 * A host whose targets differ from its controller's for this long has missed an
 * update.  It lists them from the store, at most once per interval.
 */
#define FLEET_STALE_AFTER MS(1300)
#define RELIST_INTERVAL MS(2500)

/*
 * Returns the target with the given id, or NULL.  Lists keep their order except
 * for additions and removals, so the same index is tried first.
 */
static const struct fleet_target *
find_target(const struct fleet *f, const char *id, int hint)
{
	int i;

	if (f == NULL)
		return (NULL);
	if (hint < f->ntargets && strcmp(f->targets[hint].id, id) == 0)
		return (&f->targets[hint]);
	for (i = 0; i < f->ntargets; i++) {
		if (strcmp(f->targets[i].id, id) == 0)
			return (&f->targets[i]);
	}
	return (NULL);
}

/* True if a target differs in a field that other hosts need. */
static int
differs(const struct fleet_target *a, const struct fleet_target *b)
{
	return (b == NULL || a->leaving != b->leaving || a->gone != b->gone ||
	    a->cold_until != b->cold_until || strcmp(a->addr, b->addr) != 0);
}

/* Encodes one target. */
void
fleet_fill_target(
    Gspar__TargetTold *msg, const struct fleet_target *t, usec now)
{
	gspar__target_told__init(msg);
	msg->id = (char *)t->id;
	msg->addr = (char *)t->addr;
	msg->service = (char *)t->service;
	msg->dc = (char *)t->dc;
	msg->slots = (uint32_t)t->slots;
	msg->leaving = t->leaving;
	msg->gone = t->gone;
	if (t->cold_until > now)
		msg->cold_ms = (uint32_t)((t->cold_until - now) / 1000);
}

/* Encodes the evacuations; returns their number. */
size_t
fleet_fill_evacuations(const struct evacuations *e, Gspar__Evacuation *items,
    Gspar__Evacuation **list, usec now)
{
	int i;

	for (i = 0; i < e->n; i++) {
		gspar__evacuation__init(&items[i]);
		items[i].dc = (char *)e->list[i].dc;
		items[i].ended = e->list[i].ended;
		if (e->list[i].since != 0)
			items[i].age =
			    1 + (uint32_t)((now - e->list[i].since) / 1000);
		list[i] = &items[i];
	}
	return ((size_t)e->n);
}

/* Returns the number of the controller's list of targets.  The term is its
 * upper half, so that it rises also when the controller changes. */
static uint64_t
fleet_number(const struct sitectl *k)
{
	return (k->term.rec.term << 32 | k->fleet_changes);
}

/* A message with targets, and what it refers to. */
struct targets_msg {
	Gspar__FleetTold msg;
	Gspar__TargetTold *entries;
	Gspar__Evacuation items[EVACUATIONS_MAX], *list[EVACUATIONS_MAX];
};

/* Encodes the targets that differ from those of an earlier list, or all if that
 * is NULL; returns -1 if memory runs out. */
static int
targets_msg_init(struct targets_msg *m, const struct fleet *f,
    const struct fleet *was, uint64_t term, usec now)
{
	Gspar__FleetTold *w = &m->msg;
	int i;

	gspar__fleet_told__init(w);
	m->entries = calloc((size_t)f->ntargets + 1, sizeof(*m->entries));
	w->targets = calloc((size_t)f->ntargets + 1, sizeof(*w->targets));
	if (m->entries == NULL || w->targets == NULL) {
		free(m->entries);
		free(w->targets);
		return (-1);
	}
	w->term = term;
	w->whole = was == NULL;
	for (i = 0; i < f->ntargets; i++) {
		if (was != NULL &&
		    !differs(
			&f->targets[i], find_target(was, f->targets[i].id, i)))
			continue;
		fleet_fill_target(
		    &m->entries[w->n_targets], &f->targets[i], now);
		w->targets[w->n_targets] = &m->entries[w->n_targets];
		w->n_targets++;
	}
	w->evacuations_as_of = f->evacuations.as_of;
	w->evacuations = m->list;
	w->n_evacuations =
	    fleet_fill_evacuations(&f->evacuations, m->items, m->list, now);
	return (0);
}

/* Frees what a message refers to. */
static void
targets_msg_free(struct targets_msg *m)
{
	free(m->entries);
	free(m->msg.targets);
}

/* Sends a message with targets to the named host, or to all other hosts that
 * are up if that is NULL. */
static void
send_targets(
    struct sitectl *k, struct targets_msg *m, const char *host, usec now)
{
	const char *self = sitectl_self(k);
	Gspar__Frame f = GSPAR__FRAME__INIT;
	int i;

	f.body_case = GSPAR__FRAME__BODY_FLEET_TOLD;
	f.fleet_told = &m->msg;
	if (host != NULL)
		send_frame(k->s->kernel, host, 0, &f);
	for (i = 0; i < k->hosts.n && host == NULL; i++) {
		if (sitectl_host_up(k, &k->hosts.list[i], now) &&
		    strcmp(k->hosts.list[i].process.host, self) != 0)
			send_frame(
			    k->s->kernel, k->hosts.list[i].process.host, 0, &f);
	}
}

/*
 * Broadcasts changed targets, as controller.  If every host followed the store
 * itself, each change would cost a call per host: 3,201 calls a day for 76
 * hosts with few changes.
 */
void
fleet_broadcast(struct sitectl *k, usec now)
{
	const struct fleet *f = sitectl_fleet(k);
	const struct fleet *was =
	    k->fleet_sent == NULL ? NULL : k->fleet_sent->p;
	struct targets_msg m;

	if (f == NULL || f == was || !k->fresh ||
	    term_renewal_late(&k->term, now))
		return;
	k->fleet_changes += was != NULL;
	if (was != NULL &&
	    targets_msg_init(&m, f, was, k->term.rec.term, now) == 0) {
		m.msg.number = fleet_number(k);
		send_targets(k, &m, NULL, now);
		targets_msg_free(&m);
	}
	shared_unref(k->fleet_sent);
	k->fleet_sent = shared_ref(k->fleet);
}

/* Sends all targets to a host. */
static void
send_copy(struct sitectl *k, const struct host_entry *to, uint64_t term,
    uint64_t number, usec now)
{
	const struct fleet *f = sitectl_fleet(k);
	struct targets_msg m;

	log_line(LOG_INFO, "control",
	    "Sending all %d targets to host %s, whose list is out of date.",
	    f->ntargets, to->process.host);
	if (targets_msg_init(&m, f, NULL, term, now) != 0)
		return;
	m.msg.number = number;
	send_targets(k, &m, to->process.host, now);
	targets_msg_free(&m);
}

/* Has another host send all targets to a host. */
static void
order_copy(struct sitectl *k, const struct host_entry *from,
    const struct host_entry *to)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__CopyFleet w = GSPAR__COPY_FLEET__INIT;
	Gspar__HostAddr addr = GSPAR__HOST_ADDR__INIT;

	addr.host = (char *)to->process.host;
	addr.addr = (char *)to->process.addr;
	addr.dc = (char *)to->dc;
	addr.tunnel = (char *)to->tunnel;
	addr.boot = to->process.boot;
	w.term = k->term.rec.term;
	w.digest = k->copies.digest;
	w.to = &addr;
	f.body_case = GSPAR__FRAME__BODY_COPY_FLEET;
	f.copy_fleet = &w;
	send_frame(k->s->kernel, from->process.host, 0, &f);
}

/* Sends all targets to another host, as the controller orders. */
void
fleet_copy(struct sitectl *k, const Gspar__CopyFleet *msg, usec now)
{
	const struct fleet *f = sitectl_fleet(k);
	const struct host_entry *to;

	if (msg->to == NULL || msg->term < k->controller_term || f == NULL ||
	    f->digest != msg->digest)
		return;
	host_list_receive_addr(k, msg->to, now);
	sitectl_publish_peers(k, now);
	if ((to = hosts_find(&k->hosts, msg->to->host)) != NULL)
		send_copy(k, to, msg->term, k->fleet_number, now);
}

/* Brings up to date what is copied. */
static void
renew_copies(struct sitectl *k, const struct fleet *f, usec now)
{
	struct targets_msg m;

	if (k->copies.digest == f->digest ||
	    targets_msg_init(&m, f, NULL, 0, now) != 0)
		return;
	k->copies.digest = f->digest;
	k->copies.bytes = gspar__fleet_told__get_packed_size(&m.msg);
	k->copies.link_mbps = kernel_conf(k->s->kernel)->link_mbps;
	targets_msg_free(&m);
}

/* Has all targets sent to a host whose report shows a different list. */
void
fleet_check_host(struct sitectl *k, struct host_entry *h, usec now)
{
	const struct fleet *f = sitectl_fleet(k);
	struct host_entry *from;

	if (f == NULL || h->fleet_reported == f->digest ||
	    superseded_within(&k->fleet_superseded, h->fleet_reported,
		report_lag(k->hosts.n), now) ||
	    !k->fresh || term_renewal_late(&k->term, now))
		return;
	renew_copies(k, f, now);
	switch (copies_choose(&k->copies, &k->hosts, h, now, &from)) {
	case COPY_OWN:
		send_copy(k, h, k->term.rec.term, fleet_number(k), now);
		break;
	case COPY_HOST:
		order_copy(k, from, h);
		break;
	case COPY_NONE:
		break;
	}
}

/* Decodes the evacuations. */
static void
read_evacuations(struct evacuations *e, Gspar__Evacuation *const *list,
    size_t n, uint64_t as_of, usec now)
{
	struct evacuation *to;
	size_t i;

	e->as_of = as_of;
	for (i = 0; i < n && i < EVACUATIONS_MAX; i++) {
		to = &e->list[e->n++];
		name_copy(to->dc, sizeof(to->dc), list[i]->dc);
		to->ended = list[i]->ended;
		to->since = list[i]->age == 0 ? 0 : now - MS(list[i]->age);
	}
}

/* Decodes targets; returns NULL if memory runs out. */
static struct fleet *
read_targets(Gspar__TargetTold *const *list, size_t n)
{
	const Gspar__TargetTold *t;
	struct fleet_target *to;
	struct fleet *f;
	size_t i;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return (NULL);
	f->targets = calloc(n + 1, sizeof(*f->targets));
	for (i = 0; f->targets != NULL && i < n; i++) {
		t = list[i];
		to = &f->targets[f->ntargets];
		name_copy(to->id, sizeof(to->id), t->id);
		name_copy(to->addr, sizeof(to->addr), t->addr);
		to->service = intern(t->service);
		to->dc = intern(t->dc);
		if (to->service == NULL || to->dc == NULL)
			continue;
		f->ntargets++;
		to->slots = (int)t->slots;
		to->leaving = t->leaving;
		to->gone = t->gone;
		to->cold_until = MS(t->cold_ms);
	}
	return (f);
}

/*
 * Passes on to the watch service that a target has announced in an answer that
 * it is leaving.  Returns 0 if this host's list says so already, or does not
 * have the target.
 */
int
fleet_leave_announced(struct sitectl *k, const char *id)
{
	const struct fleet *f = sitectl_fleet(k);
	const struct fleet_target *t = f == NULL ? NULL : find_target(f, id, 0);
	char *copy;

	if (t == NULL || t->leaving || (copy = strdup(id)) == NULL)
		return (0);
	msg_post(k->s->kernel, "watch", MSG_LEAVE_ANNOUNCED, copy, free);
	return (1);
}

/* Passes another host's targets to the watch service, which owns the list. */
static void
pass_to_watch(struct sitectl *k, struct fleet *f)
{
	msg_post(k->s->kernel, "watch", MSG_FLEET_RECEIVED, f, fleet_free);
}

/* Handles targets that the controller sent. */
void
fleet_receive(struct sitectl *k, const Gspar__FleetTold *msg, usec now)
{
	struct fleet *f;

	/* A change may have overtaken the copy of another host. */
	if (k->acting || msg->term < k->controller_term ||
	    msg->number < k->fleet_number ||
	    (f = read_targets(msg->targets, msg->n_targets)) == NULL)
		return;
	f->whole = msg->whole;
	k->fleet_number = msg->number;
	/* Sent only by a controller that follows the store. */
	k->follower_heard = now;
	read_evacuations(&f->evacuations, msg->evacuations, msg->n_evacuations,
	    msg->evacuations_as_of, now);
	pass_to_watch(k, f);
}

/*
 * Handles targets that a standby relays from the store while the controller
 * cannot.
 */
void
fleet_receive_relay(struct sitectl *k, const Gspar__StoreNews *msg, usec now)
{
	struct fleet *f = read_targets(msg->targets, msg->n_targets);

	if (f == NULL)
		return;
	read_evacuations(&f->evacuations, msg->evacuations, msg->n_evacuations,
	    msg->evacuations_as_of, now);
	pass_to_watch(k, f);
}

/*
 * Lists the targets from the store if this host's list differs from the
 * controller's for too long.  Only the controller sends changes: if frames were
 * lost and sending all targets again did not help, a leaving target would stay
 * in use here.
 */
void
fleet_relist_if_stale(struct sitectl *k, usec now)
{
	const struct fleet *f = sitectl_fleet(k);

	if (k->acting || f == NULL || k->controller_fleet == 0 ||
	    k->controller_fleet == f->digest) {
		k->fleet_differs_since = 0;
		return;
	}
	if (k->fleet_differs_since == 0)
		k->fleet_differs_since = now;
	if (now - k->fleet_differs_since < FLEET_STALE_AFTER ||
	    now < k->next_relist)
		return;
	k->next_relist = now + RELIST_INTERVAL;
	log_line(LOG_NOTICE, "control",
	    "Target list has differed from the controller's for %lld ms, "
	    "listing it from the store.",
	    (long long)((now - k->fleet_differs_since) / 1000));
	msg_post(k->s->kernel, "watch", MSG_RELIST, NULL, NULL);
}
