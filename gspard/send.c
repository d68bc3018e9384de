/* Requests from the dispatcher to its targets: one HTTP transfer each. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "call.h"
#include "dispatch.h"
#include "transfer.h"

/* Percent-encoding makes a key at most three times as long. */
#define URL_MAX_GS (3 * KEY_MAX_GS + REST_MAX + 256)

/* Collects the answer's body; fails the transfer beyond the limit. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct run *r = arg;

	return (framing_collect(&r->framing, &r->body, p, size * n));
}

/* Reads the content type or the outcome from a header. */
static void
read_header(struct run *r, const char *p, size_t len)
{
	static const char type[] = "Content-Type:";
	static const char outcome[] = "Gspar-Outcome:";
	size_t k = sizeof(type) - 1;

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
}

/* Reads the headers of the answer's own head. */
static size_t
on_header(char *p, size_t size, size_t n, void *arg)
{
	struct run *r = arg;
	enum framing_line line = framing_line(&r->framing, p, size * n);

	if (line == FRAMING_FIELD)
		read_header(r, p, size * n);
	return (line == FRAMING_INVALID ? 0 : size * n);
}

/* Adds one header to the request. */
static void
add_header(struct run *r, const char *name, const char *value)
{
	char line[400];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	r->headers = curl_slist_append(r->headers, line);
}

/* Adds one numeric header to the request. */
static void
add_number_header(struct run *r, const char *name, long long value)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld", value);
	add_header(r, name, text);
}

/* Sets the request's headers: shard, fence, deadline, id, the caller's. */
static void
set_headers(struct run *r, usec now)
{
	const Gspar__Request *q = r->frame->request;
	const struct target *t = r->target;

	add_number_header(r, "Gspar-Shard", q->shard);
	add_number_header(r, "Gspar-Fence", (long long)t->fence[r->job.shard]);
	/* In the target's clock, so that a request that waited in the socket
	 * of a frozen target is refused instead of run too late. */
	add_number_header(r, "Gspar-Deadline",
	    (long long)(t->grant.target_clock + r->job.deadline -
		t->grant.last_heard));
	add_number_header(r, "Gspar-Id", (long long)r->id);
	if (q->idkey[0] != '\0')
		add_header(r, "Idempotency-Key", q->idkey);
	if (q->type[0] != '\0')
		add_header(r, "Content-Type", q->type);
	add_header(r, "Expect", "");
	curl_easy_setopt(r->easy, CURLOPT_HTTPHEADER, r->headers);
}

/*
 * Lets a transfer use only connections that are not suspected to be dead.  On
 * idle connections that died unnoticed, one request after the other would be
 * lost.
 */
void
limit_conn_age(const struct target *t, CURL *easy, usec now)
{
	long age = silence_conn_age(&t->silence, now);

	if (age == CONN_NEW_ONLY)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else if (age > 0)
		curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, age);
}

