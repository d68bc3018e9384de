#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "decode.h"
#include "keeper.h"
#include "target.h"
#include "transfer.h"

#define TICK_MS 25
/*
 * Connections kept for orders: one to each target.  By itself the HTTP client
 * keeps four for each order under way; then most renewals open one, and wait
 * for a slot of a busy target before they are read: of 25,000 grants on a grown
 * day of slow targets 464 were not answered within 500 ms.
 */
#define ORDER_CONNS 1024
/* A host that hears no controller for so long looks for another. */
#define LONELY_AFTER MS(900)
/* A host not heard for so long is no longer told anything. */
#define HOST_LOST MS(3000)
/* Hosts not heard for so long are forgotten. */
#define HOST_FORGOTTEN MS(30000)
/* Before the end of a stop a controller whose store is away gives up. */
#define LAST_ORDERS MS(200)

/* Tells the peer service which hosts there are. */
void
keeper_peers(struct keeper *k)
{
	struct peers *l;
	struct peer_addr *a;
	struct shared *sh;
	int i;

	l = calloc(1, sizeof(*l) + (size_t)k->nhosts * sizeof(*l->list));
	if (l == NULL)
		return;
	l->list = (struct peer_addr *)(void *)(l + 1);
	for (i = 0; i < k->nhosts; i++) {
		a = &l->list[l->n++];
		name_copy(a->host, sizeof(a->host), k->hosts[i].who.host);
		name_copy(a->addr, sizeof(a->addr), k->hosts[i].who.addr);
		name_copy(a->dc, sizeof(a->dc), k->hosts[i].dc);
	}
	if ((sh = shared_new(l, free)) == NULL) {
		free(l);
		return;
	}
	msg_post(k->s->kernel, "peer", MSG_PEERS, sh, shared_unref);
}

/* A known host by its name, or NULL. */
struct keeper_host *
keeper_host(struct keeper *k, const char *name)
{
	int i;

	for (i = 0; i < k->nhosts; i++) {
		if (strcmp(k->hosts[i].who.host, name) == 0)
			return (&k->hosts[i]);
	}
	return (NULL);
}

/* This host's name. */
const char *
keeper_self(const struct keeper *k)
{
	return (kernel_conf(k->s->kernel)->host);
}

/* The configuration that is in force here, or NULL. */
const struct site *
keeper_site(const struct keeper *k)
{
	return (k->site == NULL ? NULL : k->site->p);
}

/* The targets known here, or NULL. */
const struct fleet *
keeper_fleet(const struct keeper *k)
{
	return (k->fleet == NULL ? NULL : k->fleet->p);
}

/* A host was heard, or heard of. */
void
keeper_host_seen(struct keeper *k, const struct member *m, const char *dc,
    int stopping, usec now)
{
	struct keeper_host *h = keeper_host(k, m->host);
	int is_new = h == NULL;

	term_process_seen(&k->term, now, m);
	if (is_new && k->nhosts == KEEPER_HOSTS)
		return;
	if (is_new)
		h = &k->hosts[k->nhosts++];
	if (is_new || h->who.boot != m->boot ||
	    strcmp(h->who.addr, m->addr) != 0) {
		memset(h, 0, sizeof(*h));
		h->who = *m;
		name_copy(h->dc, sizeof(h->dc), dc);
		k->hosts_changed = 1;
		keeper_peers(k);
	}
	h->heard = now;
	h->stopping = stopping;
}

/*
 * True where a host is told what the controller tells.  A new controller has
 * heard nobody yet, and hosts that cannot read the record would not know of it.
 */
int
keeper_tells(const struct keeper_host *h, usec now)
{
	return (now - h->heard < HOST_LOST || now < h->try_until);
}

/* Forgets hosts that were neither heard nor named for long. */
static void
forget_hosts(struct keeper *k, usec now)
{
	int i;

	for (i = 0; i < k->nhosts; i++) {
		if (now - k->hosts[i].heard < HOST_FORGOTTEN ||
		    (k->hosts[i].named != 0 &&
			now - k->hosts[i].named < HOST_FORGOTTEN))
			continue;
		k->hosts[i] = k->hosts[--k->nhosts];
		i--;
		k->hosts_changed = 1;
	}
}

