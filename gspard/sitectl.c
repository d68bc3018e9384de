#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "decode.h"
#include "sitectl.h"
#include "target.h"
#include "transfer.h"

#define TICK_MS 25
/*
 * Cached connections for orders: one for each target.  By default libcurl keeps
 * four for each transfer in progress; then most renewals open a connection,
 * which waits for a slot of a busy target before the request is read: with many
 * slow targets, 464 of 25,000 grants were not answered within 500 ms.
 */
#define ORDER_CONNS 1024
/*
 * A host that has not heard from a controller for this long looks for another.
 */
#define NO_CONTROLLER_AFTER MS(900)
/*
 * Hosts that have not been heard from for this long are removed from the list.
 */
#define HOST_FORGET_AFTER MS(30000)
/*
 * A stopping controller that cannot reach the store gives up control this long
 * before the end of its stop.
 */
#define STOP_MARGIN MS(200)

/* Sends the list of hosts and their addresses to the services that connect to
 * them, if it has changed.  In large fleets not with each host that comes: the
 * services would hold a list for each. */
void
sitectl_publish_peers(struct sitectl *k, usec now)
{
	struct peers *l;
	struct peer_addr *a;
	struct shared *sh;
	int i;

	if (!k->peers_changed || now < k->next_peers)
		return;
	l = calloc(1, sizeof(*l) + (size_t)k->hosts.n * sizeof(*l->list));
	if (l == NULL)
		return;
	k->peers_changed = 0;
	k->next_peers = now + pace_broadcast(k->hosts.n);
	l->list = (struct peer_addr *)(void *)(l + 1);
	for (i = 0; i < k->hosts.n; i++) {
		a = &l->list[l->n++];
		name_copy(
		    a->host, sizeof(a->host), k->hosts.list[i].process.host);
		name_copy(
		    a->addr, sizeof(a->addr), k->hosts.list[i].process.addr);
		name_copy(a->dc, sizeof(a->dc), k->hosts.list[i].dc);
		name_copy(
		    a->tunnel, sizeof(a->tunnel), k->hosts.list[i].tunnel);
	}
	if ((sh = shared_new(l, free)) == NULL) {
		free(l);
		return;
	}
	msg_post(
	    k->s->kernel, "reach", MSG_PEERS, shared_ref(sh), shared_unref);
	msg_post(
	    k->s->kernel, "router", MSG_PEERS, shared_ref(sh), shared_unref);
	msg_post(k->s->kernel, "peer", MSG_PEERS, sh, shared_unref);
}

/* Returns this host's name. */
const char *
sitectl_self(const struct sitectl *k)
{
	return (kernel_conf(k->s->kernel)->host);
}

/* Returns the site configuration in force on this host, or NULL. */
const struct site *
sitectl_site(const struct sitectl *k)
{
	return (k->site == NULL ? NULL : k->site->p);
}

/* Returns the targets that this host knows, or NULL. */
const struct fleet *
sitectl_fleet(const struct sitectl *k)
{
	return (k->fleet == NULL ? NULL : k->fleet->p);
}

/*
 * Updates a host that was heard from or that the controller listed; adds it if
 * new.  The caller publishes the peers, once for all hosts of a message. tunnel
 * is the address at which it relays connections to targets, or "" if that is
 * not known.
 */
void
sitectl_host_seen(struct sitectl *k, const struct member *m, const char *dc,
    const char *tunnel, int stopping, usec now)
{
	struct host_entry *h = hosts_find(&k->hosts, m->host);
	int is_new = h == NULL;

	term_process_seen(&k->term, now, m);
	if (is_new && (h = hosts_add(&k->hosts, m->host)) == NULL) {
		log_line(LOG_ERR, "control",
		    "Out of memory, host %s is not added.", m->host);
		return;
	}
	if (host_update(h, m, dc, tunnel) || is_new) {
		h->changed = 1;
		k->peers_changed = 1;
		k->hosts.changed = 1;
	}
	h->last_heard = now;
	h->stopping = stopping;
}

/*
 * True if the controller sends updates to a host.  A new controller has not
 * heard from any host yet, and hosts that cannot read the control record would
 * not learn of it, so hosts are assumed to be up at first.
 */