/* Starts the transfer of a run; returns 0, or -1 if out of memory. */
static int
start_transfer(struct service *s, struct run *r, usec now)
{
	struct dispatch *d = s->state;
	struct target *t = r->target;
	const Gspar__Request *q = r->frame->request;
	char url[URL_MAX_GS], *key;

	r->easy = curl_easy_init();
	if (r->easy == NULL)
		return (-1);
	r->id = ++d->next_id;
	framing_init(&r->framing, t->answer_max, t->answer_max, 0);
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
	curl_easy_setopt(r->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(r->easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(r->easy, CURLOPT_CUSTOMREQUEST, q->method);
	if (strcmp(q->method, "GET") != 0) {
		curl_easy_setopt(
		    r->easy, CURLOPT_POSTFIELDSIZE, (long)q->body.len);
		curl_easy_setopt(r->easy, CURLOPT_POSTFIELDS,
		    q->body.data == NULL ? "" : (char *)q->body.data);
	}
	limit_conn_age(t, r->easy, now);
	if (r->resent)
		curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (!t->class->idempotent) {
		/*
		 * If a reused connection dies without an answer, libcurl sends
		 * the request a second time, though the target may have run
		 * the first.  On a new connection it never does.
		 */
		curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(r->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	set_headers(r, now);
	curl_multi_add_handle(d->multi, r->easy);
	return (0);
}

/* Sends a run to its target, or ends it if out of memory. */
void
run_send(struct service *s, struct run *r, usec now)
{
	struct target *t = r->target;

	if (start_transfer(s, r, now) != 0) {
		queue_done(&t->queue, &r->job, 0);
		run_fail(s, r, GS_NOMEM, OUT_NOT_RUN, 0);
		return;
	}
	r->sent = now;
	r->next = t->runs;
	r->link = &t->runs;
	if (r->next != NULL)
		r->next->link = &r->next;
	t->runs = r;
	t->nruns++;
	t->inflight[r->job.shard]++;
	count_add(C_SENT, 1);
	budget_deposit(&t->retry_budget);
}

/* True if a run may be on a dead connection and may be sent again. */
static int
may_resend(const struct run *r, usec now)
{
	const struct target *t = r->target;
	usec typical = t->queue.mean[r->job.is_long != 0];

	return (t->class->idempotent && !r->resent && !r->cancelled &&
	    r->body.n == 0 &&
	    silence_suspects(&t->silence, now, r->sent, typical));
}

/* Replaces a run's transfer by a new one; returns true if it was started. */
static int
resend(struct service *s, struct run *r, usec now)
{
	struct dispatch *d = s->state;
	struct curl_slist *headers = r->headers;
	CURL *easy = r->easy;
	uint64_t id = r->id;

	r->headers = NULL;
	r->resent = 1;
	if (start_transfer(s, r, now) != 0) {
		r->easy = easy;
		r->headers = headers;
		return (0);
	}
	curl_multi_remove_handle(d->multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	target_call_cancel(s, r->target, id);
	r->refused = 0;
	r->type[0] = '\0';
	count_add(C_RETRIES, 1);
	return (1);
}

/*
 * Returns true if this host's lease and grant allow it to send to the target;
 * checked just before each send.  A dispatcher that was paused past its lease
 * would otherwise send to a target that another host dispatches for.
 */
int
may_send(struct service *s, const struct target *t, usec now)
{
	return (now < dispatch_cell(s->state, t->cell)->lease_until &&
	    grant_usable(&t->grant, now));
}

/*
 * Sends runs that may be on dead connections again, each once and within a
 * budget: a target that is only slow must not get all its work twice.  The
 * first transfer is cancelled at the target, in case it arrived.
 */
void
runs_resend(struct service *s, struct target *t, usec now)
{
	struct run *r;
	int n = 0;

	for (r = t->runs; r != NULL; r = r->next) {
		if (may_resend(r, now) && now < r->job.deadline &&
		    t->fence[r->job.shard] != 0 && may_send(s, t, now) &&
		    budget_withdraw(&t->retry_budget))
			n += resend(s, r, now);
	}
	if (n > 0)
		event_add("dispatch", 0,
		    "%s: connection not responding, %d requests sent again",
		    t->name, n);
}

/* Stores a run's answer for repeated requests with its ticket. */
static void
save_answer(struct run *r, const Gspar__Answer *ans)
{
	struct bytes *saved;

	saved = calloc(1, sizeof(*saved));
	if (saved != NULL) {
		saved->n = gspar__answer__get_packed_size(ans);
		saved->p = malloc(saved->n + 1);
		if (saved->p != NULL)
			gspar__answer__pack(ans, saved->p);
	}
	once_finish(&r->target->once, r->ticket, saved);
}

/* Sends a complete answer to all requesters, and frees the run. */
static void
finish_answered(struct service *s, struct run *r, long status)
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
		save_answer(r, &ans);
	for (i = 0; i < r->nrequesters; i++)
		run_answer(s, &r->requesters[i], &ans);
	run_free(s, r);
}

/* Returns the result code for a failed transfer. */
static int
failure_code(const struct run *r, CURLcode res)
{
	if (r->framing.too_large)
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
finish_failed(struct service *s, struct run *r, CURLcode res)
{
	long sent = 0;
	int code;

	curl_easy_getinfo(r->easy, CURLINFO_REQUEST_SIZE, &sent);
	code = failure_code(r, res);
	if (code == GS_DEADLINE && sent > 0)
		target_call_cancel(s, r->target, r->id);
	/* No byte was sent, so the request certainly has not run. */
	if (sent == 0)
		run_fail(s, r, code == GS_DEADLINE ? GS_TOO_LATE : GS_NO_OWNER,
		    OUT_NOT_RUN, RETRY_DEFAULT_MS);
	else
		run_fail(s, r, code, OUT_UNKNOWN, 0);
}

/* Ends a run that the target refused without running it. */
static void
finish_refused(struct service *s, struct run *r, long status)
{
	switch (status) {
	case 409:
		run_fail(s, r, GS_MOVED, OUT_NOT_RUN, 20);
		break;
	case 504:
		run_fail(s, r, GS_TOO_LATE, OUT_NOT_RUN, RETRY_DEFAULT_MS);
		break;
	default:
		run_fail(s, r, GS_SHED, OUT_NOT_RUN,
		    (uint32_t)(queue_expected_wait(
				   &r->target->queue, r->job.is_long) /
			    1000 +
			50));
		break;
	}
}

/* Handles the end of a transfer. */
void
run_done(struct service *s, struct run *r, CURLcode res, usec now)
{
	struct target *t = r->target;
	long status = r->framing.status;

	res = transfer_result(&r->framing, res);
	t->nruns--;
	t->inflight[r->job.shard]--;
	t->busy[r->job.shard] += (uint32_t)(now - r->sent);
	queue_done(&t->queue, &r->job,
	    res == CURLE_OK && !r->refused ? now - r->sent : 0);
	if (res == CURLE_OK)
		silence_request_answered(&t->silence, r->sent);
	if (res != CURLE_OK)
		finish_failed(s, r, res);
	else if (r->refused)
		finish_refused(s, r, status);
	else
		finish_answered(s, r, status);
	if (t->nmoving > 0)
		target_update_wanted(t);
	run_send_queued(s, t, now);
	target_tick(s, t, now);
}
