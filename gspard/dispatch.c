/* The service "dispatch": its messages, leases and reports. */
#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "transfer.h"
#include "view.h"

#define TICK_MS 10
/* Longest sleep while no request runs or is queued. */
#define IDLE_MS 25
#define REPORT_INTERVAL MS(250)
#define LOADS_INTERVAL MS(1000)
/* Number of busiest shards reported for each target. */
#define LOADS_REPORTED_MAX 16

/* Returns the state of a cell, created if new; NULL if the table is full. */
struct dispatch_cell *
dispatch_cell(struct dispatch *d, const char *name)
{
	int i;

	for (i = 0; i < d->ncells; i++) {
		if (strcmp(d->cells[i].name, name) == 0)
			return (&d->cells[i]);
	}
	if (d->ncells == VIEWS_MAX)
		return (NULL);
	name_copy(d->cells[d->ncells].name, CELL_NAME_MAX, name);
	return (&d->cells[d->ncells++]);
}

/* Returns the number of the cell's current view; 0: none. */
static uint64_t
current_view(const struct dispatch_cell *c)
{
	return (c->view == NULL ? 0 : view_number(c->view->p));
}

/* Returns the duty of a lease for a target, or NULL. */
static const struct duty *
find_duty(const struct lease *l, const char *target)
{
	int i;

	for (i = 0; i < l->n; i++) {
		if (strcmp(l->duties[i].target, target) == 0)
			return (&l->duties[i]);
	}
	return (NULL);
}

/* Applies one duty: a new target, or a later epoch of a known one. */
static void
apply_duty(struct service *s, struct dispatch_cell *c, const struct duty *duty,
    usec now)
{
	struct dispatch *d = s->state;
	struct target *t;

	t = target_find(d, duty->target);
	if (t == NULL) {
		t = target_new(s, duty->target, c, duty, now);
		d->report_due = 1;
	} else if (duty->epoch > t->grant.epoch) {
		grant_new_epoch(&t->grant, duty->epoch, now);
		t->min_view = duty->min_view;
		d->report_due = 1;
	}
	if (t == NULL)
		return;
	t->handing_over = 0;
	t->lease_lapsed = 0;
	t->limited = duty->limited;
	t->rate = duty->rate;
	if (c->view != NULL)
		target_apply_view(t, c->view->p, current_view(c));
}

/* Applies a renewed lease; targets that it has no duty for are handed over. */
static void
apply_lease(struct service *s, struct lease *l, usec now)
{
	struct dispatch *d = s->state;
	struct dispatch_cell *c = dispatch_cell(d, l->cell);
	struct target *t;
	int i;

	if (c == NULL)
		return;
	c->lease_until = l->until;
	c->ack = l->seq;
	for (i = 0; i < l->n; i++)
		apply_duty(s, c, &l->duties[i], now);
	for (t = d->targets; t != NULL; t = t->next) {
		if (strcmp(t->cell, c->name) == 0 && !t->handing_over &&
		    find_duty(l, t->name) == NULL) {
			t->handing_over = 1;
			event_add(
			    "dispatch", 0, "target %s is handed over", t->name);
		}
	}
}

/* Handles a view of a cell. */
static void
handle_view(struct service *s, struct msg *m, usec now)
{
	struct dispatch *d = s->state;
	struct shared *sh = m->data;
	const Gspar__View *v = sh->p;
	struct dispatch_cell *c = dispatch_cell(d, v->cell);
	struct target *t;

	if (c == NULL || view_number(v) <= current_view(c))
		return;
	msg_take_snapshot(m, &c->view);
	for (t = d->targets; t != NULL; t = t->next) {
		if (strcmp(t->cell, c->name) != 0)
			continue;
		target_apply_view(t, v, current_view(c));
		run_send_queued(s, t, now);
		target_tick(s, t, now);
	}
	d->report_due = 1;
}

/* Releases targets to be handed over that have no more requests here. */
static void
release_targets(struct service *s)
{
	struct dispatch *d = s->state;
	struct target *t, *next;

	for (t = d->targets; t != NULL; t = next) {
		next = t->next;
		if (!t->handing_over || t->nruns > 0 || t->queue.count > 0)
			continue;
		event_add("dispatch", 0, "target %s handed over", t->name);
		target_free(s, t);
		d->report_due = 1;
	}
	if (d->stopping && d->targets == NULL) {
		kernel_step_done(s->kernel, "dispatch");
		d->stopping = 0;
	}
}

