/* The service "router": sends each request to the dispatcher of its key. */
#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>

#include "call.h"
#include "gspard.h"
#include "route.h"
#include "shard.h"
#include "view.h"

#define TICK_INTERVAL MS(10)
#define IDLE_WAIT MS(200)
/* Delay between attempts of a held request, unless a view arrives first. */
#define HOLD_RETRY_DELAY MS(20)
/* Interval between checks whether the caller has closed its connection. */
#define CALLER_CHECK_INTERVAL MS(50)
/* Retries allowed for each request, and in a burst. */
#define RETRY_RATIO 0.1
#define RETRY_BURST 20
/* The dispatcher's deadline is earlier than the router's by this. */
#define DEADLINE_MARGIN_MS 5
/* Callers are accepted after this even if views are missing. */
#define READY_TIMEOUT MS(3000)
#define VIEWS_MAX 32

/* A call that awaits its answer. */
struct pending {
	struct pending *next;
	struct pending **link;
	uint64_t corr; /* correlation id of the current attempt */
	struct call *call;
	char host[NAME_MAX_GS];
	char cell[CELL_NAME_MAX];
	struct route_attempt try;
	int sent; /* awaits the dispatcher's answer */
	int held; /* awaits a dispatcher for its key */
	usec next_attempt;
	usec next_caller_check; /* whether its caller is still connected */
};

struct router {
	apr_pool_t *pool;
	apr_hash_t *by_corr;
	struct pending *calls;
	uint64_t last_corr;
	struct shared *catalogue;
	struct shared *views[VIEWS_MAX];
	int nviews;
	struct budget budget;
	usec catalogue_at; /* when the first catalogue was seen */
	int ready;	   /* the door has been set to accept callers */
	int stop;
};

/* Returns the catalogue entry of a service, or NULL. */
static const struct entry *
service_entry(const struct router *r, const char *service)
{
	const struct catalogue *cat;
	int i;

	if (r->catalogue == NULL)
		return (NULL);
	cat = r->catalogue->p;
	for (i = 0; i < cat->n; i++) {
		if (strcmp(cat->entries[i]->name, service) == 0)
			return (cat->entries[i]);
	}
	return (NULL);
}

/* Returns the view of a cell, or NULL. */
static const Gspar__View *
cell_view(const struct router *r, const char *cell)
{
	const Gspar__View *v;
	int i;

	for (i = 0; i < r->nviews; i++) {
		v = r->views[i]->p;
		if (strcmp(v->cell, cell) == 0)
			return (v);
	}
	return (NULL);
}

/* Returns the host that dispatches for the owner of a shard, or NULL. */
static const char *
shard_dispatcher(const Gspar__View *v, const char *service, uint32_t n)
{
	const char *target = view_owner(view_service(v, service), n);

	return (target == NULL ? NULL : view_dispatcher(v, target));
}

/* Ends a pending call whose answer is complete. */
static void
finish(struct router *r, struct pending *p)
{
	apr_hash_set(r->by_corr, &p->corr, sizeof(p->corr), NULL);
	*p->link = p->next;
	if (p->next != NULL)
		p->next->link = p->link;
	call_end(p->call);
	free(p);
}

/* Ends a pending call with a result code of this host. */
static void
finish_error(struct router *r, struct pending *p, int code, int outcome,
    uint32_t retry_ms)
{
	struct answer *a = &p->call->answer;

	a->code = code;
	a->outcome = outcome;
	a->retry_ms = retry_ms;
	finish(r, p);
}

/* Gives a pending call a new correlation id; answers to the old are ignored. */
static void
assign_corr(struct router *r, struct pending *p)
{
	if (p->corr != 0)
		apr_hash_set(r->by_corr, &p->corr, sizeof(p->corr), NULL);
	p->corr = ++r->last_corr;
	apr_hash_set(r->by_corr, &p->corr, sizeof(p->corr), p);
}

