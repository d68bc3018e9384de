/*
 * One cell on this host: connects messages and store calls to the decisions
 * in decide/.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "control.h"
#include "view.h"
#include "viewdelta.h"

#define VIEW_REQUEST_INTERVAL MS(1000)
/* Lease requests in the length of a lease: two replies in a row may be lost.
 * Each request costs its controller about 350 bytes, with headers. */
#define REQUESTS_PER_LEASE 4
/* After this many request intervals without a reply, a host assumes that there
 * is no controller. */
#define NO_CONTROLLER_REQUESTS 2

/* Returns this host's settings. */
static const struct conf *
conf_of(const struct local_cell *c)
{
	return (kernel_conf(c->s->kernel));
}

/* The interval between a host's lease requests. */
static usec
request_interval(const struct conf *conf)
{
	return (MS(conf->host_lease_ms) / REQUESTS_PER_LEASE);
}

/* Requests a promise from a standby. */
static void
send_promise_request(void *arg, const struct member *m, uint64_t term)
{
	struct local_cell *c = arg;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__PromiseAsk ask = GSPAR__PROMISE_ASK__INIT;

	ask.cell = c->name;
	ask.term = term;
	ask.seq = ++c->promise_seq;
	ask.boot = m->boot;
	c->promise_sent[ask.seq % PROMISE_REQUESTS_MAX] = clock_mono();
	f.body_case = GSPAR__FRAME__BODY_PROMISE_ASK;
	f.promise_ask = &ask;
	send_frame(c->s->kernel, m->host, 0, &f);
}

/* Records an event of the cell's election. */
static void
on_term_event(void *arg, const char *what)
{
	struct local_cell *c = arg;

	c->control_event =
	    event_add("control", c->control_event, "%s: %s", c->name, what);
	log_line(LOG_NOTICE, "control", "Cell %s: %s.", c->name, what);
}

static const struct term_callbacks term_callbacks = {local_cell_read_record,
    local_cell_write_record, send_promise_request, on_term_event};

/* Records a decision of the controller. */
static void
on_cell_event(void *arg, const char *what)
{
	struct local_cell *c = arg;

	event_add("control", c->control_event, "%s: %s", c->name, what);
	log_line(LOG_INFO, "control", "Cell %s: %s.", c->name, what);
}

static const struct cell_callbacks cell_callbacks = {local_cell_read_assignment,
    local_cell_write_assignment, local_cell_broadcast_view, on_cell_event};

/*
 * Returns a new cell, or NULL; member is true if this host belongs to the cell.
 */
struct local_cell *
local_cell_new(struct service *s, const char *name, int member)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct cell_times times = {
	    MS(conf->host_lease_ms), request_interval(conf)};
	struct term_conf tc;
	struct local_cell *c;
	uint64_t seed;

	c = calloc(1, sizeof(*c));
	if (c == NULL || (c->cell = calloc(1, sizeof(*c->cell))) == NULL) {
		free(c);
		return (NULL);
	}
	c->s = s;
	c->member = member;
	name_copy(c->name, sizeof(c->name), name);
	apr_generate_random_bytes((unsigned char *)&seed, sizeof(seed));
	memset(&tc, 0, sizeof(tc));
	name_copy(tc.self.host, sizeof(tc.self.host), conf->host);
	tc.self.boot = kernel_boot(s->kernel);
	tc.lease = MS(conf->control_lease_ms);
	tc.host_lease = MS(conf->host_lease_ms);
	tc.renew = MS(conf->renew_ms);
	term_init(&c->term, &tc, &term_callbacks, c, seed);
	cell_init(c->cell, name, &times, &cell_callbacks, c, ~seed);
	return (c);
}

/* Frees a cell. */
void
local_cell_free(struct local_cell *c)
{
	cell_free(c->cell);
	free(c->cell);
	shared_unref(c->view);
	if (c->report != NULL)
		gspar__lease_ask__free_unpacked(c->report, NULL);
	free(c);
}