/* Adds the shards that the target has certainly released. */
static void
add_freed(const struct target *t, Gspar__TargetState *ts, usec now)
{
	Gspar__Freed *f;
	uint32_t i, n = 0;

	if (!grant_set_certain(&t->grant, now))
		return;
	for (i = 0; i < t->shards; i++)
		n += t->fence[i] != 0 && t->excluded[i];
	if (n == 0)
		return;
	f = malloc(sizeof(*f));
	gspar__freed__init(f);
	f->service = strdup(t->service);
	f->view = t->view;
	f->shards = calloc(n, sizeof(*f->shards));
	for (i = 0; i < t->shards; i++) {
		if (t->fence[i] != 0 && t->excluded[i])
			f->shards[f->n_shards++] = t->first + i;
	}
	ts->freed = calloc(1, sizeof(*ts->freed));
	ts->freed[ts->n_freed++] = f;
}

/* Returns the busiest shard not reported yet, or the number of shards. */
static uint32_t
busiest(const struct target *t)
{
	uint32_t i, best = t->shards;

	for (i = 0; i < t->shards; i++) {
		if (t->busy[i] > 0 &&
		    (best == t->shards || t->busy[i] > t->busy[best]))
			best = i;
	}
	return (best);
}

/* Converts microseconds busy in a span to busy milliseconds a second. */
static uint32_t
per_second(uint64_t busy, usec span)
{
	return ((uint32_t)(busy * 1000 / (uint64_t)span));
}

/* Adds the loads of the busiest shards, and resets the counters. */
static void
add_loads(struct target *t, Gspar__TargetState *ts, usec now)
{
	Gspar__ShardLoad *l;
	uint64_t rest = 0;
	uint32_t i;
	usec span = now - t->loads_since;

	if (span < LOADS_INTERVAL)
		return;
	ts->has_loads = 1;
	ts->loads = calloc(LOADS_REPORTED_MAX, sizeof(*ts->loads));
	while (
	    ts->n_loads < LOADS_REPORTED_MAX && (i = busiest(t)) < t->shards) {
		l = malloc(sizeof(*l));
		gspar__shard_load__init(l);
		l->shard = t->first + i;
		l->busy = per_second(t->busy[i], span);
		t->busy[i] = 0;
		ts->loads[ts->n_loads++] = l;
	}
	for (i = 0; i < t->shards; i++)
		rest += t->busy[i];
	ts->rest_busy = per_second(rest, span);
	ts->demand = (uint32_t)((uint64_t)t->arrived * 1000 * US_PER_SEC /
	    (uint64_t)span);
	t->arrived = 0;
	memset(t->busy, 0, t->shards * sizeof(*t->busy));
	t->loads_since = now;
}

/* Builds the report of one target for the controller. */
static Gspar__TargetState *
make_target_state(struct target *t, usec now)
{
	Gspar__TargetState *ts;

	ts = malloc(sizeof(*ts));
	gspar__target_state__init(ts);
	ts->target = strdup(t->name);
	ts->epoch = t->grant.epoch;
	ts->granted = t->grant.phase != GRANT_INACTIVE;
	/* A target counts as up only once it holds its shards. */
	ts->up = t->grant.up &&
	    (t->grant.phase == GRANT_INACTIVE || t->grant.held_set != 0);
	ts->leaving = t->leaving;
	ts->busy = t->queue.busy;
	ts->rate = t->rate;
	add_freed(t, ts, now);
	add_loads(t, ts, now);
	return (ts);
}

/* Frees a report. */
static void
free_report(void *arg)
{
	struct report *r = arg;

	if (r->ask != NULL)
		gspar__lease_ask__free_unpacked(r->ask, NULL);
	free(r);
}

/* Reports the targets of each cell to the control service. */
static void
report(struct service *s, usec now)
{
	struct dispatch *d = s->state;
	Gspar__LeaseAsk *ask;
	struct report *r;
	struct target *t;
	int i, urgent = d->report_due;
	size_t n;

	d->report_due = 0;
	d->last_report = now;
	for (i = 0; i < d->ncells; i++) {
		ask = malloc(sizeof(*ask));
		gspar__lease_ask__init(ask);
		ask->cell = strdup(d->cells[i].name);
		ask->view = current_view(&d->cells[i]);
		ask->ack = d->cells[i].ack;
		n = 0;
		for (t = d->targets; t != NULL; t = t->next)
			n += strcmp(t->cell, ask->cell) == 0;
		/*
		 * A target whose lease lapsed is not reported: another host may
		 * dispatch for it by now, and its reports must not be
		 * contradicted.
		 */
		ask->targets = calloc(n + 1, sizeof(*ask->targets));
		for (t = d->targets; t != NULL; t = t->next) {
			if (strcmp(t->cell, ask->cell) == 0 && !t->lease_lapsed)
				ask->targets[ask->n_targets++] =
				    make_target_state(t, now);
		}
		r = malloc(sizeof(*r));
		r->ask = ask;
		r->urgent = urgent;
		msg_post(s->kernel, "control", MSG_REPORT, r, free_report);
	}
}