/* Sends a request to its dispatcher. */
static void
send_request(struct service *s, struct pending *p, uint32_t shard, usec now)
{
	const struct call *c = p->call;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Request q = GSPAR__REQUEST__INIT;

	q.corr = p->corr;
	q.service = (char *)c->service;
	q.key = (char *)c->key;
	q.shard = shard;
	q.method = (char *)c->method;
	q.rest = (char *)c->rest;
	q.idkey = (char *)c->idkey;
	q.caller = (char *)c->caller;
	q.left_ms = (uint32_t)((p->try.deadline - now) / 1000);
	/*
	 * The dispatcher knows whether the request ran, so its deadline is to
	 * expire first.
	 */
	if (q.left_ms > 4 * DEADLINE_MARGIN_MS)
		q.left_ms -= DEADLINE_MARGIN_MS;
	q.body.data = (uint8_t *)c->body.p;
	q.body.len = c->body.n;
	q.cell = p->cell;
	q.ticket = c->ticket;
	q.type = (char *)c->type;
	f.body_case = GSPAR__FRAME__BODY_REQUEST;
	f.request = &q;
	p->sent = 1;
	p->held = 0;
	p->try.attempts++;
	if (strcmp(p->host, kernel_conf(s->kernel)->host) != 0)
		count_add(C_RELAYED, 1);
	send_frame(s->kernel, p->host, 0, &f);
}

/* Holds a request whose key has no dispatcher at the moment. */
static void
hold(struct pending *p, usec now)
{
	if (p->try.held_since == 0) {
		p->try.held_since = now;
		count_add(C_PARKED, 1);
	}
	p->held = 1;
	p->sent = 0;
	p->next_attempt = now + HOLD_RETRY_DELAY;
}

/* Ends, retries or holds a call after a failed attempt. */
static void attempt_failed(struct service *, struct pending *, int code,
    int outcome, uint32_t retry_ms, usec now);

/* Finds the dispatcher of a request's key and sends the request to it. */
static void
attempt(struct service *s, struct pending *p, usec now)
{
	struct router *r = s->state;
	const struct entry *e = service_entry(r, p->call->service);
	const struct cell_conf *cc;
	const Gspar__View *v;
	const char *host;
	uint32_t shard;

	if (e == NULL) {
		finish_error(r, p, GS_NO_SERVICE, OUT_NOT_RUN, 0);
		return;
	}
	shard =
	    shard_of(e->name, p->call->key, strlen(p->call->key), e->shards);
	cc = entry_cell(e, shard);
	name_copy(p->cell, sizeof(p->cell), cc->name);
	v = cell_view(r, cc->name);
	host =
	    v == NULL ? NULL : shard_dispatcher(v, e->name, shard - cc->first);
	if (host == NULL) {
		attempt_failed(
		    s, p, GS_MOVED, OUT_NOT_RUN, RETRY_DEFAULT_MS, now);
		return;
	}
	name_copy(p->host, sizeof(p->host), host);
	assign_corr(r, p);
	send_request(s, p, shard, now);
}

static void
attempt_failed(struct service *s, struct pending *p, int code, int outcome,
    uint32_t retry_ms, usec now)
{
	struct router *r = s->state;

	switch (route_decide(&p->try, code, outcome, now, &r->budget)) {
	case ROUTE_HOLD:
		hold(p, now);
		return;
	case ROUTE_RETRY:
		count_add(C_RETRIES, 1);
		attempt(s, p, now);
		return;
	case ROUTE_END:
		break;
	}
	if (code == GS_MOVED) {
		code = GS_NO_OWNER;
		retry_ms = RETRY_DEFAULT_MS;
	}
	finish_error(r, p, code, outcome, retry_ms);
}

/* Handles a call from the door. */
static void
handle_call(struct service *s, struct call *c, usec now)
{
	struct router *r = s->state;
	const struct entry *e = service_entry(r, c->service);
	struct pending *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL) {
		c->answer.code = GS_NOMEM;
		c->answer.outcome = OUT_NOT_RUN;
		call_end(c);
		return;
	}
	p->call = c;
	p->try.idempotent = c->ticket || (e != NULL && e->class->idempotent);
	p->try.deadline = now + MS(c->left_ms);
	p->next_caller_check = now + CALLER_CHECK_INTERVAL;
	p->next = r->calls;
	p->link = &r->calls;
	if (p->next != NULL)
		p->next->link = &p->next;
	r->calls = p;
	budget_deposit(&r->budget);
	attempt(s, p, now);
}

