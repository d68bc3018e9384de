/* Requests at the dispatcher: refuse, queue, send, answer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "dispatch.h"
#include "shard.h"

/* When to come back to a key whose owner was lost, in milliseconds. */
#define LOST_RETRY_MS 1000
/* In a class of long work, what must end within this is taken for short: an
 * item description beside the exports of whole registers. */
#define LONG_AFTER_MS 5000

/* Sends an answer to one asker. */
static void
answer_one(struct service *s, const struct asker *a, Gspar__Answer *ans)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;

	ans->corr = a->corr;
	f.body_case = GSPAR__FRAME__BODY_ANSWER;
	f.answer = ans;
	send_frame(s->kernel, a->host, a->conn, &f);
}

/* Answers with a code of ours. */
static void
refuse(struct service *s, const struct asker *a, int code, int outcome,
    uint32_t retry_ms)
{
	Gspar__Answer ans = GSPAR__ANSWER__INIT;

	ans.code = (uint32_t)code;
	ans.outcome = (uint32_t)outcome;
	ans.retry_ms = retry_ms;
	answer_one(s, a, &ans);
}

/* Frees a run, giving nobody an answer. */
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
	curl_slist_free_all(r->heads);
	str_free(&r->body);
	frame_free(r->frame);
	free(r);
}

/* Answers all who wait for a run with a code of ours, and frees it. */
static void
end_with(
    struct service *s, struct run *r, int code, int outcome, uint32_t retry_ms)
{
	struct target *t = r->target;
	struct bytes *keep;
	int i;

	if (r->ticket != 0 && outcome == OUT_NOT_RUN)
		once_forget(&t->once, r->ticket);
	else if (r->ticket != 0) {
		/* Remembered as unknown: a repeat must not run it again. */
		keep = calloc(1, sizeof(*keep));
		once_ended(&t->once, r->ticket, keep);
	}
	for (i = 0; i < r->naskers; i++)
		refuse(s, &r->askers[i], code, outcome, retry_ms);
	run_free(s, r);
}

/* The target that owns a shard by the view here, or NULL. */
static struct target *
owner_of(
    struct dispatch *d, const char *cell, const char *service, uint32_t shard)
{
	const Gspar__ServiceView *sv;
	const Gspar__View *v;
	struct dcell *c;
	struct target *t;
	uint32_t n, o;
	size_t i;

	c = dcell(d, cell);
	if (c == NULL || c->view == NULL)
		return (NULL);
	v = c->view->p;
	for (i = 0; i < v->n_services; i++) {
		sv = v->services[i];
		if (strcmp(sv->service, service) != 0)
			continue;
		for (t = d->targets; t != NULL; t = t->next) {
			if (strcmp(t->service, service) == 0 &&
			    strcmp(t->cell, cell) == 0)
				break;
		}
		if (t == NULL)
			return (NULL);
		n = shard - t->first;
		if (n >= sv->n_owner || (o = sv->owner[n]) == 0 ||
		    o > sv->n_targets)
			return (NULL);
		return (target_find(d, sv->targets[o - 1]));
	}
	return (NULL);
}

/* Gives a ticket for a key of this target. */
static void
give_ticket(struct service *s, struct target *t, const struct asker *a)
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
	answer_one(s, a, &ans);
}

/* Answers a repeat with what its first request got. */
static void
replay(struct service *s, const struct asker *a, const struct bytes *kept)
{
	Gspar__Answer *ans;

	count_add(C_JOINED, 1);
	if (kept == NULL || kept->p == NULL) {
		refuse(s, a, GS_OLD_TICKET, OUT_UNKNOWN, 0);
		return;
	}
	ans = gspar__answer__unpack(NULL, kept->n, kept->p);
	if (ans == NULL)
		return;
	answer_one(s, a, ans);
	gspar__answer__free_unpacked(ans, NULL);
}

/*
 * Looks the ticket up.  True where the request is to run as new; otherwise
 * its asker has been answered or joined to the first.
 */
