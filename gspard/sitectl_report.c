/*
 * Reports of the hosts to their controller: load of keys, latency of targets,
 * and the versions that the host has.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sitectl.h"

/*
 * The store counts as reachable for this long after it answered: a standby
 * probes it every second if that is needed.
 */
#define STORE_ANSWER_MAX_AGE MS(1600)
/* A rate limit beyond this, in requests per second, has no effect. */
#define LIMIT_MAX 1e6

/* Encodes a rate limit: 0 if there is none, else 1 + thousandths. */
static uint32_t
limit_to_wire(double limit)
{
	if (limit < 0)
		return (0);
	return (1 + (uint32_t)(fmin(limit, LIMIT_MAX) * 1000));
}

/* Encodes what the router has measured. */
static void
fill_report(Gspar__HostReport *msg, const struct router_report *h,
    Gspar__KeyHeat *keys, Gspar__KeyHeat **klist, Gspar__TargetLearnt *targets,
    Gspar__TargetLearnt **tlist, uint32_t *buf)
{
	const struct heat *heat;
	int i, n;

	for (i = 0; i < h->nkeys; i++) {
		heat = &h->keys[i].heat;
		gspar__key_heat__init(&keys[i]);
		klist[i] = &keys[i];
		keys[i].service = h->keys[i].service;
		keys[i].keys = buf;
		keys[i].n_keys = (size_t)heat->n;
		keys[i].each = (uint32_t)((uint64_t)heat->requests * 1000 /
		    (uint64_t)(heat->n > 0 ? heat->n : 1));
		for (n = 0; n < heat->n; n++)
			*buf++ = heat->keys[n];
	}
	for (i = 0; i < h->ntargets; i++) {
		gspar__target_learnt__init(&targets[i]);
		tlist[i] = &targets[i];
		targets[i].target = h->targets[i].id;
		targets[i].speed =
		    (uint32_t)(h->targets[i].latency_ratio * 1000);
		targets[i].answers = (uint32_t)h->targets[i].answers;
		targets[i].limit = limit_to_wire(h->targets[i].limit);
		targets[i].leaving = h->targets[i].leaving;
	}
	msg->heat = klist;
	msg->n_heat = (size_t)h->nkeys;
	msg->targets = tlist;
	msg->n_targets = (size_t)h->ntargets;
}

/* Sends this host's report to the controller. */
static void
send_report(struct sitectl *k, const struct router_report *h, usec now)
{
	const struct conf *conf = kernel_conf(k->s->kernel);
	const struct site *site = sitectl_site(k);
	Gspar__Frame f = GSPAR__FRAME__INIT;
	const struct fleet *fleet = sitectl_fleet(k);
	Gspar__HostReport w = GSPAR__HOST_REPORT__INIT;
	Gspar__KeyHeat keys[SITECTL_SERVICES_MAX], *klist[SITECTL_SERVICES_MAX];
	Gspar__TargetLearnt *targets, **tlist;
	uint32_t *buf;

	targets = calloc((size_t)h->ntargets + 1, sizeof(*targets));
	tlist = calloc((size_t)h->ntargets + 1, sizeof(*tlist));
	buf = calloc((size_t)h->nkeys * HEAT_SAMPLE_MAX + 1, sizeof(*buf));
	w.boot = kernel_boot(k->s->kernel);
	w.addr = (char *)conf->advertised;
	w.dc = (char *)conf->dc;
	w.tunnel = (char *)conf->tunnel;
	w.stopping = k->stopping;
	w.bears = (uint32_t)sitectl_capacity(k);
	w.store = k->store_answered_at != 0 &&
	    now - k->store_answered_at < STORE_ANSWER_MAX_AGE;
	w.owners = k->number;
	if (!k->acting && k->term.role != TERM_HOLDER)
		w.term = k->controller_term;
	w.site = site == NULL ? 0 : site->version;
	w.site_asked = k->site_request;
	k->site_request = 0;
	w.fleet = fleet == NULL ? 0 : fleet->digest;
	w.hosts_digest = k->hosts_digest;
	w.link_mbps = (uint32_t)conf->link_mbps;
	if (targets != NULL && tlist != NULL && buf != NULL) {
		fill_report(&w, h, keys, klist, targets, tlist, buf);
		quarantine_fill_report(k, &w, now);
		f.body_case = GSPAR__FRAME__BODY_HOST_REPORT;
		f.host_report = &w;
		send_frame(k->s->kernel, k->controller, 0, &f);
	}
	free(targets);
	free(tlist);
	free(buf);
}

