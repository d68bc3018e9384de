/* Requests at the dispatcher: admission, queue, answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call.h"
#include "dispatch.h"
#include "held.h"
#include "view.h"

/* Retry delay after a request over the target's rate limit, milliseconds. */
#define OVER_LIMIT_RETRY_MS 500
/* In a class of long work, a request with a deadline of at most this counts as
 * short: an item description as opposed to the export of a whole register. */
#define SHORT_DEADLINE_MAX_MS 5000

/* Sends an answer to one requester. */
void
run_answer(struct service *s, const struct requester *a, Gspar__Answer *ans)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;

	ans->corr = a->corr;
	f.body_case = GSPAR__FRAME__BODY_ANSWER;
	f.answer = ans;
	send_frame(s->kernel, a->host, a->conn, &f);
}

/* Answers a requester with a result code of this host. */
static void
refuse(struct service *s, const struct requester *a, int code, int outcome,
    uint32_t retry_ms)
{
	Gspar__Answer ans = GSPAR__ANSWER__INIT;

	ans.code = (uint32_t)code;
	ans.outcome = (uint32_t)outcome;
	ans.retry_ms = retry_ms;
	run_answer(s, a, &ans);
}

/* Frees a run without sending an answer. */
void
run_free(struct service *s, struct run *r)
{
	struct dispatch *d = s->state;

	if (r->link != NULL) {
		*r->link = r->next;
		if (r->next != NULL)
			r->next->link = r->link;
	}
	if (r->easy != NULL) {
		curl_multi_remove_handle(d->multi, r->easy);
		curl_easy_cleanup(r->easy);
	}
	curl_slist_free_all(r->headers);
	str_free(&r->body);
	held_sub(r->held);
	frame_free(r->frame);
	free(r);
}

/* Answers all requesters of a run with a result code, and frees the run. */
void
run_fail(
    struct service *s, struct run *r, int code, int outcome, uint32_t retry_ms)
{
	struct target *t = r->target;
	struct bytes *keep;
	int i;

	if (r->ticket != 0 && outcome == OUT_NOT_RUN)
		once_reset(&t->once, r->ticket);
	else if (r->ticket != 0) {
		/* Recorded as unknown: a repeat must not run it again. */
		keep = calloc(1, sizeof(*keep));
		once_finish(&t->once, r->ticket, keep);
	}
	for (i = 0; i < r->nrequesters; i++)
		refuse(s, &r->requesters[i], code, outcome, retry_ms);
	run_free(s, r);
}

/* Returns the target that owns a shard in this host's view, or NULL. */
static struct target *
shard_owner(
    struct dispatch *d, const char *cell, const char *service, uint32_t shard)
{
	const char *name;
	struct dispatch_cell *c;
	struct target *t;

	c = dispatch_cell(d, cell);
	if (c == NULL || c->view == NULL)
		return (NULL);
	for (t = d->targets; t != NULL; t = t->next) {
		if (strcmp(t->service, service) == 0 &&
		    strcmp(t->cell, cell) == 0)
			break;
	}
	if (t == NULL)
		return (NULL);
	name = view_owner(view_service(c->view->p, service), shard - t->first);
	return (name == NULL ? NULL : target_find(d, name));
}

/* Answers a request for a ticket. */
static void
issue_ticket(struct service *s, struct target *t, const struct requester *a)
{
	Gspar__Answer ans = GSPAR__ANSWER__INIT;
	char ticket[TICKET_TEXT], text[TICKET_TEXT + 32];
	int n;

	once_ticket(&t->once, ticket);
	n = snprintf(text, sizeof(text), "{\"ticket\": \"%s\"}\n", ticket);
	ans.status = 200;
	ans.outcome = OUT_RAN;
	ans.type = (char *)"application/json";
	ans.body.data = (uint8_t *)text;
	ans.body.len = (size_t)n;
	run_answer(s, a, &ans);
}

/* Answers a repeated request with the answer to the first. */
static void
replay(struct service *s, const struct requester *a, const struct bytes *saved)
{
	Gspar__Answer *ans;

	count_add(C_JOINED, 1);
	if (saved == NULL || saved->p == NULL) {
		refuse(s, a, GS_OLD_TICKET, OUT_UNKNOWN, 0);
		return;
	}
	ans = gspar__answer__unpack(NULL, saved->n, saved->p);
	if (ans == NULL)
		return;
	run_answer(s, a, ans);
	gspar__answer__free_unpacked(ans, NULL);
}

/*
 * Looks up a request's ticket.  Returns true if the request is new and must
 * run; otherwise its requester has been answered, or added to the first run.
 */
