/* The control service: its messages, the list of hosts, stopping. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "view.h"

#define TICK_US MS(20)
#define HOSTS_EVERY MS(10000)
#define HOSTS_RETRY MS(300)

/* A cell by name, or NULL. */
struct ccell *
ccell_find(struct control *c, const char *name)
{
	int i;

	for (i = 0; i < c->ncells; i++) {
		if (strcmp(c->cells[i]->name, name) == 0)
			return (c->cells[i]);
	}
	return (NULL);
}

/* Frees a list of hosts. */
static void
free_peers(void *arg)
{
	struct peers *l = arg;

	free(l->list);
	free(l);
}

/* Puts a list of hosts in force here and in the peer service. */
static void
set_peers(struct service *s, struct peers *l)
{
	struct control *c = s->state;

	shared_unref(c->peers);
	c->peers = shared_new(l, free_peers);
	msg_post(
	    s->kernel, "peer", MSG_PEERS, shared_ref(c->peers), shared_unref);
}

/*
 * Reads the platform's list of hosts: a line each with name, data centre,
 * peer address, admin address and "live" or "leaving".
 */
static void
read_hosts(struct service *s, const struct str *body)
{
	struct peers *l;
	struct peer_addr *p;
	char *line, *rest, state[16];

	if (body->p == NULL)
		return;
	l = calloc(1, sizeof(*l));
	for (line = strtok_r(body->p, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		p = realloc(l->list, (size_t)(l->n + 1) * sizeof(*p));
		if (p == NULL)
			break;
		l->list = p;
		p = &l->list[l->n];
		if (sscanf(line, "%63s %63s %63s %63s %15s", p->host, p->dc,
			p->addr, p->admin, state) != 5)
			continue;
		p->leaving = strcmp(state, "leaving") == 0;
		l->n++;
	}
	if (l->n == 0)
		free_peers(l);
	else
		set_peers(s, l);
}

/*
 * Learns a host's address from a view: a new host may be dispatching before
 * the platform's list, which lags, shows it here.
 */
static void
learn_host(struct service *s, const char *host, const char *addr)
{
	struct control *c = s->state;
	const struct peers *old = c->peers == NULL ? NULL : c->peers->p;
	struct peers *l;
	int i, n = old == NULL ? 0 : old->n;

	if (host[0] == '\0' || addr[0] == '\0')
		return;
	for (i = 0; i < n; i++) {
		if (strcmp(old->list[i].host, host) != 0)
			continue;
		if (strcmp(old->list[i].addr, addr) == 0)
			return;
		break;
	}
	l = calloc(1, sizeof(*l));
	l->list = calloc((size_t)n + 1, sizeof(*l->list));
	if (n > 0)
		memcpy(l->list, old->list, (size_t)n * sizeof(*l->list));
	l->n = i == n ? n + 1 : n;
	name_copy(l->list[i].host, NAME_MAX_GS, host);
	name_copy(l->list[i].addr, ADDR_MAX_GS, addr);
	set_peers(s, l);
}

/* Frees a view held here. */
static void
free_view(void *arg)
{
	gspar__view__free_unpacked(arg, NULL);
}

/*
 * True where a view names this host for a target that it does not hold yet.
 * Routers already send here: waiting for the next ask in turn would refuse
 * them for a quarter of a lease.
 */
static int
has_new_duty(const struct ccell *c, const Gspar__View *v)
{
	const char *self = kernel_conf(c->s->kernel)->host;
	size_t i;

	for (i = 0; i < v->n_dispatch; i++) {
		if (strcmp(v->dispatch[i]->host, self) == 0 &&
		    (c->report == NULL ||
			!lease_ask_has_target(
			    c->report, v->dispatch[i]->target)))
			return (1);
	}
	return (0);
}

/*
 * Takes a view over, which is newer than the one held or NULL, and passes it to
 * router and dispatcher.
 */
void
ccell_view(struct ccell *c, Gspar__View *v)
{
	size_t i;

	if (v == NULL)
		return;
	shared_unref(c->view);
	c->view = shared_new(v, free_view);
	c->view_number = view_number(v);
	if (hostlease_hint(&c->lease, v->controller, v->term) ||
	    has_new_duty(c, v))
		c->ask_now = 1;
	learn_host(c->s, v->controller, v->controller_addr);
	for (i = 0; i < v->n_dispatch; i++)
		learn_host(c->s, v->dispatch[i]->host, v->dispatch[i]->addr);
	msg_post(c->s->kernel, "router", MSG_VIEW, shared_ref(c->view),
	    shared_unref);
	msg_post(c->s->kernel, "dispatch", MSG_VIEW, shared_ref(c->view),
	    shared_unref);
}

/* The cell that a frame is about, or NULL. */
static struct ccell *
frame_cell(struct control *c, const Gspar__Frame *f)
{
	switch (f->body_case) {
	case GSPAR__FRAME__BODY_LEASE_ASK:
		return (ccell_find(c, f->lease_ask->cell));
	case GSPAR__FRAME__BODY_LEASE_GIVE:
		return (ccell_find(c, f->lease_give->cell));
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		return (ccell_find(c, f->promise_ask->cell));
	case GSPAR__FRAME__BODY_PROMISE:
		return (ccell_find(c, f->promise->cell));
	case GSPAR__FRAME__BODY_VIEW:
		return (ccell_find(c, f->view->cell));
	case GSPAR__FRAME__BODY_VIEW_ASK:
		return (ccell_find(c, f->view_ask->cell));
	default:
		return (NULL);
	}
}

/* Takes a frame from a peer. */
static void
take_frame(struct service *s, const struct msg *m, usec now)
{
	struct ccell *cell;

	if (m->frame->body_case == GSPAR__FRAME__BODY_CATALOGUE_ASK)
		cat_asked(s, m);
	else if (m->frame->body_case == GSPAR__FRAME__BODY_CATALOGUE_ENTRY)
		cat_entry(s, m->frame->catalogue_entry, now);
	else if ((cell = frame_cell(s->state, m->frame)) != NULL)
		ccell_frame(cell, m, now);
}

/* Takes a platform call's outcome. */
static void
take_stored(struct service *s, struct store *st, usec now)
{
	struct control *c = s->state;
	struct ccell *cell;
	char name[CELL_NAME_MAX], word[16];

	if (st->op == STORE_HOSTS) {
		c->hosts_open = 0;
		if (st->status == 200)
			read_hosts(s, &st->body);
		c->next_hosts = now +
		    (c->peers == NULL ? HOSTS_RETRY
				      : HOSTS_EVERY + now % MS(2000));
		return;
	}
	if (sscanf(st->tag, "%15s %255s", word, name) == 2 &&
	    strcmp(word, "cat") != 0) {
		cell = ccell_find(c, name);
		if (cell != NULL)
			ccell_stored(cell, st, now);
		return;
	}
	cat_stored(s, st, now);
}

/*
 * Carries loads that were not told yet over into a newer report.  They come
 * once a second and asks go out less often than reports come in: some would
 * never reach the controller, which would balance by what is left.
 */
static void
keep_loads(Gspar__LeaseAsk *old, Gspar__LeaseAsk *new)
{
	Gspar__TargetState *a, *b;
	size_t i, k;

	for (i = 0; i < old->n_targets; i++) {
		a = old->targets[i];
		for (k = 0; a->has_loads && k < new->n_targets; k++) {
			b = new->targets[k];
			if (b->has_loads || strcmp(a->target, b->target) != 0)
				continue;
			b->has_loads = 1;
			b->loads = a->loads;
			b->n_loads = a->n_loads;
			b->rest_busy = a->rest_busy;
			b->demand = a->demand;
			a->loads = NULL;
			a->n_loads = 0;
		}
	}
}

/* Takes the dispatcher's report; a change is told to the controller soon. */
static void
take_report(struct control *c, struct msg *m)
{
	struct report *r = m->data;
	struct ccell *cell = ccell_find(c, r->ask->cell);

	if (cell == NULL)
		return;
	if (cell->report != NULL) {
		keep_loads(cell->report, r->ask);
		gspar__lease_ask__free_unpacked(cell->report, NULL);
	}
	cell->report = r->ask;
	r->ask = NULL;
	if (r->urgent)
		cell->ask_now = 1;
}

/* Takes one message. */
static void
take(struct service *s, struct msg *m, usec now)
{
	struct control *c = s->state;

	switch (m->kind) {
	case MSG_FRAME:
		take_frame(s, m, now);
		break;
	case MSG_STORED:
		take_stored(s, m->data, now);
		break;
	case MSG_TARGETS:
		take_report(c, m);
		break;
	case MSG_STATUS:
		question_answer(s, m->data, now);
		break;
	case MSG_STOP:
		stop_begin(c, now);
		break;
	case MSG_QUIT:
		c->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* Asks for the list of hosts when it is due. */
static void
ask_hosts(struct service *s, usec now)
{
	struct control *c = s->state;

	if (c->hosts_open || now < c->next_hosts)
		return;
	c->hosts_open = 1;
	store_send(s->kernel, store_new(STORE_HOSTS, "control", ""));
}

/* The thread. */
static void
control_run(struct service *s)
{
	struct control *c = s->state;
	struct msg *m;
	usec now, ticked = 0;
	int i;

	while (!c->stop) {
		m = ring_wait(s->in, TICK_US);
		now = clock_mono();
		if (m != NULL)
			take(s, m, now);
		if (m != NULL && now - ticked < TICK_US)
			continue;
		ticked = now;
		ask_hosts(s, now);
		cat_tick(s, now);
		for (i = 0; i < c->ncells; i++)
			ccell_tick(c->cells[i], now);
		stop_tick(s, now);
	}
}

/* Makes the service ready. */
static int
control_open(struct service *s)
{
	s->state = calloc(1, sizeof(struct control));
	return (s->state == NULL ? -1 : 0);
}

/* Frees all. */
static void
control_close(struct service *s)
{
	struct control *c = s->state;
	int i;

	for (i = 0; i < c->ncells; i++)
		ccell_free(c->cells[i]);
	cat_free(c);
	shared_unref(c->peers);
	free(c);
}

const struct service_ops control_service = {
    "control", 16384, control_open, control_run, control_close};