/* Handles an answer from a dispatcher. */
static void
handle_answer(struct service *s, const struct msg *m, usec now)
{
	struct router *r = s->state;
	Gspar__Answer *ans = m->frame->answer;
	struct pending *p;
	struct answer *a;

	p = apr_hash_get(r->by_corr, &ans->corr, sizeof(ans->corr));
	/*
	 * A late or duplicate answer, or one from another host, is dropped:
	 * under a reused correlation id it would reach the wrong caller.
	 */
	if (p == NULL || !p->sent || m->conn != 0 ||
	    strcmp(p->host, m->host) != 0) {
		count_add(C_ANSWER_LATE, 1);
		return;
	}
	if (ans->code != GS_OK) {
		attempt_failed(s, p, (int)ans->code, (int)ans->outcome,
		    ans->retry_ms, now);
		return;
	}
	a = &p->call->answer;
	a->code = GS_OK;
	a->outcome = OUT_RAN;
	a->status = (int)ans->status;
	a->fence = ans->fence;
	name_copy(a->target, sizeof(a->target), ans->target);
	str_set(&a->type, ans->type, strlen(ans->type));
	str_set(&a->body, ans->body.data, ans->body.len);
	finish(r, p);
}

/* Fails the attempts sent to a host, after the connection to it was lost. */
static void
handle_peer_down(struct service *s, const char *host, usec now)
{
	struct router *r = s->state;
	struct pending *p, *next;

	for (p = r->calls; p != NULL; p = next) {
		next = p->next;
		if (p->sent && strcmp(p->host, host) == 0)
			attempt_failed(s, p, GS_PEER_LOST, OUT_UNKNOWN, 0, now);
	}
}

/* Handles a request that was never sent, and so certainly has not run. */
static void
handle_unsent(struct service *s, uint64_t corr, usec now)
{
	struct router *r = s->state;
	struct pending *p;

	p = apr_hash_get(r->by_corr, &corr, sizeof(corr));
	if (p != NULL && p->sent)
		attempt_failed(
		    s, p, GS_NO_OWNER, OUT_NOT_RUN, RETRY_DEFAULT_MS, now);
}

/* Stores a cell's view, and sends the held requests of the cell. */
static void
handle_view(struct service *s, struct msg *m, usec now)
{
	struct router *r = s->state;
	struct shared *sh = m->data;
	const Gspar__View *v = sh->p, *old;
	struct pending *p, *next;
	int i;

	for (i = 0; i < r->nviews; i++) {
		old = r->views[i]->p;
		if (strcmp(old->cell, v->cell) == 0)
			break;
	}
	if (i == VIEWS_MAX)
		return;
	if (i == r->nviews)
		r->nviews++;
	msg_take_snapshot(m, &r->views[i]);
	for (p = r->calls; p != NULL; p = next) {
		next = p->next;
		if (p->held && strcmp(p->cell, v->cell) == 0)
			attempt(s, p, now);
	}
}

/* Asks the dispatcher to cancel a request. */
static void
send_cancel(struct service *s, const struct pending *p)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Cancel c = GSPAR__CANCEL__INIT;

	c.corr = p->corr;
	f.body_case = GSPAR__FRAME__BODY_CANCEL;
	f.cancel = &c;
	send_frame(s->kernel, p->host, 0, &f);
}

/* Checks the deadline and the caller of each call, and retries held ones. */
static void
tick(struct service *s, usec now)
{
	struct router *r = s->state;
	struct pending *p, *next;

	for (p = r->calls; p != NULL; p = next) {
		next = p->next;
		if (now >= p->try.deadline) {
			if (p->sent)
				send_cancel(s, p);
			finish_error(r, p, p->sent ? GS_DEADLINE : GS_TOO_LATE,
			    p->sent ? OUT_UNKNOWN : OUT_NOT_RUN,
			    RETRY_DEFAULT_MS);
		} else if (now >= p->next_caller_check) {
			p->next_caller_check = now + CALLER_CHECK_INTERVAL;
			if (call_abandoned(p->call)) {
				if (p->sent)
					send_cancel(s, p);
				finish_error(
				    r, p, GS_CANCELLED, OUT_UNKNOWN, 0);
			}
		} else if (p->held && now >= p->next_attempt)
			attempt(s, p, now);
	}
}