int
sitectl_host_up(const struct sitectl *k, const struct host_entry *h, usec now)
{
	return (now - h->last_heard < report_lost_after(k->hosts.n) ||
	    now < h->assumed_up_until);
}

/* Removes hosts neither heard from nor listed for HOST_FORGET_AFTER. */
static void
forget_hosts(struct sitectl *k, usec now)
{
	int i;

	for (i = 0; i < k->hosts.n; i++) {
		if (now - k->hosts.list[i].last_heard < HOST_FORGET_AFTER ||
		    (k->hosts.list[i].listed_at != 0 &&
			now - k->hosts.list[i].listed_at < HOST_FORGET_AFTER))
			continue;
		hosts_remove(&k->hosts, i--);
	}
	if (!k->acting)
		hosts_list_sent(&k->hosts);
}

/* Starts or stops acting as controller, depending on the term's role. */
static void
apply_term(struct sitectl *k, usec now)
{
	const struct control_record *r = &k->term.rec;
	int i, holds = k->term.role == TERM_HOLDER;

	if (holds && !k->acting) {
		sitectl_add_services(k, now);
		for (i = 0; i < k->nkeys; i++)
			keys_begin(k->keys[i], r->term, now);
		for (i = 0; i < k->hosts.n; i++)
			k->hosts.list[i].assumed_up_until =
			    now + report_lost_after(k->hosts.n);
		site_control_began(k);
		hosts_list_begin(&k->hosts);
	} else if (!holds && k->acting) {
		sitectl_drop_keys(k);
		orders_cancel(k);
	}
	k->acting = holds;
	if (holds) {
		name_copy(
		    k->controller, sizeof(k->controller), sitectl_self(k));
		k->controller_term = r->term;
		k->controller_heard = now;
	} else if (k->term.known && r->term > k->controller_term &&
	    r->holder.host[0] != '\0') {
		/* The record was read before that heartbeat came. */
		k->controller_term = r->term;
		name_copy(k->controller, sizeof(k->controller), r->holder.host);
		sitectl_host_seen(k, &r->holder, "", "", 0, now);
		sitectl_publish_peers(k, now);
		k->controller_heard = now;
		join_heard(&k->join, 0, now);
		report_at_once(k, now);
	}
}

/*
 * Informs the watch service whether this host follows the store itself: as the
 * controller, as a standby that relays, or if no host that follows it is heard
 * and none is waited for.  The platform allows 2 s until a leaving target must
 * get no more requests; detection here takes less than half of that.
 */
static void
set_following(struct sitectl *k, usec now)
{
	uint64_t *as_of = NULL;
	int joining = k->fleet == NULL && join_waits(&k->join, now);
	usec wait = NO_CONTROLLER_AFTER +
	    follow_delay(k->hosts.n, kernel_boot(k->s->kernel),
		MS(kernel_conf(k->s->kernel)->bounds.leave_ms));
	int follow = k->acting || relay_due(k, now) ||
	    (now - k->follower_heard > wait && !joining);

	if (follow == k->following)
		return;
	log_line(LOG_NOTICE, "control",
	    follow ? "Following the store; last heartbeat from controller "
		     "'%s' %lld ms ago."
		   : "Not following the store: controller %s does, last "
		     "heartbeat %lld ms ago.",
	    k->controller, (long long)((now - k->controller_heard) / 1000));
	k->following = follow;
	if (!follow && k->store_as_of > k->told_as_of)
		k->told_as_of = k->store_as_of;
	if (follow && k->told_as_of != 0 &&
	    (as_of = malloc(sizeof(*as_of))) != NULL)
		*as_of = k->told_as_of;
	msg_post(k->s->kernel, "watch",
	    follow ? MSG_FOLLOW_STORE : MSG_FOLLOW_CONTROLLER, as_of, free);
}