/* True while this host controls the cell and its control lease is valid. */
int
local_cell_is_controller(const struct local_cell *c)
{
	return (c->cell->active && term_may_renew(&c->term, clock_mono()));
}

/* Removes loads that have been sent, so that they count once. */
static void
clear_loads(Gspar__LeaseAsk *report)
{
	Gspar__TargetState *t;
	size_t i;

	for (i = 0; report != NULL && i < report->n_targets; i++) {
		t = report->targets[i];
		t->has_loads = 0;
		while (t->n_loads > 0)
			gspar__shard_load__free_unpacked(
			    t->loads[--t->n_loads], NULL);
	}
}

/* Requests renewal of this host's lease; the request carries its report. */
static void
request_lease(struct local_cell *c, usec now)
{
	struct control *ctl = c->s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__LeaseAsk ask = GSPAR__LEASE_ASK__INIT;

	c->request_now = 0;
	if (c->report != NULL) {
		ask.targets = c->report->targets;
		ask.n_targets = c->report->n_targets;
		ask.ack = c->report->ack;
		ask.view = c->report->view;
	}
	ask.cell = c->name;
	ask.term = c->lease.term;
	ask.stopping = ctl->stopping;
	ask.boot = kernel_boot(c->s->kernel);
	ask.dc = (char *)conf_of(c)->dc;
	ask.addr = (char *)conf_of(c)->advertised;
	ask.seq =
	    hostlease_request(&c->lease, now, request_interval(conf_of(c)));
	f.body_case = GSPAR__FRAME__BODY_LEASE_ASK;
	f.lease_ask = &ask;
	send_frame(c->s->kernel, c->lease.controller, 0, &f);
	clear_loads(c->report);
}

/* Requests a view newer than ours from a host, or on connection conn if set. */
static void
send_view_request(struct local_cell *c, const char *host, uint64_t conn)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__ViewAsk ask = GSPAR__VIEW_ASK__INIT;

	ask.cell = c->name;
	ask.term = c->view_number >> 32;
	ask.seq = c->view_number & 0xffffffff;
	f.body_case = GSPAR__FRAME__BODY_VIEW_ASK;
	f.view_ask = &ask;
	send_frame(c->s->kernel, host, conn, &f);
}

/* Requests a newer view from the cell's hosts in turn. */
static void
request_view(struct local_cell *c, usec now)
{
	struct control *ctl = c->s->state;
	const struct peers *l = ctl->peers == NULL ? NULL : ctl->peers->p;
	int i, n, start;
	char dcs[CELL_NAME_MAX + 2], dc[NAME_MAX_GS + 2];

	c->next_view_request = now + VIEW_REQUEST_INTERVAL;
	if (l == NULL || l->n == 0)
		return;
	snprintf(dcs, sizeof(dcs), "+%s+", c->name);
	start = (int)(now / VIEW_REQUEST_INTERVAL % l->n);
	for (i = 0; i < l->n; i++) {
		n = (start + i) % l->n;
		snprintf(dc, sizeof(dc), "+%s+", l->list[n].dc);
		if (strstr(dcs, dc) == NULL ||
		    strcmp(l->list[n].host, conf_of(c)->host) == 0)
			continue;
		send_view_request(c, l->list[n].host, 0);
		return;
	}
}

/* Starts or ends control of the cell according to the election. */
static void
follow_term(struct local_cell *c, usec now)
{
	struct term *t = &c->term;

	if (t->role == TERM_HOLDER && !c->cell->active) {
		cell_begin(c->cell, t->rec.term, now);
		hostlease_hint(&c->lease, conf_of(c)->host, t->rec.term);
	} else if (t->role != TERM_HOLDER && c->cell->active)
		cell_end(c->cell);
	if (t->role == TERM_FOLLOWER && t->known &&
	    t->rec.holder.host[0] != '\0' &&
	    hostlease_hint(&c->lease, t->rec.holder.host, t->rec.term))
		c->request_now = 1;
}