/* Returns true if each cell of the catalogue has a view. */
static int
has_all_views(const struct router *r)
{
	const struct catalogue *cat = r->catalogue->p;
	int i, k;

	for (i = 0; i < cat->n; i++) {
		for (k = 0; k < cat->entries[i]->ncells; k++) {
			if (cell_view(r, cat->entries[i]->cells[k].name) ==
			    NULL)
				return (0);
		}
	}
	return (cat->n > 0);
}

/*
 * Lets the door accept callers once all cells have a view, or
 * READY_TIMEOUT after the catalogue arrived: a cell that cannot be reached
 * must not keep this host from serving the others.
 */
static void
check_ready(struct service *s, usec now)
{
	struct router *r = s->state;

	if (r->ready || r->catalogue == NULL)
		return;
	if (r->catalogue_at == 0)
		r->catalogue_at = now;
	if (!has_all_views(r) && now - r->catalogue_at < READY_TIMEOUT)
		return;
	r->ready = msg_post(s->kernel, "door", MSG_READY, NULL, NULL) == 0;
}

/* Handles one message. */
static void
handle_message(struct service *s, struct msg *m, usec now)
{
	struct router *r = s->state;

	switch (m->kind) {
	case MSG_CALL:
		handle_call(s, m->data, now);
		m->data = NULL;
		break;
	case MSG_FRAME:
		handle_answer(s, m, now);
		break;
	case MSG_PEER_DOWN:
		if (m->conn == 0)
			handle_peer_down(s, m->host, now);
		break;
	case MSG_REQUEST_UNSENT:
		handle_unsent(s, m->corr, now);
		break;
	case MSG_VIEW:
		handle_view(s, m, now);
		break;
	case MSG_CATALOGUE:
		msg_take_snapshot(m, &r->catalogue);
		break;
	case MSG_QUIT:
		r->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* The service's thread. */
static void
router_run(struct service *s)
{
	struct router *r = s->state;
	struct msg *m;
	usec now, ticked = 0;

	while (!r->stop) {
		m = ring_wait(
		    s->in, r->calls != NULL ? TICK_INTERVAL : IDLE_WAIT);
		now = clock_mono();
		if (m != NULL)
			handle_message(s, m, now);
		if (now - ticked >= TICK_INTERVAL) {
			ticked = now;
			tick(s, now);
			check_ready(s, now);
		}
	}
	while (r->calls != NULL)
		finish_error(r, r->calls, GS_STOPPING,
		    r->calls->sent ? OUT_UNKNOWN : OUT_NOT_RUN,
		    RETRY_DEFAULT_MS);
}

/* Prepares the service. */
static int
router_open(struct service *s)
{
	struct router *r;

	r = calloc(1, sizeof(*r));
	if (r == NULL || apr_pool_create(&r->pool, NULL) != APR_SUCCESS) {
		free(r);
		return (-1);
	}
	r->by_corr = apr_hash_make(r->pool);
	/* Correlation ids of an earlier process of this host are not reused. */
	r->last_corr = kernel_boot(s->kernel) & ~0xffffffffULL;
	budget_init(&r->budget, RETRY_RATIO, RETRY_BURST);
	s->state = r;
	return (0);
}

/* Frees the service's state. */
static void
router_close(struct service *s)
{
	struct router *r = s->state;
	int i;

	for (i = 0; i < r->nviews; i++)
		shared_unref(r->views[i]);
	shared_unref(r->catalogue);
	apr_pool_destroy(r->pool);
	free(r);
}

const struct service_ops router_service = {
    "router", 16384, router_open, router_run, router_close};
