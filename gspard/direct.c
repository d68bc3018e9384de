/*
 * The router of hosts that send to targets themselves: the service's thread and
 * its messages.  The router accepts callers' requests, chooses their targets,
 * queues them while these are full, refuses requests that cannot be served in
 * time, and decides whether to retry those that got no answer.
 */
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "digest.h"
#include "direct.h"
#include "hearing.h"
#include "hist.h"
#include "sitectl.h"
#include "target.h"

/* Longest wait for events, with requests pending and without. */
#define TICK_MS 20
#define IDLE_MS 200
/*
 * The host gives up and answers itself this long before the caller's deadline.
 */
#define REPLY_MARGIN_MS 4
/* Retry delay for callers refused while this host stops: another host will
 * serve them. */
#define STOPPING_RETRY_MS 40
/* Size of the cache of connections to targets.  With libcurl's default, four
 * for each transfer, more than half of all requests opened a new one. */
#define CONN_CACHE_SIZE 400
/* Number of hosts assumed until it is known, except for shares of rate limits
 * (RATE_HOSTS_ASSUMED) and of retry budgets (host_count_most). */
#define HOSTS_ASSUMED 12

/* Inserts a request into the list, ordered by priority, then by arrival. */
static void
link_pending(struct direct *d, struct pending *p)
{
	struct pending *q = d->last;

	while (q != NULL && q->rule->priority > p->rule->priority)
		q = q->prev;
	p->prev = q;
	p->next = q == NULL ? d->first : q->next;
	if (p->prev != NULL)
		p->prev->next = p;
	else
		d->first = p;
	if (p->next != NULL)
		p->next->prev = p;
	else
		d->last = p;
}

/* Refuses a call that did not become a request; retry_ms is 0 if the time of
 * a retry is unknown. */
static void
refuse_call(struct call *c, int code, uint32_t retry_ms)
{
	c->answer.code = code;
	c->answer.retry_ms = retry_ms;
	c->answer.outcome = (int)result_outcome(code);
	call_end(c);
}

/* The digest of a request's content. */
static uint64_t
call_digest(const struct call *c)
{
	struct str parts[] = {{(char *)c->method, strlen(c->method)},
	    c->rule->host, {c->uri, strlen(c->uri)}, c->body};

	return (digest_parts(parts, sizeof(parts) / sizeof(parts[0])));
}

/* Accepts a call from the door: makes it a request and routes it. */
static void
accept_call(struct direct *d, struct call *c, usec now)
{
	const struct site *site = c->site == NULL ? NULL : c->site->p;
	struct pending *p;
	int n;

	p = calloc(1, sizeof(*p));
	if (p == NULL || site == NULL) {
		free(p);
		refuse_call(c, p == NULL ? GS_NOMEM : GS_NO_CATALOGUE, 0);
		return;
	}
	p->call = c;
	p->rule = c->rule;
	p->digest = call_digest(c);
	p->stats = rule_stats_get(d, p->rule);
	n = rule_backend(p->rule, p->stats->count++);
	if (n < 0 ||
	    (p->svc = service_state_get(d, site->services[n].name)) == NULL) {
		free(p);
		refuse_call(c, GS_NO_SERVICE, 0);
		return;
	}
	p->svc->keyed = site->services[n].keyed;
	p->arrived = now;
	p->deadline = now +
	    MS(c->left_ms > REPLY_MARGIN_MS ? c->left_ms - REPLY_MARGIN_MS : 0);
	if (p->rule->timeout > 0 && p->deadline > now + p->rule->timeout)
		p->deadline = now + p->rule->timeout;
	if (d->stop_plan != NULL &&
	    !stop_plan_accepts(d->stop_plan, now, p->deadline)) {
		free(p);
		refuse_call(c, GS_STOPPING, STOPPING_RETRY_MS);
		return;
	}
	if (d->stop_plan != NULL)
		p->deadline = stop_plan_deadline(d->stop_plan, p->deadline);
	p->next_caller_check = now + CALLER_CHECK_INTERVAL;
	budget_deposit(&p->svc->retry_budget);
	if (p->svc->keyed && c->key_number >= 0)
		heat_add(&p->svc->heat, (uint16_t)c->key_number);
	link_pending(d, p);
	flow_route(d, p, now);
}

/* True if a report is due.  Crashes are reported as often as in a small fleet:
 * others may be prevented. */
static int
report_due(const struct direct *d, usec now)
{
	const struct crash_report *c = &d->crashes;
	int urgent = c->nbroken > 0 || c->nended > 0 || c->nanswered > 0;
	int hosts = urgent || !d->hosts_known ? 0 : d->conf.hosts;

	return (now - d->last_report >= report_interval(hosts));
}

/* Reports requested keys, crashes and the state of targets to the control
 * service. */
static void
report(struct direct *d, usec now)
{
	struct router_report *h;
	struct target_state *s;
	int i;

	d->last_report = now;
	h = router_report_new(d->nsvcs);
	if (h == NULL)
		return;
	for (i = 0; i < d->nsvcs; i++) {
		if (!d->svcs[i].keyed || d->svcs[i].heat.n == 0)
			continue;
		router_report_keys(h, d->svcs[i].name, &d->svcs[i].heat);
		heat_clear(&d->svcs[i].heat);
	}
	/* Whether targets have ended is not known while they may be out of
	 * reach. */
	if (!path_is_doubted(d, now)) {
		h->crashes = d->crashes;
		memset(&d->crashes, 0, sizeof(d->crashes));
	}
	for (s = d->noted; s != NULL; s = s->next_noted) {
		router_report_target(h, s->id, &s->dest, s->answers);
		s->answers = 0;
	}
	targets_drop_notes(d, now);
	msg_post(
	    d->s->kernel, "control", MSG_ROUTER_REPORT, h, router_report_free);
}

