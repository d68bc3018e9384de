/* The control service: its thread, its messages and the list of hosts. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "view.h"

#define TICK_INTERVAL MS(20)
#define HOSTS_INTERVAL MS(10000)
#define HOSTS_RETRY_DELAY MS(300)

/* Returns the cell with a name, or NULL. */
struct local_cell *
local_cell_find(struct control *c, const char *name)
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

/* Applies a list of hosts here and in the peer service. */
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
 * Parses the platform's list of hosts.  Each line holds a name, data centre,
 * peer address, admin address and "live" or "leaving".
 */
static void
parse_hosts(struct service *s, const struct str *body)
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
 * Adds a host's address from a view.  A new host may dispatch before it appears
 * in the platform's list, which lags behind.
 */
static void
add_host(struct service *s, const char *host, const char *addr)
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

/* Frees a view. */
static void
free_view(void *arg)
{
	gspar__view__free_unpacked(arg, NULL);
}

/*
 * True if a view assigns this host a target that it does not hold yet.  Routers
 * already send that target's requests here.  If the host waited for its next
 * regular lease request, they would be refused for a quarter of a lease.
 */
static int
has_new_duty(const struct local_cell *c, const Gspar__View *v)
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
 * Adopts a view, which is newer than the current one or NULL, and passes it to
 * the router and the dispatcher.  Takes ownership of v.
 */
void
local_cell_set_view(struct local_cell *c, Gspar__View *v)
{
	size_t i;

	if (v == NULL)
		return;
	shared_unref(c->view);
	c->view = shared_new(v, free_view);
	c->view_number = view_number(v);
	if (hostlease_hint(&c->lease, v->controller, v->term) ||
	    has_new_duty(c, v))
		c->request_now = 1;
	add_host(c->s, v->controller, v->controller_addr);
	for (i = 0; i < v->n_dispatch; i++)
		add_host(c->s, v->dispatch[i]->host, v->dispatch[i]->addr);
	msg_post(c->s->kernel, "router", MSG_VIEW, shared_ref(c->view),
	    shared_unref);
	msg_post(c->s->kernel, "dispatch", MSG_VIEW, shared_ref(c->view),
	    shared_unref);
}

/* Returns the cell that a frame concerns, or NULL. */
static struct local_cell *
frame_cell(struct control *c, const Gspar__Frame *f)
{
	switch (f->body_case) {
	case GSPAR__FRAME__BODY_LEASE_ASK:
		return (local_cell_find(c, f->lease_ask->cell));
	case GSPAR__FRAME__BODY_LEASE_GIVE:
		return (local_cell_find(c, f->lease_give->cell));
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		return (local_cell_find(c, f->promise_ask->cell));
	case GSPAR__FRAME__BODY_PROMISE:
		return (local_cell_find(c, f->promise->cell));
	case GSPAR__FRAME__BODY_VIEW:
		return (local_cell_find(c, f->view->cell));
	case GSPAR__FRAME__BODY_VIEW_ASK:
		return (local_cell_find(c, f->view_ask->cell));
	default:
		return (NULL);
	}
}

/* Handles a frame from a peer. */
static void
handle_frame(struct service *s, const struct msg *m, usec now)
{
	struct local_cell *cell;

	if (m->frame->body_case == GSPAR__FRAME__BODY_CATALOGUE_ASK)
		catalogue_handle_request(s, m);
	else if (m->frame->body_case == GSPAR__FRAME__BODY_CATALOGUE_ENTRY)
		catalogue_handle_entry(s, m->frame->catalogue_entry, now);
	else if ((cell = frame_cell(s->state, m->frame)) != NULL)
		local_cell_handle_frame(cell, m, now);
}

/* Handles the outcome of a store call. */
static void
handle_store_done(struct service *s, struct store *st, usec now)
{
	struct control *c = s->state;
	struct local_cell *cell;
	char name[CELL_NAME_MAX], word[16];

	if (st->op == STORE_HOSTS) {
		c->hosts_pending = 0;
		if (st->status == 200)
			parse_hosts(s, &st->body);
		c->next_hosts_request = now +
		    (c->peers == NULL ? HOSTS_RETRY_DELAY
				      : HOSTS_INTERVAL + now % MS(2000));
		return;
	}
	if (sscanf(st->tag, "%15s %255s", word, name) == 2 &&
	    strcmp(word, "cat") != 0) {
		cell = local_cell_find(c, name);
		if (cell != NULL)
			local_cell_store_done(cell, st, now);
		return;
	}
	catalogue_store_done(s, st, now);
}

/*
 * Moves loads that have not been sent yet into a newer report.  Loads come once
 * a second, and lease requests are sent less often than reports arrive. Without
 * this some loads would never reach the controller, which would balance by the
 * rest.
 */
static void
carry_loads(Gspar__LeaseAsk *old, Gspar__LeaseAsk *new)
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

/* Handles the dispatcher's report; an urgent one is sent without delay. */
static void
handle_report(struct control *c, struct msg *m)
{
	struct report *r = m->data;
	struct local_cell *cell = local_cell_find(c, r->ask->cell);

	if (cell == NULL)
		return;
	if (cell->report != NULL) {
		carry_loads(cell->report, r->ask);
		gspar__lease_ask__free_unpacked(cell->report, NULL);
	}
	cell->report = r->ask;
	r->ask = NULL;
	if (r->urgent)
		cell->request_now = 1;
}

/* Handles one message. */
static void
handle_msg(struct service *s, struct msg *m, usec now)
{
	struct control *c = s->state;

	switch (m->kind) {
	case MSG_FRAME:
		handle_frame(s, m, now);
		break;
	case MSG_STORE_DONE:
		handle_store_done(s, m->data, now);
		break;
	case MSG_REPORT:
		handle_report(c, m);
		break;
	case MSG_QUERY:
		query_answer(s, m->data, now);
		break;
	case MSG_STOP:
		stop_begin(c, now);
		break;
	case MSG_QUIT:
		c->quit = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* Requests the list of hosts when it is due. */
static void
request_hosts(struct service *s, usec now)
{
	struct control *c = s->state;

	if (c->hosts_pending || now < c->next_hosts_request)
		return;
	c->hosts_pending = 1;
	store_send(s->kernel, store_new(STORE_HOSTS, "control", ""));
}

/* The service's thread. */
static void
control_run(struct service *s)
{
	struct control *c = s->state;
	struct msg *m;
	usec now, last_tick = 0;
	int i;

	while (!c->quit) {
		m = ring_wait(s->in, TICK_INTERVAL);
		now = clock_mono();
		if (m != NULL)
			handle_msg(s, m, now);
		if (m != NULL && now - last_tick < TICK_INTERVAL)
			continue;
		last_tick = now;
		request_hosts(s, now);
		catalogue_tick(s, now);
		for (i = 0; i < c->ncells; i++)
			local_cell_tick(c->cells[i], now);
		stop_tick(s, now);
	}
}

/* Allocates the service's state. */
static int
control_open(struct service *s)
{
	s->state = calloc(1, sizeof(struct control));
	return (s->state == NULL ? -1 : 0);
}

/* Frees the service's state. */
static void
control_close(struct service *s)
{
	struct control *c = s->state;
	int i;

	for (i = 0; i < c->ncells; i++)
		local_cell_free(c->cells[i]);
	catalogue_free(c);
	shared_unref(c->peers);
	free(c);
}

const struct service_ops control_service = {
    "control", 16384, control_open, control_run, control_close};