/* Runs all periodic work. */
static void
tick(struct sitectl *k, usec now)
{
	int i;

	k->term.no_controller = now - k->controller_heard > NO_CONTROLLER_AFTER;
	sitectl_publish_peers(k, now);
	if (k->acting)
		sitectl_choose_standbys(k, now);
	term_tick(&k->term, now);
	apply_term(k, now);
	if (k->acting && term_may_renew(&k->term, now) && !k->resigned &&
	    !k->yielded) {
		for (i = 0;
		     i < k->nkeys && term_old_leases_lapsed(&k->term, now); i++)
			keys_tick(k->keys[i], now);
		fleet_broadcast(k, now);
		broadcast_tick(k, now);
	}
	site_tick(k, now);
	quarantine_tick(k, now);
	relay_tick(k, now);
	report_tick(k, now);
	forget_hosts(k, now);
	fleet_relist_if_stale(k, now);
	set_following(k, now);
	sitectl_yield_if_isolated(k, now);
	sitectl_yield_to_larger(k, now);
	sitectl_probe_store(k, now);
}

/* Continues an orderly stop, which releases control first. */
static void
stop_tick(struct sitectl *k, usec now)
{
	if (!k->stopping || k->stopped)
		return;
	sitectl_release_control(k, now);
	if (k->term.role == TERM_FOLLOWER || now > k->stop_by) {
		k->stopped = 1;
		kernel_step_done(k->s->kernel, "control");
	}
}

/* Takes the era of the store from the result of a call.  If it has risen, what
 * this host wrote may be lost. */
static void
take_store_era(struct sitectl *k, const struct store *st, usec now)
{
	int i;

	if (st->status == 0 && st->era == 0)
		return;
	if (term_store_era(&k->term, now, st->era))
		k->quarantine_known = 0;
	for (i = 0; i < k->nkeys; i++)
		keys_store_era(k->keys[i], now, st->era);
}

/* Dispatches the result of a store call by its tag. */
static void
handle_store_result(struct sitectl *k, const struct store *st, usec now)
{
	take_store_era(k, st, now);
	if (strncmp(st->tag, "keys ", 5) == 0)
		sitectl_keys_done(k, st, now);
	else if (strcmp(st->tag, QUARANTINE_TAG) == 0)
		quarantine_store_done(k, st, now);
	else
		sitectl_record_done(k, st, now);
}