/* Begins or ends controlling, as the term says. */
static void
follow_term(struct keeper *k, usec now)
{
	const struct control_record *r = &k->term.rec;
	int i, holds = k->term.role == TERM_HOLDER;

	if (holds && !k->acting) {
		keeper_add_services(k, now);
		for (i = 0; i < k->nkeys; i++)
			keys_begin(k->keys[i], r->term, now);
		for (i = 0; i < k->nhosts; i++)
			k->hosts[i].try_until = now + HOST_LOST;
		site_begin(k);
		k->hosts_changed = 1;
	} else if (!holds && k->acting) {
		keeper_drop_keys(k);
		orders_drop(k);
	}
	k->acting = holds;
	if (holds) {
		name_copy(k->controller, sizeof(k->controller), keeper_self(k));
		k->controller_term = r->term;
		k->heard = now;
	} else if (k->term.known && r->term > k->controller_term &&
	    r->holder.host[0] != '\0') {
		/* Learnt from the store before the controller was heard. */
		k->controller_term = r->term;
		name_copy(k->controller, sizeof(k->controller), r->holder.host);
		keeper_host_seen(k, &r->holder, "", 0, now);
		k->heard = now;
	}
}

/*
 * Tells the watch service whether to follow the store itself: as controller, as
 * standby in its place, and where no host is heard that does.  The platform
 * gives 2 s until a leaving target gets no more, of which noticing takes less
 * than half.
 */
static void
tell_role(struct keeper *k, usec now)
{
	int follow = k->acting || relay_due(k, now) ||
	    now - k->fleet_heard > LONELY_AFTER;

	if (follow == k->told_follow)
		return;
	log_line(LOG_NOTICE, "control",
	    follow ? "Following the store, no controller is heard that does: "
		     "%s, heard %lld ms ago."
		   : "The controller %s follows the store, heard %lld ms ago.",
	    k->controller, (long long)((now - k->heard) / 1000));
	k->told_follow = follow;
	msg_post(k->s->kernel, "watch", follow ? MSG_FOLLOW : MSG_BE_TOLD, NULL,
	    NULL);
}

/* Does what is due. */
static void
tick(struct keeper *k, usec now)
{
	int i;

	k->term.no_controller = now - k->heard > LONELY_AFTER;
	if (k->acting)
		keeper_name_standbys(k, now);
	term_tick(&k->term, now);
	follow_term(k, now);
	if (k->acting && term_may_renew(&k->term, now) && !k->resigned &&
	    !k->yielded) {
		for (i = 0;
		     i < k->nkeys && term_old_leases_lapsed(&k->term, now); i++)
			keys_tick(k->keys[i], now);
		fleet_spread(k, now);
		spread_tick(k, now);
	}
	site_tick(k, now);
	quarantine_tick(k, now);
	relay_tick(k, now);
	report_tick(k, now);
	forget_hosts(k, now);
	fleet_missed(k, now);
	tell_role(k, now);
	keeper_yield_if_deaf(k, now);
	keeper_yield_to_larger(k, now);
	keeper_witness(k, now);
}

/* Goes on with an orderly stop: control goes to another first. */
static void
stop_tick(struct keeper *k, usec now)
{
	if (!k->stopping || k->gone)
		return;
	keeper_give_back(k, now);
	if (k->term.role == TERM_FOLLOWER || now > k->leave_by) {
		k->gone = 1;
		kernel_done(k->s->kernel, "control");
	}
}

/* Takes the outcome of a call to the store. */
static void
take_stored(struct keeper *k, const struct store *st, usec now)
{
	if (strncmp(st->tag, "keys ", 5) == 0)
		keeper_keys_stored(k, st, now);
	else if (strcmp(st->tag, QUARANTINE_TAG) == 0)
		quarantine_stored(k, st, now);
	else
		keeper_record_stored(k, st, now);
}