/* Handles one message. */
static void
handle_message(struct service *s, struct msg *m, usec now)
{
	struct dispatch *d = s->state;
	struct target *t;
	Gspar__Frame *f;

	switch (m->kind) {
	case MSG_FRAME:
		f = m->frame;
		if (f->body_case == GSPAR__FRAME__BODY_REQUEST) {
			m->frame = NULL;
			run_handle_request(s, m, f, now);
		} else if (f->body_case == GSPAR__FRAME__BODY_CANCEL)
			run_cancel(s, m->host, m->conn, f->cancel->corr, now);
		break;
	case MSG_PEER_DOWN:
		run_peer_down(s, m->host, m->conn, now);
		break;
	case MSG_CATALOGUE:
		msg_take_snapshot(m, &d->catalogue);
		for (t = d->targets; t != NULL; t = t->next)
			target_configure(d, t);
		break;
	case MSG_VIEW:
		handle_view(s, m, now);
		break;
	case MSG_LEASE:
		apply_lease(s, m->data, now);
		break;
	case MSG_STOP:
		d->stopping = 1;
		break;
	case MSG_QUIT:
		d->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* Handles all transfers that have ended. */
static void
handle_transfers(struct service *s, usec now)
{
	struct dispatch *d = s->state;
	CURLMsg *cm;
	char *p;
	int left;

	while ((cm = curl_multi_info_read(d->multi, &left)) != NULL) {
		if (cm->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(cm->easy_handle, CURLINFO_PRIVATE, &p);
		if ((uintptr_t)p & 1)
			target_call_done(s,
			    (struct target_call *)(void *)(p - 1),
			    cm->data.result, now);
		else
			run_done(
			    s, (struct run *)(void *)p, cm->data.result, now);
	}
}

/* Does the periodic work of each target. */
static void
tick(struct service *s, usec now)
{
	struct dispatch *d = s->state;
	struct target *t;

	for (t = d->targets; t != NULL; t = t->next) {
		if (!t->lease_lapsed &&
		    now >= dispatch_cell(d, t->cell)->lease_until) {
			t->lease_lapsed = 1;
			t->handing_over = 1;
			d->report_due = 1;
			event_add("dispatch", 0,
			    "target %s released: lease lapsed", t->name);
		}
		target_update_wanted(t);
		target_tick(s, t, now);
		runs_resend(s, t, now);
		run_send_queued(s, t, now);
	}
	release_targets(s);
	if (d->report_due || now - d->last_report >= REPORT_INTERVAL)
		report(s, now);
}

/* Returns true if any request runs or is queued. */
static int
has_work(const struct dispatch *d)
{
	const struct target *t;

	for (t = d->targets; t != NULL; t = t->next) {
		if (t->nruns > 0 || t->queue.count > 0)
			return (1);
	}
	return (0);
}

/* The service's thread. */
static void
dispatch_run(struct service *s)
{
	struct dispatch *d = s->state;
	struct msg *m;
	usec now, ticked = 0;
	int running;

	while (!d->stop) {
		now = clock_mono();
		while ((m = ring_get(s->in)) != NULL)
			handle_message(s, m, now);
		curl_multi_perform(d->multi, &running);
		handle_transfers(s, clock_mono());
		now = clock_mono();
		if (now - ticked >= MS(TICK_MS) || d->report_due) {
			tick(s, now);
			ticked = now;
		}
		curl_multi_poll(
		    d->multi, NULL, 0, has_work(d) ? TICK_MS : IDLE_MS, NULL);
	}
}

/* Prepares the service. */
static int
dispatch_open(struct service *s)
{
	struct dispatch *d;

	d = calloc(1, sizeof(*d));
	if (d == NULL || (d->multi = curl_multi_init()) == NULL) {
		free(d);
		return (-1);
	}
	curl_multi_setopt(d->multi, CURLMOPT_MAXCONNECTS, 1024L);
	s->state = d;
	ring_set_wake(s->in, transfers_wake, d->multi);
	return (0);
}

/* Frees the service's state and all targets. */
static void
dispatch_close(struct service *s)
{
	struct dispatch *d = s->state;
	struct target *t;
	struct job *j;
	int i;

	ring_set_wake(s->in, NULL, NULL);
	while ((t = d->targets) != NULL) {
		while (
		    (j = queue_remove(&t->queue, run_match_any, NULL)) != NULL)
			run_free(s, j->user_data);
		target_free(s, t);
	}
	for (i = 0; i < d->ncells; i++)
		shared_unref(d->cells[i].view);
	shared_unref(d->catalogue);
	curl_multi_cleanup(d->multi);
	free(d);
}

const struct service_ops dispatch_service = {
    "dispatch", 16384, dispatch_open, dispatch_run, dispatch_close};
