/* One cell: carries messages between hosts and the rules in decide/. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "control.h"
#include "view.h"
#include "viewdelta.h"

#define VIEW_ASK_EVERY MS(1000)
/* How often a host asks within a lease: two answers may be lost.  Each ask
 * costs its controller some 350 bytes, heads included. */
#define ASKS_A_LEASE 4
/* Unanswered for so many asks, a host looks for another controller. */
#define LONELY_ASKS 2

/* The settings of this host. */
static const struct conf *
conf_of(const struct ccell *c)
{
	return (kernel_conf(c->s->kernel));
}

/* Between a host's asks for its lease. */
static usec
ask_every(const struct conf *conf)
{
	return (MS(conf->host_lease_ms) / ASKS_A_LEASE);
}

/* Asks a standby for its promise. */
static void
term_ask(void *arg, const struct member *m, uint64_t term)
{
	struct ccell *c = arg;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__PromiseAsk ask = GSPAR__PROMISE_ASK__INIT;

	ask.cell = c->name;
	ask.term = term;
	ask.seq = ++c->promise_seq;
	ask.boot = m->boot;
	c->asked_at[ask.seq % ASKED_KEPT] = clock_mono();
	f.body_case = GSPAR__FRAME__BODY_PROMISE_ASK;
	f.promise_ask = &ask;
	send_frame(c->s->kernel, m->host, 0, &f);
}

/* Records what happened to control of the cell. */
static void
term_event(void *arg, const char *what)
{
	struct ccell *c = arg;

	c->took = event_add("control", c->took, "%s: %s", c->name, what);
	log_line(LOG_NOTICE, "control", "Cell %s: %s.", c->name, what);
}

static const struct term_callbacks term_callbacks = {
    cell_read_record, cell_write_record, term_ask, term_event};

/* Records what the controller decided. */
static void
cell_event(void *arg, const char *what)
{
	struct ccell *c = arg;

	event_add("control", c->took, "%s: %s", c->name, what);
	log_line(LOG_INFO, "control", "Cell %s: %s.", c->name, what);
}

static const struct cell_callbacks cell_callbacks = {
    cell_read_assignment, cell_write_assignment, cell_spread_view, cell_event};

/* A cell as seen from here; member where this host is one of its own. */
struct ccell *
ccell_new(struct service *s, const char *name, int member)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct cell_times times = {MS(conf->host_lease_ms), ask_every(conf)};
	struct term_conf tc;
	struct ccell *c;
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
ccell_free(struct ccell *c)
{
	cell_free(c->cell);
	free(c->cell);
	shared_unref(c->view);
	if (c->report != NULL)
		gspar__lease_ask__free_unpacked(c->report, NULL);
	free(c);
}

/* True while this host controls the cell and may say so. */
int
ccell_controls(const struct ccell *c)
{
	return (c->cell->active && term_may_renew(&c->term, clock_mono()));
}

/* Loads that have been told are not told again: they count once. */
static void
drop_loads(Gspar__LeaseAsk *report)
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

/* Asks the controller to renew this host's lease, and reports. */
static void
ask_lease(struct ccell *c, usec now)
{
	struct control *ctl = c->s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__LeaseAsk ask = GSPAR__LEASE_ASK__INIT;

	c->ask_now = 0;
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
	ask.addr = (char *)conf_of(c)->reached;
	ask.seq = hostlease_request(&c->lease, now, ask_every(conf_of(c)));
	f.body_case = GSPAR__FRAME__BODY_LEASE_ASK;
	f.lease_ask = &ask;
	send_frame(c->s->kernel, c->lease.controller, 0, &f);
	drop_loads(c->report);
}

/* Asks a host, or whoever is on a connection, for a view newer than ours. */
static void
send_view_ask(struct ccell *c, const char *host, uint64_t conn)
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

/* Asks some host of the cell for a newer view. */
static void
ask_view(struct ccell *c, usec now)
{
	struct control *ctl = c->s->state;
	const struct peers *l = ctl->peers == NULL ? NULL : ctl->peers->p;
	int i, n, start;
	char dcs[CELL_NAME_MAX + 2], dc[NAME_MAX_GS + 2];

	c->next_view_ask = now + VIEW_ASK_EVERY;
	if (l == NULL || l->n == 0)
		return;
	snprintf(dcs, sizeof(dcs), "+%s+", c->name);
	start = (int)(now / VIEW_ASK_EVERY % l->n);
	for (i = 0; i < l->n; i++) {
		n = (start + i) % l->n;
		snprintf(dc, sizeof(dc), "+%s+", l->list[n].dc);
		if (strstr(dcs, dc) == NULL ||
		    strcmp(l->list[n].host, conf_of(c)->host) == 0)
			continue;
		send_view_ask(c, l->list[n].host, 0);
		return;
	}
}