/* Dispatches a frame from another host by its type. */
static void
handle_frame(struct sitectl *k, const struct msg *m, usec now)
{
	switch (m->frame->body_case) {
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		sitectl_promise_request(k, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE:
		sitectl_promise_reply(k, m, now);
		break;
	case GSPAR__FRAME__BODY_OWNERS:
		broadcast_receive(k, m->frame->owners, now);
		break;
	case GSPAR__FRAME__BODY_HOST_REPORT:
		report_receive(k, m->host, m->frame->host_report, now);
		break;
	case GSPAR__FRAME__BODY_FLEET_TOLD:
		fleet_receive(k, m->frame->fleet_told, now);
		break;
	case GSPAR__FRAME__BODY_COPY_FLEET:
		fleet_copy(k, m->frame->copy_fleet, now);
		break;
	case GSPAR__FRAME__BODY_SITE_TOLD:
		site_receive(k, m->frame->site_told);
		break;
	case GSPAR__FRAME__BODY_STORE_NEWS:
		relay_receive(k, m->frame->store_news, now);
		break;
	case GSPAR__FRAME__BODY_QUARANTINE_TOLD:
		quarantine_receive(k, m->frame->quarantine_told, now);
		break;
	default:
		break;
	}
}

/* Replaces the site configuration; the controller pushes it to the hosts. */
static void
handle_site(struct sitectl *k, struct msg *m, usec now)
{
	struct shared *was = k->site;

	k->site = NULL;
	msg_take_snapshot(m, &k->site);
	if (k->acting) {
		sitectl_add_services(k, now);
		if (term_may_renew(&k->term, now) && !k->resigned &&
		    !k->yielded)
			site_broadcast(k, was == NULL ? NULL : was->p, now);
	}
	shared_unref(was);
}

/* Replaces the list of known targets. */
static void
handle_fleet(struct sitectl *k, struct msg *m, usec now)
{
	const struct fleet *was = sitectl_fleet(k);
	int i;

	if (was != NULL)
		superseded_add(&k->fleet_superseded, was->digest, now);
	msg_take_snapshot(m, &k->fleet);
	for (i = 0; i < k->nkeys; i++)
		keys_set_fleet(k->keys[i], k->fleet->p, now);
}

/* Begins an orderly stop.  The plan is NULL if memory ran out. */
static void
begin_stop(struct sitectl *k, const struct stop_plan *plan, usec now)
{
	k->stopping = 1;
	k->handover_since = now;
	k->stop_by = (plan == NULL ? now : plan->end) - STOP_MARGIN;
}

/* Handles one message and frees it. */
static void
handle_msg(struct sitectl *k, struct msg *m, usec now)
{
	switch (m->kind) {
	case MSG_FRAME:
		handle_frame(k, m, now);
		break;
	case MSG_STORE_DONE:
		handle_store_result(k, m->data, now);
		break;
	case MSG_SITE:
		handle_site(k, m, now);
		break;
	case MSG_SITE_READ_FAILED:
		behind_read_failed(&k->behind);
		break;
	case MSG_SITE_READ:
		behind_read_done(&k->behind, now);
		break;
	case MSG_FLEET:
		handle_fleet(k, m, now);
		break;
	case MSG_TARGETS_FRESH:
		k->fresh = 1;
		break;
	case MSG_TARGETS_STALE:
		k->fresh = 0;
		break;
	case MSG_STORE_AS_OF:
		k->store_as_of = *(const uint64_t *)m->data;
		break;
	case MSG_ROUTER_REPORT:
		if (k->pending_report != NULL)
			router_report_free(k->pending_report);
		k->pending_report = m->data;
		m->data = NULL;
		quarantine_add_seen(k, &k->pending_report->crashes, now);
		report_add_leaving(k, k->pending_report);
		break;
	case MSG_REACH:
		orders_set_path(k, m->data, now);
		break;
	case MSG_STOP:
		begin_stop(k, m->data, now);
		free(m->data);
		break;
	case MSG_QUIT:
		k->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* Runs the service's thread until MSG_QUIT. */
static void
sitectl_run(struct service *s)
{
	struct sitectl *k = s->state;
	struct msg *m;
	int running;
	usec now;

	while (!k->stop) {
		now = clock_mono();
		while ((m = ring_get(s->in)) != NULL)
			handle_msg(k, m, now);
		curl_multi_perform(k->multi, &running);
		now = clock_mono();
		orders_reap(k, now);
		tick(k, now);
		stop_tick(k, now);
		curl_multi_perform(k->multi, &running);
		if (!k->stop)
			curl_multi_poll(k->multi, NULL, 0,
			    k->acting ? TICK_MS : 4 * TICK_MS, NULL);
	}
}

/* Initializes the service; returns 0, or -1 if memory runs out. */
static int
sitectl_open(struct service *s)
{
	struct sitectl *k;

	k = calloc(1, sizeof(*k));
	if (k == NULL || (k->multi = curl_multi_init()) == NULL) {
		free(k);
		return (-1);
	}
	s->state = k;
	k->s = s;
	k->ops = &objects_target;
	curl_multi_setopt(k->multi, CURLMOPT_MAXCONNECTS, (long)ORDER_CONNS);
	k->controller_heard = clock_mono();
	join_begin(&k->join, kernel_boot(s->kernel), clock_mono());
	sitectl_term_init(k);
	ring_set_wake(s->in, transfers_wake, k->multi);
	return (0);
}

/* Frees the service's state. */
static void
sitectl_close(struct service *s)
{
	struct sitectl *k = s->state;

	ring_set_wake(s->in, NULL, NULL);
	orders_cancel(k);
	order_conns_free(&k->order_conns);
	sitectl_drop_keys(k);
	if (k->pending_report != NULL)
		router_report_free(k->pending_report);
	shared_unref(k->site);
	shared_unref(k->fleet);
	shared_unref(k->fleet_sent);
	shared_unref(k->owners);
	hosts_free(&k->hosts);
	curl_multi_cleanup(k->multi);
	free(k);
}

const struct service_ops sitectl_service = {
    "control", 16384, sitectl_open, sitectl_run, sitectl_close};
