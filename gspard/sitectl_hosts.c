/* Distribution of the list of hosts by the controller's heartbeats. */
#include <stdlib.h>
#include <string.h>

#include "pace.h"
#include "sitectl.h"

/* Time between two heartbeats, in which copies of the whole list are sent. */
#define COPIES_INTERVAL MS(300)

/* The list as a heartbeat may carry it: whole, and what has changed. */
struct host_list {
	uint64_t base;
	Gspar__HostAddr *items;
	Gspar__HostAddr **whole;
	Gspar__HostAddr **changed;
	char **gone;
	size_t n;
	size_t nchanged;
	size_t ngone;
	int copies; /* of the whole list that may be sent now */
};

/* Returns about the size of the whole list in bytes. */
static size_t
list_size(const struct host_list *l)
{
	Gspar__Owners msg = GSPAR__OWNERS__INIT;

	msg.hosts = l->whole;
	msg.n_hosts = l->n;
	return (gspar__owners__get_packed_size(&msg));
}

/* Encodes the hosts. */
static void
fill_items(const struct sitectl *k, struct host_list *l)
{
	const struct host_entry *h;
	Gspar__HostAddr *to;
	int i;

	for (i = 0; i < k->hosts.n; i++) {
		h = &k->hosts.list[i];
		to = &l->items[l->n];
		gspar__host_addr__init(to);
		to->host = (char *)h->process.host;
		to->addr = (char *)h->process.addr;
		to->dc = (char *)h->dc;
		to->tunnel = (char *)h->tunnel;
		to->boot = h->process.boot;
		l->whole[l->n++] = to;
		if (h->changed)
			l->changed[l->nchanged++] = to;
	}
	for (i = 0; i < k->hosts.ngone; i++)
		l->gone[l->ngone++] = k->hosts.gone[i];
}

/* Prepares the list for a heartbeat; returns NULL if memory runs out.  It
 * refers to the table of hosts, which must not change before it is freed. */
struct host_list *
host_list_new(struct sitectl *k, usec now)
{
	size_t n = (size_t)k->hosts.n + 1, ngone = (size_t)k->hosts.ngone + 1;
	struct host_list *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return (NULL);
	l->items = calloc(n, sizeof(*l->items));
	l->whole = calloc(n, sizeof(*l->whole));
	l->changed = calloc(n, sizeof(*l->changed));
	l->gone = calloc(ngone, sizeof(*l->gone));
	if (l->items == NULL || l->whole == NULL || l->changed == NULL ||
	    l->gone == NULL) {
		host_list_free(NULL, l);
		return (NULL);
	}
	fill_items(k, l);
	l->base = hosts_list_renew(&k->hosts, now);
	l->copies = pace_copies(list_size(l), COPIES_INTERVAL,
	    kernel_conf(k->s->kernel)->link_mbps);
	return (l);
}

/* Frees the list; without k, it was not sent. */
void
host_list_free(struct sitectl *k, struct host_list *l)
{
	if (l == NULL)
		return;
	if (k != NULL)
		hosts_list_sent(&k->hosts);
	free(l->items);
	free(l->whole);
	free(l->changed);
	free(l->gone);
	free(l);
}

/* Adds what a host needs of the list to the heartbeat that it is sent. */
void
host_list_fill(struct sitectl *k, struct host_list *l, struct host_entry *h,
    Gspar__Owners *msg, usec now)
{
	enum list_update update = l == NULL
	    ? LIST_NONE
	    : hosts_list_update(&k->hosts, h, l->base, now);

	msg->hosts_digest = k->hosts.digest;
	msg->n_hosts = msg->n_hosts_changed = msg->n_hosts_gone = 0;
	msg->hosts_since = 0;
	if (update == LIST_NONE || (update == LIST_WHOLE && l->copies-- <= 0))
		return;
	hosts_list_sent_to(&k->hosts, h, update, now);
	if (update == LIST_WHOLE) {
		msg->hosts = l->whole;
		msg->n_hosts = l->n;
		return;
	}
	msg->hosts_since = l->base;
	msg->hosts_changed = l->changed;
	msg->n_hosts_changed = l->nchanged;
	msg->hosts_gone = l->gone;
	msg->n_hosts_gone = l->ngone;
}

/* Handles a host that the controller lists. */
void
host_list_receive_addr(struct sitectl *k, const Gspar__HostAddr *msg, usec now)
{
	struct member m;

	memset(&m, 0, sizeof(m));
	name_copy(m.host, sizeof(m.host), msg->host);
	name_copy(m.addr, sizeof(m.addr), msg->addr);
	m.boot = msg->boot;
	sitectl_host_seen(k, &m, msg->dc, msg->tunnel, 0, now);
}

/* Sets when a host was last listed; 0 if it is not listed any more. */
static void
set_listed(struct sitectl *k, const char *name, usec at)
{
	struct host_entry *h = hosts_find(&k->hosts, name);

	if (h != NULL)
		h->listed_at = at;
}

/* Takes hosts that the controller lists. */
static void
add_listed(struct sitectl *k, Gspar__HostAddr *const *list, size_t n, usec now)
{
	size_t i;

	for (i = 0; i < n; i++) {
		host_list_receive_addr(k, list[i], now);
		set_listed(k, list[i]->host, now);
	}
}

/* Replaces the list. */
static void
replace_list(struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	int i;

	for (i = 0; i < k->hosts.n; i++)
		k->hosts.list[i].listed_at = 0;
	add_listed(k, msg->hosts, msg->n_hosts, now);
}

/* Applies a difference to the list. */
static void
apply_difference(struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	size_t i;

	for (i = 0; i < msg->n_hosts_gone; i++)
		set_listed(k, msg->hosts_gone[i], 0);
	add_listed(k, msg->hosts_changed, msg->n_hosts_changed, now);
}

/*
 * Updates the list of hosts.  The controller sends what changes; in between,
 * each heartbeat confirms the list.  If it expired, all hosts would have the
 * same rank, and with it the same turn at limited targets.  A difference to
 * another list than this host's is not applied: its report shows that.
 */
void
host_list_receive(struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	int n;

	if (msg->n_hosts > 0)
		replace_list(k, msg, now);
	else if (msg->hosts_since != 0 && msg->hosts_since == k->hosts_digest)
		apply_difference(k, msg, now);
	k->hosts_digest = hosts_digest_of(&k->hosts, 1);
	for (n = 0; n < k->hosts.n; n++) {
		if (k->hosts.list[n].listed_at != 0)
			k->hosts.list[n].listed_at = now;
	}
}
