/*
 * Standbys relay what they read in the store while the controller is lost or
 * cannot reach the store itself.  Without them every host of the fleet would
 * poll the store until there is a new controller.
 */
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"
#include "standby.h"

/* Interval of the broadcast; other hosts poll the store after three missed. */
#define RELAY_INTERVAL MS(250)
/* A standby starts after two missed heartbeats, before other hosts would. */
#define RELAY_AFTER MS(650)

/* True if this host relays. */
int
relay_due(const struct sitectl *k, usec now)
{
	return (!k->acting && sitectl_is_standby(k) &&
	    (!k->controller_follows ||
		now - k->controller_heard > RELAY_AFTER) &&
	    can_relay(sitectl_capacity(k), k->hosts.n));
}

/* Lists the targets that get no new requests; returns how many. */
static size_t
fill_leaving(const struct fleet *f, Gspar__TargetTold *entries,
    Gspar__TargetTold **list, usec now)
{
	size_t n = 0;
	int i;

	for (i = 0; i < f->ntargets; i++) {
		if (!f->targets[i].leaving)
			continue;
		fleet_fill_target(&entries[n], &f->targets[i], now);
		list[n] = &entries[n];
		n++;
	}
	return (n);
}

/* Broadcasts to all other hosts. */
static void
broadcast(struct sitectl *k, const struct fleet *f, usec now)
{
	Gspar__Frame fr = GSPAR__FRAME__INIT;
	Gspar__StoreNews w = GSPAR__STORE_NEWS__INIT;
	Gspar__Evacuation items[EVACUATIONS_MAX], *list[EVACUATIONS_MAX];
	Gspar__TargetTold *entries, **targets;
	const struct site *site = sitectl_site(k);
	int i;

	entries = calloc((size_t)f->ntargets + 1, sizeof(*entries));
	targets = calloc((size_t)f->ntargets + 1, sizeof(*targets));
	if (entries == NULL || targets == NULL)
		goto out;
	w.term = k->controller_term;
	w.site = site == NULL ? 0 : site->version;
	w.targets = targets;
	w.n_targets = fill_leaving(f, entries, targets, now);
	w.evacuations = list;
	w.n_evacuations =
	    fleet_fill_evacuations(&f->evacuations, items, list, now);
	w.evacuations_as_of = f->evacuations.as_of;
	fr.body_case = GSPAR__FRAME__BODY_STORE_NEWS;
	fr.store_news = &w;
	for (i = 0; i < k->hosts.n; i++) {
		if (strcmp(k->hosts.list[i].process.host, sitectl_self(k)) != 0)
			send_frame(k->s->kernel, k->hosts.list[i].process.host,
			    0, &fr);
	}
out:
	free(entries);
	free(targets);
}

/* Broadcasts at each interval if this host relays and the store answers it. */
void
relay_tick(struct sitectl *k, usec now)
{
	const struct fleet *f = sitectl_fleet(k);

	if (!relay_due(k, now) || !k->fresh || f == NULL || now < k->next_relay)
		return;
	k->next_relay = now + RELAY_INTERVAL;
	count_add(C_STORE_NEWS, 1);
	broadcast(k, f, now);
}

/* Handles the broadcast of a standby. */
void
relay_receive(struct sitectl *k, const Gspar__StoreNews *msg, usec now)
{
	const struct site *site = sitectl_site(k);

	if (k->acting || msg->term < k->controller_term)
		return;
	k->follower_heard = now;
	behind_announced(
	    &k->behind, site == NULL ? 0 : site->version, msg->site, 0, now);
	fleet_receive_relay(k, msg, now);
}