static int
first_time(struct service *s, struct target *t, const Gspar__Request *q,
    const struct asker *a, uint64_t *number)
{
	struct run *r;
	void *value = NULL;

	switch (once_ask(&t->once, q->idkey, number, &value)) {
	case ONCE_RUN:
		return (1);
	case ONCE_JOIN:
		r = value;
		count_add(C_JOINED, 1);
		if (r->naskers < MAX_JOINED)
			r->askers[r->naskers++] = *a;
		else
			refuse(s, a, GS_BUSY, OUT_UNKNOWN, 100);
		return (0);
	case ONCE_REPLAY:
		replay(s, a, value);
		return (0);
	case ONCE_STRANGE:
		refuse(s, a, GS_OLD_TICKET, OUT_UNKNOWN, 0);
		return (0);
	case ONCE_FULL:
		refuse(s, a, GS_BUSY, OUT_NOT_RUN, 100);
		return (0);
	case ONCE_BAD:
		break;
	}
	refuse(s, a, GS_BAD_TICKET, OUT_NOT_RUN, 0);
	return (0);
}

/* A number for a caller's name, for fairness. */
static uint64_t
caller_number(const char *name)
{
	uint64_t h = 1469598103934665603u;

	for (; *name != '\0'; name++)
		h = (h ^ (unsigned char)*name) * 1099511628211u;
	return (h | 1);
}

/* Puts a request in its target's queue; it is answered in any case. */
static void
enqueue(struct service *s, struct target *t, Gspar__Frame *f,
    const struct asker *a, uint64_t ticket, usec now)
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
	r->askers[0] = *a;
	r->naskers = 1;
	r->arrived = now;
	r->answer_max = t->answer_max;
	r->job.what = r;
	r->job.deadline = now + MS(q->left_ms);
	r->job.caller = caller_number(q->caller);
	r->job.is_long = t->class->is_long && q->left_ms > LONG_AFTER_MS;
	r->job.shard = (int)(q->shard - t->first);
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
		once_running(&t->once, ticket, r);
	}
	run_pump(s, t, now);
}

/* Takes a request frame; the frame is owned from here on. */
void
run_take(struct service *s, const struct msg *m, Gspar__Frame *f, usec now)
{
	struct dispatch *d = s->state;
	const Gspar__Request *q = f->request;
	struct dcell *c;
	struct target *t;
	struct asker a;
	uint64_t ticket = 0;

	name_copy(a.host, sizeof(a.host), m->host);
	a.conn = m->conn;
	a.corr = q->corr;
	c = dcell(d, q->cell);
	t = owner_of(d, q->cell, q->service, q->shard);
	if (t == NULL || t->dropping || c->lease_until <= now ||
	    q->shard - t->first >= t->shards ||
	    t->fence[q->shard - t->first] == 0) {
		refuse(s, &a, GS_MOVED, OUT_NOT_RUN, 20);
		goto drop;
	}
	if (t->grant.phase == GRANT_DORMANT) {
		refuse(s, &a, GS_NO_OWNER, OUT_NOT_RUN, LOST_RETRY_MS);
		goto drop;
	}
	if (q->ticket) {
		give_ticket(s, t, &a);
		goto drop;
	}
	if (!t->class->idempotent && !first_time(s, t, q, &a, &ticket))
		goto drop;
	enqueue(s, t, f, &a, ticket, now);
	return;
drop:
	frame_free(f);
}