/* Runs the cell's timers. */
void
local_cell_tick(struct local_cell *c, usec now)
{
	struct member standbys[STANDBYS_MAX];
	int n;

	if (!c->member) {
		if (now >= c->next_view_request)
			request_view(c, now);
		return;
	}
	c->term.no_controller = now - c->lease.last_heard >
	    NO_CONTROLLER_REQUESTS * request_interval(conf_of(c));
	if (c->cell->active) {
		n = cell_choose_standbys(c->cell, now, conf_of(c)->host,
		    conf_of(c)->dc, &c->term.rec, standbys);
		term_set_standbys(&c->term, standbys, n);
	}
	term_tick(&c->term, now);
	follow_term(c, now);
	if (term_may_renew(&c->term, now))
		cell_tick(c->cell, now, term_old_leases_lapsed(&c->term, now),
		    term_may_dispatch(&c->term, now));
	if (c->lease.controller[0] != '\0' &&
	    (c->request_now || now >= c->lease.next_request))
		request_lease(c, now);
	if (now >= c->next_view_request)
		request_view(c, now);
}

/* Handles a host's lease request. */
static void
on_lease_request(struct local_cell *c, const struct msg *m, usec now)
{
	const Gspar__LeaseAsk *ask = m->frame->lease_ask;
	struct control *ctl = c->s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__LeaseGive give = GSPAR__LEASE_GIVE__INIT;
	Gspar__Duty *duties, **list;
	int i, n;

	give.cell = c->name;
	give.term = c->lease.term;
	give.seq = ask->seq;
	give.controller = c->lease.controller;
	duties = calloc(CELL_TARGETS, sizeof(*duties));
	list = calloc(CELL_TARGETS, sizeof(*list));
	if (c->cell->active && ask->term <= c->cell->term &&
	    term_may_renew(&c->term, now) && cell_ready(c->cell)) {
		cell_lease_request(c->cell, now, m->host, ask);
		cell_tick(c->cell, now, term_old_leases_lapsed(&c->term, now),
		    term_may_dispatch(&c->term, now));
		/*
		 * Read the clock again: a controller that was paused since
		 * `now` must not grant a lease that outlives its own.
		 */
		now = clock_mono();
		n = term_may_renew(&c->term, now)
		    ? cell_lease_reply(c->cell, now, m->host, ask, &give,
			  duties, CELL_TARGETS)
		    : -1;
		for (i = 0; i < n; i++)
			list[i] = &duties[i];
		give.n_duties = n > 0 ? (size_t)n : 0;
		give.duties = list;
		give.term = c->cell->term;
		give.view = c->cell->term << 32 | c->cell->view_seq;
		give.catalogue = ctl->digest;
	}
	f.body_case = GSPAR__FRAME__BODY_LEASE_GIVE;
	f.lease_give = &give;
	send_frame(c->s->kernel, m->host, m->conn, &f);
	free(duties);
	free(list);
}

/* Sends a renewed lease to the dispatcher. */
static void
forward_lease(struct local_cell *c, const Gspar__LeaseGive *give)
{
	struct lease *l;
	size_t i;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return;
	name_copy(l->cell, sizeof(l->cell), c->name);
	l->until = c->lease.until;
	l->seq = give->seq;
	l->duties = calloc(give->n_duties + 1, sizeof(*l->duties));
	for (i = 0; l->duties != NULL && i < give->n_duties; i++) {
		name_copy(
		    l->duties[i].target, NAME_MAX_GS, give->duties[i]->target);
		l->duties[i].epoch = give->duties[i]->epoch;
		l->duties[i].min_view = give->duties[i]->min_view;
		l->duties[i].limited = give->duties[i]->limited;
		l->duties[i].rate = give->duties[i]->rate;
		l->n++;
	}
	msg_post(c->s->kernel, "dispatch", MSG_LEASE, l, lease_free);
}

/* Requests the whole view from a message's sender, with a limit on the rate. */
static void
request_whole_view(struct local_cell *c, const struct msg *m, usec now)
{
	if (now + MS(50) >= c->next_view_request)
		return;
	c->next_view_request = now + VIEW_REQUEST_INTERVAL / 4;
	send_view_request(c, m->host, m->conn);
}