/* Takes a frame from another host. */
static void
take_frame(struct keeper *k, const struct msg *m, usec now)
{
	switch (m->frame->body_case) {
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		keeper_promise_ask(k, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE:
		keeper_promise(k, m, now);
		break;
	case GSPAR__FRAME__BODY_OWNERS:
		spread_take(k, m->frame->owners, now);
		break;
	case GSPAR__FRAME__BODY_HOST_REPORT:
		report_take(k, m->host, m->frame->host_report, now);
		break;
	case GSPAR__FRAME__BODY_FLEET_TOLD:
		fleet_take(k, m->frame->fleet_told, now);
		break;
	case GSPAR__FRAME__BODY_SITE_TOLD:
		site_take(k, m->frame->site_told);
		break;
	case GSPAR__FRAME__BODY_STORE_NEWS:
		relay_take(k, m->frame->store_news, now);
		break;
	case GSPAR__FRAME__BODY_QUARANTINE_TOLD:
		quarantine_take(k, m->frame->quarantine_told, now);
		break;
	default:
		break;
	}
}

/* Takes the configuration that is in force now. */
static void
take_site(struct keeper *k, struct msg *m, usec now)
{
	struct shared *was = k->site;

	k->site = NULL;
	msg_keep(m, &k->site);
	if (k->acting) {
		keeper_add_services(k, now);
		if (term_may_renew(&k->term, now) && !k->resigned &&
		    !k->yielded)
			site_spread(k, was == NULL ? NULL : was->p, now);
	}
	shared_unref(was);
}

/* Takes the targets that are known now. */
static void
take_fleet(struct keeper *k, struct msg *m, usec now)
{
	const struct fleet *was = keeper_fleet(k);
	int i;

	if (was != NULL)
		superseded_add(&k->fleet_was, was->digest, now);
	msg_keep(m, &k->fleet);
	for (i = 0; i < k->nkeys; i++)
		keys_set_fleet(k->keys[i], k->fleet->p, now);
}

/* The host stops; the plan is not there where memory was short. */
static void
begin_stop(struct keeper *k, const struct stop_plan *plan, usec now)
{
	k->stopping = 1;
	k->giving_since = now;
	k->leave_by = (plan == NULL ? now : plan->end) - LAST_ORDERS;
}

/* Takes one message. */
static void
take(struct keeper *k, struct msg *m, usec now)
{
	switch (m->kind) {
	case MSG_FRAME:
		take_frame(k, m, now);
		break;
	case MSG_STORED:
		take_stored(k, m->data, now);
		break;
	case MSG_SITE:
		take_site(k, m, now);
		break;
	case MSG_SITE_UNREAD:
		behind_read_failed(&k->behind);
		break;
	case MSG_SITE_READ:
		behind_read_done(&k->behind, now);
		break;
	case MSG_FLEET:
		take_fleet(k, m, now);
		break;
	case MSG_FRESH:
		k->fresh = 1;
		break;
	case MSG_STALE:
		k->fresh = 0;
		break;
	case MSG_HEAT:
		if (k->heat != NULL)
			heat_report_free(k->heat);
		k->heat = m->data;
		m->data = NULL;
		quarantine_take_seen(k, &k->heat->crashes, now);
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

/* The thread. */
static void
keeper_run(struct service *s)
{
	struct keeper *k = s->state;
	struct msg *m;
	int running;
	usec now;

	while (!k->stop) {
		now = clock_mono();
		while ((m = ring_get(s->in)) != NULL)
			take(k, m, now);
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

/* Makes the service ready. */
static int
keeper_open(struct service *s)
{
	struct keeper *k;

	k = calloc(1, sizeof(*k));
	if (k == NULL || (k->multi = curl_multi_init()) == NULL) {
		free(k);
		return (-1);
	}
	s->state = k;
	k->s = s;
	k->ops = &objects_target;
	curl_multi_setopt(k->multi, CURLMOPT_MAXCONNECTS, (long)ORDER_CONNS);
	k->heard = clock_mono();
	k->told_follow = 1; /* as the watch service begins */
	keeper_term_open(k);
	ring_on_put(s->in, transfers_wake, k->multi);
	return (0);
}

/* Frees all. */
static void
keeper_close(struct service *s)
{
	struct keeper *k = s->state;

	ring_on_put(s->in, NULL, NULL);
	orders_drop(k);
	keeper_drop_keys(k);
	if (k->heat != NULL)
		heat_report_free(k->heat);
	shared_unref(k->site);
	shared_unref(k->fleet);
	shared_unref(k->spread);
	shared_unref(k->owners);
	curl_multi_cleanup(k->multi);
	free(k);
}

const struct service_ops keeper_service = {
    "control", 16384, keeper_open, keeper_run, keeper_close};