/* Collects the answer's body, up to its limit. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct run *r = arg;

	if (r->body.n + size * n > r->answer_max) {
		r->too_large = 1;
		return (0);
	}
	return (str_add(&r->body, p, size * n) == 0 ? size * n : 0);
}

/* Picks out of the answer's head what matters here. */
static size_t
on_head(char *p, size_t size, size_t n, void *arg)
{
	static const char type[] = "Content-Type:";
	static const char outcome[] = "Gspar-Outcome:";
	struct run *r = arg;
	size_t len = size * n, k = sizeof(type) - 1;

	if (len > k && strncasecmp(p, type, k) == 0) {
		while (k < len && p[k] == ' ')
			k++;
		while (len > k && (p[len - 1] == '\r' || p[len - 1] == '\n'))
			len--;
		if (len - k < sizeof(r->type)) {
			memcpy(r->type, p + k, len - k);
			r->type[len - k] = '\0';
		}
	} else if (len >= sizeof(outcome) - 1 &&
	    strncasecmp(p, outcome, sizeof(outcome) - 1) == 0 &&
	    memmem(p, len, "not_run", 7) != NULL)
		r->refused = 1;
	return (size * n);
}

/* Adds one header of the request to the target. */
static void
head(struct run *r, const char *name, const char *value)
{
	char line[400];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	r->heads = curl_slist_append(r->heads, line);
}

/* Adds one numeric header. */
static void
head_num(struct run *r, const char *name, long long value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", value);
	head(r, name, text);
}

/* Sets the request's headers: who orders, until when, and the caller's. */
static void
set_heads(struct run *r, usec now)
{
	const Gspar__Request *q = r->frame->request;
	const struct target *t = r->target;

	head_num(r, "Gspar-Shard", q->shard);
	head_num(r, "Gspar-Fence", (long long)t->fence[r->job.shard]);
	/* In the target's clock: a request that waited in a frozen target's
	 * socket is then refused instead of run. */
	head_num(r, "Gspar-Deadline",
	    (long long)(t->grant.clock_there + r->job.deadline -
		t->grant.heard));
	head_num(r, "Gspar-Id", (long long)r->id);
	if (q->idkey[0] != '\0')
		head(r, "Idempotency-Key", q->idkey);
	if (q->type[0] != '\0')
		head(r, "Content-Type", q->type);
	head(r, "Expect", "");
	curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->heads);
}