static int
check_ticket(struct service *s, struct target *t, const Gspar__Request *q,
    const struct requester *a, uint64_t *number)
{
	struct run *r;
	void *value = NULL;

	switch (once_check(&t->once, q->idkey, number, &value)) {
	case ONCE_RUN:
		return (1);
	case ONCE_JOIN:
		r = value;
		count_add(C_JOINED, 1);
		if (r->nrequesters < JOINED_MAX)
			r->requesters[r->nrequesters++] = *a;
		else
			refuse(s, a, GS_BUSY, OUT_UNKNOWN, 100);
		return (0);
	case ONCE_REPLAY:
		replay(s, a, value);
		return (0);
	case ONCE_UNKNOWN:
		refuse(s, a, GS_OLD_TICKET, OUT_UNKNOWN, 0);
		return (0);
	case ONCE_FULL:
		refuse(s, a, GS_BUSY, OUT_NOT_RUN, 100);
		return (0);
	case ONCE_INVALID:
		break;
	}
	refuse(s, a, GS_BAD_TICKET, OUT_NOT_RUN, 0);
	return (0);
}

/* Hashes a caller's name for fair queueing; never 0. */
static uint64_t
caller_hash(const char *name)
{
	uint64_t h = 1469598103934665603u;

	for (; *name != '\0'; name++)
		h = (h ^ (unsigned char)*name) * 1099511628211u;
	return (h | 1);
}

/* Counts the body of a request as held; returns GS_OK, or GS_NO_ROOM if memory
 * is short. */
static int
hold_body(struct service *s, struct run *r, usec now)
{
	r->held = r->frame->request->body.len;
	held_add(r->held);
	if (!held_is_over(r->held))
		return (GS_OK);
	door_make_room(s->kernel, now);
	return (held_is_over(r->held) ? GS_NO_ROOM : GS_OK);
}

/* Queues a request for its target, or refuses it.  Takes the frame over. */
static void
enqueue(struct service *s, struct target *t, Gspar__Frame *f,
    const struct requester *a, uint64_t ticket, usec now)
{
	const Gspar__Request *q = f->request;
	struct run *r;
	usec retry = 0;
	int code;

	r = calloc(1, sizeof(*r));
	if (r == NULL) {
		refuse(s, a, GS_NOMEM, OUT_NOT_RUN, 0);
		frame_free(f);
		return;
	}
	r->target = t;
	r->frame = f;
	r->requesters[0] = *a;
	r->nrequesters = 1;
	r->arrived = now;
	r->job.user_data = r;
	r->job.deadline = now + MS(q->left_ms);
	r->job.caller = caller_hash(q->caller);
	r->job.is_long =
	    t->class->is_long && q->left_ms > SHORT_DEADLINE_MAX_MS;
	r->job.shard = (int)(q->shard - t->first);
	code = hold_body(s, r, now);
	if (code == GS_OK)
		code = queue_add(&t->queue, &r->job, now, &retry);
	if (code != GS_OK) {
		count_add(C_REFUSED_EARLY, 1);
		refuse(s, a, code, OUT_NOT_RUN, (uint32_t)(retry / 1000));
		run_free(s, r);
		return;
	}
	count_add(C_QUEUED, 1);
	if (ticket != 0) {
		r->ticket = ticket;
		once_begin(&t->once, ticket, r);
	}
	run_send_queued(s, t, now);
}

/* Handles a request frame, and takes the frame over. */
void
run_handle_request(
    struct service *s, const struct msg *m, Gspar__Frame *f, usec now)
{
	struct dispatch *d = s->state;
	const Gspar__Request *q = f->request;
	struct dispatch_cell *c;
	struct target *t;
	struct requester a;
	uint64_t ticket = 0;

	name_copy(a.host, sizeof(a.host), m->host);
	a.conn = m->conn;
	a.corr = q->corr;
	c = dispatch_cell(d, q->cell);
	t = shard_owner(d, q->cell, q->service, q->shard);
	if (t == NULL || t->handing_over || c->lease_until <= now ||
	    q->shard - t->first >= t->shards ||
	    t->fence[q->shard - t->first] == 0) {
		refuse(s, &a, GS_MOVED, OUT_NOT_RUN, 20);
		goto drop;
	}
	if (t->grant.phase == GRANT_INACTIVE) {
		refuse(s, &a, GS_NO_OWNER, OUT_NOT_RUN, RETRY_DEFAULT_MS);
		goto drop;
	}
	if (q->ticket) {
		issue_ticket(s, t, &a);
		goto drop;
	}
	t->arrived++;
	if (t->limited && !bucket_take(&t->bucket, t->rate / 1000.0, now)) {
		refuse(s, &a, GS_OVER_LIMIT, OUT_NOT_RUN, OVER_LIMIT_RETRY_MS);
		goto drop;
	}
	if (!t->class->idempotent && !check_ticket(s, t, q, &a, &ticket))
		goto drop;
	enqueue(s, t, f, &a, ticket, now);
	return;
drop:
	frame_free(f);
}