/* Tells a controller that has just become known of this host, which may lack
 * all that the controller sends. */
void
report_at_once(struct sitectl *k, usec now)
{
	static const struct router_report nothing;

	send_report(k, &nothing, now);
}

/* Adds to this host's own list which targets have announced that they are
 * leaving, so that it outlasts the router's state of them. */
void
report_add_leaving(struct sitectl *k, const struct router_report *h)
{
	int i;

	for (i = 0; i < h->ntargets; i++) {
		if (h->targets[i].leaving)
			fleet_leave_announced(k, h->targets[i].id);
	}
}

/* Forwards the router's last report to the controller. */
void
report_tick(struct sitectl *k, usec now)
{
	if (k->pending_report == NULL)
		return;
	if (k->controller[0] != '\0')
		send_report(k, k->pending_report, now);
	router_report_free(k->pending_report);
	k->pending_report = NULL;
}

/* Adds a host's measurements of a target. */
static void
receive_target_report(struct keys *k, const Gspar__TargetLearnt *t, usec now)
{
	keys_add_latency(k, t->target, t->speed / 1000.0, (int)t->answers, now);
	if (t->limit > 0)
		keys_set_rate_limit(k, t->target, (t->limit - 1) / 1000.0, now);
}

/* Adds which targets have announced to a host that they are leaving; returns
 * how many of them were news. */
static int
receive_leaving(struct sitectl *k, const Gspar__HostReport *msg)
{
	size_t i;
	int news = 0;

	for (i = 0; i < msg->n_targets; i++) {
		if (msg->targets[i]->leaving)
			news +=
			    fleet_leave_announced(k, msg->targets[i]->target);
	}
	return (news);
}

/* Handles a host's report, as controller. */
void
report_receive(
    struct sitectl *k, const char *host, const Gspar__HostReport *msg, usec now)
{
	uint16_t keys[HEAT_SAMPLE_MAX];
	struct host_entry *h;
	struct member m;
	struct keys *ks;
	size_t i, n;
	int j;

	memset(&m, 0, sizeof(m));
	name_copy(m.host, sizeof(m.host), host);
	name_copy(m.addr, sizeof(m.addr), msg->addr);
	m.boot = msg->boot;
	sitectl_host_seen(k, &m, msg->dc, msg->tunnel, msg->stopping, now);
	sitectl_publish_peers(k, now);
	if (msg->term != 0)
		term_holder_follows(&k->term, now, &m, msg->term);
	if ((h = hosts_find(&k->hosts, host)) != NULL) {
		h->owners_reported = msg->owners;
		h->has_reported = 1;
		h->list_reported = msg->hosts_digest;
		h->fleet_reported = msg->fleet;
		h->link_mbps = (int)msg->link_mbps;
		h->max_hosts = (int)msg->bears;
		h->store_reachable = msg->store;
		site_receive_report(k, h, msg, now);
		quarantine_receive_report(k, h, msg, now);
	}
	/* A list that differs by what this report tells is not out of date.  To
	 * a host whose address is not published nothing can be sent. */
	if (receive_leaving(k, msg) == 0 && k->acting && h != NULL &&
	    !k->peers_changed)
		fleet_check_host(k, h, now);
	for (i = 0; i < msg->n_heat; i++) {
		ks = sitectl_keys(k, msg->heat[i]->service);
		for (n = 0; n < msg->heat[i]->n_keys && n < HEAT_SAMPLE_MAX;
		     n++)
			keys[n] = (uint16_t)msg->heat[i]->keys[n];
		if (ks != NULL)
			keys_add_load(
			    ks, keys, (int)n, msg->heat[i]->each / 1000.0, now);
	}
	for (i = 0; i < msg->n_targets; i++) {
		for (j = 0; j < k->nkeys; j++)
			receive_target_report(k->keys[j], msg->targets[i], now);
	}
}