/* Sends a run to its target, or ends it where that cannot be. */
static void
send_run(struct service *s, struct run *r, usec now)
{
	struct dispatch *d = s->state;
	struct target *t = r->target;
	const Gspar__Request *q = r->frame->request;
	char url[2048], *key;

	r->easy = curl_easy_init();
	if (r->easy == NULL) {
		queue_done(&t->queue, &r->job, 0);
		end_with(s, r, GS_NOMEM, OUT_NOT_RUN, 0);
		return;
	}
	r->id = ++d->next_id;
	r->sent = now;
	r->next = t->runs;
	r->link = &t->runs;
	if (r->next != NULL)
		r->next->link = &r->next;
	t->runs = r;
	t->nruns++;
	t->inflight[r->job.shard]++;
	count_add(C_SENT, 1);
	key = curl_easy_escape(r->easy, q->key, 0);
	snprintf(url, sizeof(url), "http://%s/run/%s/%s%s", t->addr, t->service,
	    key, q->rest);
	curl_free(key);
	curl_easy_setopt(r->easy, CURLOPT_URL, url);
	curl_easy_setopt(r->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    r->easy, CURLOPT_USERAGENT, kernel_conf(s->kernel)->host);
	curl_easy_setopt(r->easy, CURLOPT_PRIVATE, r);
	curl_easy_setopt(r->easy, CURLOPT_TIMEOUT_MS,
	    (long)((r->job.deadline - now) / 1000 + 1));
	curl_easy_setopt(r->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(r->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_HEADERFUNCTION, on_head);
	curl_easy_setopt(r->easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_CUSTOMREQUEST, q->method);
	if (strcmp(q->method, "GET") != 0) {
		curl_easy_setopt(
		    r->easy, CURLOPT_POSTFIELDSIZE, (long)q->body.len);
		curl_easy_setopt(r->easy, CURLOPT_POSTFIELDS,
		    q->body.data == NULL ? "" : (char *)q->body.data);
	}
	if (!t->class->idempotent) {
		/*
		 * On a kept connection that dies without an answer the library
		 * sends the request a second time by itself; the target may
		 * have run the first.  A new connection it never repeats on.
		 */
		curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(r->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	set_heads(r, now);
	curl_multi_add_handle(d->multi, r->easy);
}

/* True where a job may be sent now. */
static int
may_start(const struct job *j, void *arg)
{
	const struct target *t = arg;

	return (t->fence[j->shard] != 0 && !t->moving[j->shard] &&
	    !t->left_out[j->shard]);
}

/* True where the shard of a job is no longer this target's. */
static int
moved_away(const struct job *j, void *arg)
{
	const struct target *t = arg;

	return (t->fence[j->shard] == 0);
}

/* Any job. */
static int
any_job(const struct job *j, void *arg)
{
	return (1);
}

/* Starts what may start, and ends what has no more hope. */
void
run_pump(struct service *s, struct target *t, usec now)
{
	struct dispatch *d = s->state;
	struct dcell *c = dcell(d, t->cell);
	struct job *j;

	while ((j = queue_late(&t->queue, now)) != NULL)
		end_with(s, j->what, GS_TOO_LATE, OUT_NOT_RUN, LOST_RETRY_MS);
	while ((j = queue_pull(&t->queue, moved_away, t)) != NULL)
		end_with(s, j->what, GS_MOVED, OUT_NOT_RUN, 20);
	/*
	 * Checked just before each send: a dispatcher that was paused past
	 * its lease must not order a target that another may serve for.
	 */
	while (now < c->lease_until && grant_serves(&t->grant, now)) {
		j = queue_next(&t->queue, now, may_start, t);
		if (j == NULL)
			break;
		send_run(s, j->what, now);
	}
	if (now >= c->lease_until)
		run_flush(s, t, GS_MOVED, now);
}

/* Ends all that is queued with a code; what was sent goes on. */
void
run_flush(struct service *s, struct target *t, int code, usec now)
{
	struct job *j;

	while ((j = queue_pull(&t->queue, any_job, NULL)) != NULL)
		end_with(s, j->what, code, OUT_NOT_RUN,
		    code == GS_MOVED ? 20 : LOST_RETRY_MS);
}

/* Keeps an ended run's answer for repeats of its ticket. */
static void
remember(struct run *r, const Gspar__Answer *ans)
{
	struct bytes *kept;

	kept = calloc(1, sizeof(*kept));
	if (kept != NULL) {
		kept->n = gspar__answer__get_packed_size(ans);
		kept->p = malloc(kept->n + 1);
		if (kept->p != NULL)
			gspar__answer__pack(ans, kept->p);
	}
	once_ended(&r->target->once, r->ticket, kept);
}

/* Passes a whole answer on to all who wait for it. */
static void
end_whole(struct service *s, struct run *r, long status)
{
	Gspar__Answer ans = GSPAR__ANSWER__INIT;
	int i;

	ans.status = (uint32_t)status;
	ans.outcome = OUT_RAN;
	ans.type = r->type;
	ans.body.data = (uint8_t *)r->body.p;
	ans.body.len = r->body.n;
	ans.target = r->target->name;
	ans.fence = r->target->fence[r->job.shard];
	if (r->ticket != 0)
		remember(r, &ans);
	for (i = 0; i < r->naskers; i++)
		answer_one(s, &r->askers[i], &ans);
	run_free(s, r);
}

/* The code for a transfer that failed. */
static int
failure_code(const struct run *r, CURLcode res)
{
	if (r->too_large)
		return (GS_ANSWER_LARGE);
	switch (res) {
	case CURLE_OPERATION_TIMEDOUT:
		return (GS_DEADLINE);
	case CURLE_PARTIAL_FILE:
		return (GS_CUT_SHORT);
	default:
		return (r->body.n > 0 ? GS_CUT_SHORT : GS_TARGET_LOST);
	}
}

/* Ends a run whose transfer failed. */
static void
end_failed(struct service *s, struct run *r, CURLcode res)
{
	long sent = 0;
	int code;

	curl_easy_getinfo(r->easy, CURLINFO_REQUEST_SIZE, &sent);
	code = failure_code(r, res);
	if (code == GS_DEADLINE && sent > 0)
		note_cancel(s, r->target, r->id);
	/* No byte left this host, so it has not run for sure. */
	if (sent == 0)
		end_with(s, r, code == GS_DEADLINE ? GS_TOO_LATE : GS_NO_OWNER,
		    OUT_NOT_RUN, LOST_RETRY_MS);
	else
		end_with(s, r, code, OUT_UNKNOWN, 0);
}

/* Ends a run that the target refused before running it. */
static void
end_refused(struct service *s, struct run *r, long status)
{
	switch (status) {
	case 409:
		end_with(s, r, GS_MOVED, OUT_NOT_RUN, 20);
		break;
	case 504:
		end_with(s, r, GS_TOO_LATE, OUT_NOT_RUN, LOST_RETRY_MS);
		break;
	default:
		end_with(s, r, GS_SHED, OUT_NOT_RUN,
		    (uint32_t)(queue_wait(&r->target->queue, r->job.is_long) /
			    1000 +
			50));
		break;
	}
}

/* Takes the outcome of a transfer. */
void
run_done(struct service *s, struct run *r, CURLcode res, usec now)
{
	struct target *t = r->target;
	long status = 0;

	t->nruns--;
	t->inflight[r->job.shard]--;
	t->busy[r->job.shard] += (uint32_t)(now - r->sent);
	queue_done(&t->queue, &r->job,
	    res == CURLE_OK && !r->refused ? now - r->sent : 0);
	curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &status);
	if (res != CURLE_OK)
		end_failed(s, r, res);
	else if (r->refused)
		end_refused(s, r, status);
	else
		end_whole(s, r, status);
	if (t->moving[0] || t->grant.want != 0)
		target_sets(t);
	run_pump(s, t, now);
	target_tick(s, t, now);
}

/* Takes an asker off a run; true where nobody waits for it any more. */
static int
unasked(struct run *r, const char *host, uint64_t conn, uint64_t corr)
{
	struct asker *a;
	int i;

	for (i = 0; i < r->naskers; i++) {
		a = &r->askers[i];
		if (a->conn != conn || strcmp(a->host, host) != 0 ||
		    (corr != 0 && a->corr != corr))
			continue;
		*a = r->askers[--r->naskers];
		i--;
	}
	return (r->naskers == 0);
}

/* What run_cancel looks for in a queue. */
struct wanted {
	const char *host;
	uint64_t conn;
	uint64_t corr;
};

/* True where a queued job has lost its last asker. */
static int
job_unasked(const struct job *j, void *arg)
{
	struct wanted *w = arg;

	return (unasked(j->what, w->host, w->conn, w->corr));
}

/*
 * The caller went away: what is queued is dropped, what runs is cancelled at
 * the target.  A run of a ticket goes on, so that a repeat finds its answer.
 */
void
run_cancel(
    struct service *s, const char *host, uint64_t conn, uint64_t corr, usec now)
{
	struct dispatch *d = s->state;
	struct wanted w = {host, conn, corr};
	struct target *t;
	struct run *r;
	struct job *j;

	for (t = d->targets; t != NULL; t = t->next) {
		while ((j = queue_pull(&t->queue, job_unasked, &w)) != NULL)
			end_with(s, j->what, GS_CANCELLED, OUT_NOT_RUN, 0);
		for (r = t->runs; r != NULL; r = r->next) {
			if (r->ticket != 0 || r->cancelled ||
			    !unasked(r, host, conn, corr))
				continue;
			r->cancelled = 1;
			note_cancel(s, t, r->id);
		}
	}
}

/* A peer's connection was lost with all its askers. */
void
run_gone(struct service *s, const char *host, uint64_t conn, usec now)
{
	if (conn != 0)
		run_cancel(s, host, conn, 0, now);
}