/* Handles a view, sent whole or as a difference to the current one. */
static void
on_view(struct local_cell *c, const struct msg *m, usec now)
{
	const Gspar__View *v = m->frame->view;
	Gspar__View *whole;

	if (view_number(v) <= c->view_number)
		return;
	if (v->since == 0)
		whole = view_copy(v);
	else
		whole = viewdelta_apply(c->view == NULL ? NULL : c->view->p, v);
	if (whole == NULL)
		request_whole_view(c, m, now);
	local_cell_set_view(c, whole);
}

/* Handles the reply to a lease request. */
static void
on_lease_reply(struct local_cell *c, const struct msg *m, usec now)
{
	const Gspar__LeaseGive *give = m->frame->lease_give;

	if (!give->given) {
		if (hostlease_hint(&c->lease, give->controller, give->term))
			c->request_now = 1;
		return;
	}
	if (!hostlease_reply(&c->lease, now, m->host, give->term, give->seq,
		MS(give->lease_ms)))
		return;
	forward_lease(c, give);
	if (give->view > c->view_number)
		request_whole_view(c, m, now);
	catalogue_check_digest(c->s, m->host, give->catalogue);
}

/* Handles a promise request of the control lease's holder. */
static void
on_promise_request(struct local_cell *c, const struct msg *m, usec now)
{
	const Gspar__PromiseAsk *ask = m->frame->promise_ask;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Promise p = GSPAR__PROMISE__INIT;

	p.cell = c->name;
	p.term = ask->term;
	p.seq = ask->seq;
	p.boot = kernel_boot(c->s->kernel);
	p.yes = term_promise_request(&c->term, now, ask->term, ask->boot) !=
	    PROMISE_NONE;
	f.body_case = GSPAR__FRAME__BODY_PROMISE;
	f.promise = &p;
	send_frame(c->s->kernel, m->host, m->conn, &f);
}

/* Handles a standby's promise reply. */
static void
on_promise_reply(struct local_cell *c, const struct msg *m, usec now)
{
	const Gspar__Promise *p = m->frame->promise;
	struct member process;

	if (p->seq > c->promise_seq ||
	    c->promise_seq - p->seq >= PROMISE_REQUESTS_MAX)
		return;
	memset(&process, 0, sizeof(process));
	name_copy(process.host, sizeof(process.host), m->host);
	process.boot = p->boot;
	term_promise_reply(&c->term, now, &process, p->term,
	    p->yes ? PROMISE_LEASE : PROMISE_NONE,
	    c->promise_sent[p->seq % PROMISE_REQUESTS_MAX]);
}

/* Handles a request for a newer view. */
static void
on_view_request(struct local_cell *c, const struct msg *m)
{
	const Gspar__ViewAsk *ask = m->frame->view_ask;
	Gspar__Frame f = GSPAR__FRAME__INIT;

	if (c->view == NULL || (ask->term << 32 | ask->seq) >= c->view_number)
		return;
	f.body_case = GSPAR__FRAME__BODY_VIEW;
	f.view = c->view->p;
	send_frame(c->s->kernel, m->host, m->conn, &f);
}

/* Handles a frame for this cell. */
void
local_cell_handle_frame(struct local_cell *c, const struct msg *m, usec now)
{
	switch (m->frame->body_case) {
	case GSPAR__FRAME__BODY_LEASE_ASK:
		on_lease_request(c, m, now);
		break;
	case GSPAR__FRAME__BODY_LEASE_GIVE:
		on_lease_reply(c, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		on_promise_request(c, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE:
		on_promise_reply(c, m, now);
		break;
	case GSPAR__FRAME__BODY_VIEW:
		on_view(c, m, now);
		break;
	case GSPAR__FRAME__BODY_VIEW_ASK:
		on_view_request(c, m);
		break;
	default:
		break;
	}
}