/* Returns true if the shard of a job is served, for queue_next(). */
static int
is_served(const struct job *j, void *arg)
{
	const struct target *t = arg;

	return (t->fence[j->shard] != 0 && !t->moving[j->shard] &&
	    !t->excluded[j->shard]);
}

/* Returns true if the shard of a job is no longer this target's. */
static int
is_moved(const struct job *j, void *arg)
{
	const struct target *t = arg;

	return (t->fence[j->shard] == 0);
}

/* Matches any job, for queue_remove(). */
int
run_match_any(const struct job *j, void *arg)
{
	return (1);
}

/*
 * Sends the queued requests that may be sent, and ends those that are too late
 * or whose shard has moved; all of them if the host's lease has lapsed.
 */
void
run_send_queued(struct service *s, struct target *t, usec now)
{
	struct dispatch *d = s->state;
	struct dispatch_cell *c = dispatch_cell(d, t->cell);
	struct job *j;

	while ((j = queue_expired(&t->queue, now)) != NULL)
		run_fail(s, j->user_data, GS_TOO_LATE, OUT_NOT_RUN,
		    RETRY_DEFAULT_MS);
	while ((j = queue_remove(&t->queue, is_moved, t)) != NULL)
		run_fail(s, j->user_data, GS_MOVED, OUT_NOT_RUN, 20);
	while (may_send(s, t, now)) {
		j = queue_next(&t->queue, now, is_served, t);
		if (j == NULL)
			break;
		run_send(s, j->user_data, now);
	}
	if (now >= c->lease_until)
		run_flush(s, t, GS_MOVED, now);
}

/* Ends all queued requests with a result code; those sent go on. */
void
run_flush(struct service *s, struct target *t, int code, usec now)
{
	struct job *j;

	while ((j = queue_remove(&t->queue, run_match_any, NULL)) != NULL)
		run_fail(s, j->user_data, code, OUT_NOT_RUN,
		    code == GS_MOVED ? 20 : RETRY_DEFAULT_MS);
}

/* Removes requesters from a run (corr 0: any); true if none is left. */
static int
remove_requester(struct run *r, const char *host, uint64_t conn, uint64_t corr)
{
	struct requester *a;
	int i;

	for (i = 0; i < r->nrequesters; i++) {
		a = &r->requesters[i];
		if (a->conn != conn || strcmp(a->host, host) != 0 ||
		    (corr != 0 && a->corr != corr))
			continue;
		*a = r->requesters[--r->nrequesters];
		i--;
	}
	return (r->nrequesters == 0);
}

/* The requester that run_cancel() looks for in a queue. */
struct requester_id {
	const char *host;
	uint64_t conn;
	uint64_t corr;
};

/* Returns true if a queued job has lost its last requester. */
static int
remove_job_requester(const struct job *j, void *arg)
{
	struct requester_id *w = arg;

	return (remove_requester(j->user_data, w->host, w->conn, w->corr));
}

/*
 * Cancels a request: removes it from its queue, or cancels it at the target.  A
 * run with a ticket goes on, so that a repeated request finds its answer.
 */
void
run_cancel(
    struct service *s, const char *host, uint64_t conn, uint64_t corr, usec now)
{
	struct dispatch *d = s->state;
	struct requester_id w = {host, conn, corr};
	struct target *t;
	struct run *r;
	struct job *j;

	for (t = d->targets; t != NULL; t = t->next) {
		while ((j = queue_remove(
			    &t->queue, remove_job_requester, &w)) != NULL)
			run_fail(s, j->user_data, GS_CANCELLED, OUT_NOT_RUN, 0);
		for (r = t->runs; r != NULL; r = r->next) {
			if (r->ticket != 0 || r->cancelled ||
			    !remove_requester(r, host, conn, corr))
				continue;
			r->cancelled = 1;
			target_call_cancel(s, t, r->id);
		}
	}
}

/* Cancels all requests that came on a peer's connection that was lost. */
void
run_peer_down(struct service *s, const char *host, uint64_t conn, usec now)
{
	if (conn != 0)
		run_cancel(s, host, conn, 0, now);
}