/* Follows the term: begins or ends controlling the cell. */
static void
follow_term(struct ccell *c, usec now)
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
		c->ask_now = 1;
}

/* Does what is due. */
void
ccell_tick(struct ccell *c, usec now)
{
	struct member want[STANDBYS_MAX];
	int n;

	if (!c->member) {
		if (now >= c->next_view_ask)
			ask_view(c, now);
		return;
	}
	c->term.no_controller =
	    now - c->lease.last_heard > LONELY_ASKS * ask_every(conf_of(c));
	if (c->cell->active) {
		n = cell_choose_standbys(c->cell, now, conf_of(c)->host,
		    conf_of(c)->dc, &c->term.rec, want);
		term_set_standbys(&c->term, want, n);
	}
	term_tick(&c->term, now);
	follow_term(c, now);
	if (term_may_renew(&c->term, now))
		cell_tick(c->cell, now, term_old_leases_lapsed(&c->term, now),
		    term_may_dispatch(&c->term, now));
	if (c->lease.controller[0] != '\0' &&
	    (c->ask_now || now >= c->lease.next_request))
		ask_lease(c, now);
	if (now >= c->next_view_ask)
		ask_view(c, now);
}

/* Answers a host that asks for its lease. */
static void
on_lease_ask(struct ccell *c, const struct msg *m, usec now)
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
		 * Read the clock once more: a controller paused since `now`
		 * must not give a lease that outlives its own.
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

/* Passes a renewed lease on to the dispatcher. */
static void
pass_lease(struct ccell *c, const Gspar__LeaseGive *give)
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

/* Asks the sender of a message for its whole view, but not all the time. */
static void
ask_view_of(struct ccell *c, const struct msg *m, usec now)
{
	if (now + MS(50) >= c->next_view_ask)
		return;
	c->next_view_ask = now + VIEW_ASK_EVERY / 4;
	send_view_ask(c, m->host, m->conn);
}

/* Takes a view that came, whole or as a difference to the one held. */
static void
on_view(struct ccell *c, const struct msg *m, usec now)
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
		ask_view_of(c, m, now);
	ccell_view(c, whole);
}

/* Takes the answer to an ask. */
static void
on_lease_give(struct ccell *c, const struct msg *m, usec now)
{
	const Gspar__LeaseGive *give = m->frame->lease_give;

	if (!give->given) {
		if (hostlease_hint(&c->lease, give->controller, give->term))
			c->ask_now = 1;
		return;
	}
	if (!hostlease_reply(&c->lease, now, m->host, give->term, give->seq,
		MS(give->lease_ms)))
		return;
	pass_lease(c, give);
	if (give->view > c->view_number)
		ask_view_of(c, m, now);
	cat_differs(c->s, m->host, give->catalogue);
}

/* Answers a holder that asks for a promise. */
static void
on_promise_ask(struct ccell *c, const struct msg *m, usec now)
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

/* Takes a standby's answer. */
static void
on_promise(struct ccell *c, const struct msg *m, usec now)
{
	const Gspar__Promise *p = m->frame->promise;
	struct member who;

	if (p->seq > c->promise_seq || c->promise_seq - p->seq >= ASKED_KEPT)
		return;
	memset(&who, 0, sizeof(who));
	name_copy(who.host, sizeof(who.host), m->host);
	who.boot = p->boot;
	term_promise_reply(&c->term, now, &who, p->term,
	    p->yes ? PROMISE_LEASE : PROMISE_NONE,
	    c->asked_at[p->seq % ASKED_KEPT]);
}

/* Answers whoever asks for a newer view. */
static void
on_view_ask(struct ccell *c, const struct msg *m)
{
	const Gspar__ViewAsk *ask = m->frame->view_ask;
	Gspar__Frame f = GSPAR__FRAME__INIT;

	if (c->view == NULL || (ask->term << 32 | ask->seq) >= c->view_number)
		return;
	f.body_case = GSPAR__FRAME__BODY_VIEW;
	f.view = c->view->p;
	send_frame(c->s->kernel, m->host, m->conn, &f);
}

/* Takes a frame for this cell. */
void
ccell_frame(struct ccell *c, const struct msg *m, usec now)
{
	switch (m->frame->body_case) {
	case GSPAR__FRAME__BODY_LEASE_ASK:
		on_lease_ask(c, m, now);
		break;
	case GSPAR__FRAME__BODY_LEASE_GIVE:
		on_lease_give(c, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		on_promise_ask(c, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE:
		on_promise(c, m, now);
		break;
	case GSPAR__FRAME__BODY_VIEW:
		on_view(c, m, now);
		break;
	case GSPAR__FRAME__BODY_VIEW_ASK:
		on_view_ask(c, m);
		break;
	default:
		break;
	}
}