/* Informs the door, once, that callers can be served. */
static void
check_ready(struct direct *d)
{
	struct msg *m;

	if (d->ready || d->site == NULL || !d->have_fleet)
		return;
	m = msg_new(MSG_READY);
	if (m == NULL || kernel_send(d->s->kernel, "door", m) != 0) {
		msg_free(m);
		return;
	}
	d->ready = 1;
	log_line(LOG_NOTICE, "router", "Ready to serve callers.");
	kernel_step_done(d->s->kernel, "ready");
}

/* Begins an orderly stop: all requests must end before the host does. */
static void
begin_stop(struct direct *d, struct msg *m)
{
	struct pending *p;

	if (m->data == NULL)
		return;
	d->stop_plan = m->data;
	m->data = NULL;
	for (p = d->first; p != NULL; p = p->next)
		p->deadline = stop_plan_deadline(d->stop_plan, p->deadline);
}

/* Sets the number of hosts that share limits, and this host's turn. */
static void
set_host_count(struct direct *d, const struct host_turn *turn, usec now)
{
	host_count_told(&d->host_count, turn->hosts, now);
	d->pools_changed |= !d->hosts_known || d->conf.hosts != turn->hosts;
	d->conf.hosts = turn->hosts;
	d->rank = turn->rank;
	d->hosts_known = 1;
}

/* Handles one message. */
static void
handle_message(struct direct *d, struct msg *m, usec now)
{
	switch (m->kind) {
	case MSG_CALL:
		accept_call(d, m->data, now);
		break;
	case MSG_SITE:
		msg_take_snapshot(m, &d->site);
		break;
	case MSG_FLEET:
		targets_update(d, d->fleet == NULL ? NULL : d->fleet->p,
		    ((struct shared *)m->data)->p, now);
		msg_take_snapshot(m, &d->fleet);
		break;
	case MSG_OWNERS:
		msg_take_snapshot(m, &d->owners);
		break;
	case MSG_HOST_COUNT:
		set_host_count(d, m->data, now);
		break;
	case MSG_QUARANTINE:
		msg_take_snapshot(m, &d->quarantine);
		crash_list_changed(d, now);
		break;
	case MSG_PEERS:
		pools_set_hosts(d, ((struct shared *)m->data)->p);
		break;
	case MSG_REACH:
		path_received(d, m->data, now);
		break;
	case MSG_STOP:
		begin_stop(d, m);
		break;
	case MSG_QUIT:
		d->stop = 1;
		break;
	default:
		break;
	}
	check_ready(d);
	msg_free(m);
}

/* Runs the service's thread until MSG_QUIT. */
static void
direct_run(struct service *s)
{
	struct direct *d = s->state;
	struct curl_waitfd datagrams = {d->permit_fd, CURL_WAIT_POLLIN, 0};
	struct msg *m;
	int running;
	usec now;

	while (!d->stop) {
		now = clock_mono();
		while ((m = ring_get(s->in)) != NULL)
			handle_message(d, m, now);
		curl_multi_perform(d->multi, &running);
		now = clock_mono();
		attempts_reap(d, now);
		attempts_limit(d, now);
		if (now >= d->next_limits)
			targets_update_limits(d, now);
		pools_update(d, now);
		admit_update(d, now);
		admit_receive(d, now);
		admit_tick(d, now);
		flow_pump(d, now);
		targets_sweep(d);
		if (report_due(d, now)) {
			retry_budgets_update(d, now);
			report(d, now);
		}
		curl_multi_perform(d->multi, &running);
		if (!d->stop)
			curl_multi_poll(d->multi, &datagrams, d->permit_fd >= 0,
			    d->first != NULL ? TICK_MS : IDLE_MS, NULL);
	}
	/* Not in direct_close(): the door cannot close while calls are open. */
	while (d->first != NULL)
		flow_fail(d, d->first, GS_STOPPING, 0, clock_mono());
}

/* Opens the service; 0, or -1 on failure. */
static int
direct_open(struct service *s)
{
	struct direct *d;

	d = calloc(1, sizeof(*d));
	if (d == NULL || (d->multi = curl_multi_init()) == NULL ||
	    apr_pool_create(&d->pool, NULL) != APR_SUCCESS) {
		free(d);
		return (-1);
	}
	s->state = d;
	curl_multi_setopt(
	    d->multi, CURLMOPT_MAXCONNECTS, (long)CONN_CACHE_SIZE);
	d->s = s;
	d->ops = &objects_target;
	d->by_id = apr_hash_make(d->pool);
	d->conf.hosts = HOSTS_ASSUMED;
	d->seed = kernel_boot(s->kernel);
	pools_open(d);
	ring_set_wake(s->in, transfers_wake, d->multi);
	return (0);
}

/* Frees the service's state. */
static void
direct_close(struct service *s)
{
	struct direct *d = s->state;
	struct target_state *p;

	ring_set_wake(s->in, NULL, NULL);
	free(d->stop_plan);
	pools_close(d);
	while (d->nidle_easy > 0)
		curl_easy_cleanup(d->idle_easy[--d->nidle_easy]);
	curl_multi_cleanup(d->multi);
	while ((p = d->targets) != NULL) {
		d->targets = p->next;
		free(p);
	}
	shared_unref(d->fleet);
	shared_unref(d->targets_site);
	shared_unref(d->site);
	shared_unref(d->owners);
	shared_unref(d->quarantine);
	apr_pool_destroy(d->pool);
	free(d);
}

const struct service_ops direct_service = {
    "router", 4096, direct_open, direct_run, direct_close};
