/*
 * Heartbeats of the controller and the owners that it publishes, as received by
 * the other hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"

/*
 * If a heartbeat says that the controller cannot reach the store, a host waits
 * for one more heartbeat (300 ms) before it follows the store itself: 550 ms of
 * the 900 ms allowed for silence count as elapsed.
 */
#define FOLLOW_HEAD_START MS(550)

/* Decodes one service's owners. */
static void
read_service(struct owner_service *s, const Gspar__KeyOwners *msg, usec now)
{
	struct owner_range *r;
	size_t i, n = msg->n_from;

	name_copy(s->name, sizeof(s->name), msg->service);
	if (msg->n_owner < n || msg->n_state < n || msg->n_to < n)
		return;
	s->ranges = calloc(n + 1, sizeof(*s->ranges));
	if (s->ranges == NULL)
		return;
	for (i = 0; i < n; i++) {
		r = &s->ranges[s->nranges++];
		r->from = msg->from[i];
		r->to = msg->to[i];
		r->target = (int)msg->owner[i] - 1;
		r->moving = msg->state[i] != 0;
		if (msg->state[i] >= RANGE_MOVING_UNTIL)
			r->served_at =
			    now + MS(msg->state[i] - RANGE_MOVING_UNTIL);
	}
}

/*
 * Decodes a snapshot of owners or a difference; returns NULL if memory runs
 * out.
 */
static struct owners *
read_owners(const struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	struct owners *o;
	size_t i;
	int n;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return (NULL);
	o->number = msg->number;
	o->targets = calloc(msg->n_targets + 1, sizeof(*o->targets));
	o->services = calloc(msg->n_services + 1, sizeof(*o->services));
	if (o->targets == NULL || o->services == NULL) {
		owners_free(o);
		return (NULL);
	}
	for (i = 0; i < msg->n_targets; i++)
		name_copy(
		    o->targets[o->ntargets++], NAME_MAX_GS, msg->targets[i]);
	for (i = 0; i < msg->n_services; i++)
		read_service(
		    &o->services[o->nservices++], msg->services[i], now);
	for (i = 0; i < msg->n_services; i++) {
		for (n = 0; n < o->services[i].nranges; n++) {
			if (o->services[i].ranges[n].target >= o->ntargets)
				o->services[i].ranges[n].target = -1;
		}
	}
	return (o);
}

/*
 * Applies a difference to this host's snapshot and frees it.  Returns NULL if
 * its base is another snapshot: the next report shows that, and the controller
 * sends a whole one.
 */
static struct owners *
apply_difference(const struct sitectl *k, struct owners *d, uint64_t since)
{
	const struct owners *base = k->owners == NULL ? NULL : k->owners->p;
	struct owners *o = NULL;

	if (base != NULL && base->number == since)
		o = owners_apply(base, d);
	owners_free(d);
	return (o);
}

/* Takes the version of the store as of which the controller has what this host
 * has too. */
static void
take_as_of(struct sitectl *k, const Gspar__Owners *msg)
{
	const struct fleet *fleet = sitectl_fleet(k);
	const struct site *site = sitectl_site(k);

	if (msg->follows && fleet != NULL && fleet->digest == msg->fleet &&
	    site != NULL && site->version == msg->site &&
	    msg->as_of > k->told_as_of)
		k->told_as_of = msg->as_of;
}

/* Handles a heartbeat or owners from the controller. */
void
broadcast_receive(struct sitectl *k, const Gspar__Owners *msg, usec now)
{
	struct owners *o;

	if (k->acting)
		term_superseded(&k->term, now, msg->term);
	if (msg->term < k->controller_term || k->acting)
		return;
	k->controller_term = msg->term;
	term_heard(&k->term, msg->term);
	/*
	 * A controller that renews its lease only by its standbys' promises,
	 * while this host reaches the store, should be replaced although its
	 * heartbeats arrive: its standbys may be cut off from the store
	 * together with it and would never notice.
	 */
	if (msg->controller[0] == '\0')
		k->controller_heard = 0;
	else if (!msg->late || !k->fresh)
		k->controller_heard = now;
	name_copy(k->controller, sizeof(k->controller), msg->controller);
	/*
	 * The address is needed too: a host that has just started may learn of
	 * the controller before it has read the record.  Without the address it
	 * could not report, and the controller would forget it and never send
	 * it owners.
	 */
	if (msg->self != NULL)
		host_list_receive_addr(k, msg->self, now);
	if (!msg->whole)
		host_list_receive(k, msg, now);
	sitectl_publish_peers(k, now);
	if (!msg->whole) {
		host_count_publish(k, (int)msg->host_count);
		site_receive_heartbeat(k, msg, now);
		term_version_announced(&k->term, now, msg->record);
		k->controller_overloaded = msg->strained;
		k->controller_fleet = msg->fleet;
		k->controller_quarantine = msg->quarantine;
		k->controller_follows = msg->follows;
		join_heard(&k->join, msg->follows, now);
		take_as_of(k, msg);
		if (msg->follows)
			k->follower_heard = now;
		else if (k->follower_heard > now - FOLLOW_HEAD_START)
			/* The next heartbeat may say otherwise. */
			k->follower_heard = now - FOLLOW_HEAD_START;
	}
	if (!msg->whole || msg->number < k->number)
		return;
	if ((o = read_owners(k, msg, now)) == NULL)
		return;
	if (msg->since != 0)
		o = apply_difference(k, o, msg->since);
	if (o != NULL)
		owners_publish(k, o);
}
