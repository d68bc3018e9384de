/*
 * Outcomes of attempts: updates the state of the target, and decides whether
 * the request is answered, retried or failed.
 */
#include <string.h>

#include <xxhash.h>

#include "direct.h"
#include "feature.h"
#include "hist.h"
#include "incarnation.h"
#include "tunnel.h"

/* Bounds the attempts that did not run, because the target was not reached, was
 * full or did not own the key.  The rule's limit counts only those that may
 * have run. */
#define TRIES_MAX 4
/*
 * Retry delay of a request that was sent to a target that does not own its key.
 */
#define NOT_OWNER_RETRY_DELAY MS(250)
/* If any target has answered within this time, a connection that breaks is no
 * sign that all targets are out of reach. */
#define ANSWERED_RECENTLY MS(100)
/* Weight of a new sample in the average time of requests. */
#define AVG_TIME_GAIN 0.05

/* Ends a request with the target's answer, which moves to the call. */
static void
deliver(struct direct *d, struct pending *p, usec now)
{
	struct answer *a = &p->call->answer;
	struct reply *r = &p->attempt->t.reply;

	a->code = GS_OK;
	a->status = r->status;
	a->headers = r->headers;
	a->body = r->body;
	memset(&r->headers, 0, sizeof(r->headers));
	memset(&r->body, 0, sizeof(r->body));
	flow_finish(d, p, now);
}

/* True if an attempt through another host ended because that one does not
 * relay; else it has said that the target was not reached. */
static int
tunnel_failed(const struct attempt *a)
{
	return (a->via && a->tunnel_status != TUNNEL_REFUSED &&
	    a->tunnel_status != TUNNEL_TIMEOUT);
}

/* Returns what the end of an attempt says about its target. */
static enum dest_end
attempt_dest_end(const struct attempt *a, CURLcode res, enum reply_kind kind)
{
	if (!a->t.maybe_sent)
		return (tunnel_failed(a) ? DEST_NOT_SENT : DEST_UNREACHED);
	if (res != CURLE_OK || kind == REPLY_FOREIGN)
		return (DEST_BROKEN);
	if (kind == REPLY_NOT_OWNER)
		return (DEST_NOT_OWNER);
	if (kind == REPLY_REFUSED)
		return (DEST_REFUSED);
	return (kind == REPLY_FAILURE ? DEST_FAILED : DEST_ANSWERED);
}

/* Records the end of an attempt at its target, and ends its permit. */
void
flow_attempt_ended(struct direct *d, struct pending *p,
    const struct dest_answer *ans, usec now)
{
	dest_ended(&p->attempt->target->dest, now, ans);
	permit_attempt_ended(d, p, ans, now);
}

/* Updates the statistics of the target, the rule and the service. */
static void
update_stats(struct direct *d, struct pending *p, enum dest_end e, usec now)
{
	struct attempt *a = p->attempt;
	struct dest_answer ans = {
	    e, now - a->sent, (usec)p->stats->avg_time, a->t.reply.load};

	flow_attempt_ended(d, p, &ans, now);
	a->target->answers += e <= DEST_NOT_OWNER;
	target_note(d, a->target);
	if (e != DEST_ANSWERED)
		return;
	hist_add(H_TARGET, now - a->sent);
	p->stats->avg_time +=
	    AVG_TIME_GAIN * ((double)(now - a->sent) - p->stats->avg_time);
	p->svc->avg_time +=
	    AVG_TIME_GAIN * ((double)(now - a->sent) - p->svc->avg_time);
}

/* True if a request that may have run may be retried. */
int
may_retry(const struct pending *p, usec now)
{
	return (p->rule->idempotent && p->ran < p->rule->attempts &&
	    p->tries < TRIES_MAX &&
	    now + (usec)p->stats->avg_time < p->deadline &&
	    budget_withdraw(&p->svc->retry_budget));
}

/* True if a request that is known not to have run may be retried. */
static int
may_resend(const struct pending *p, int arrived, usec now)
{
	if (p->tries >= TRIES_MAX ||
	    now + (usec)p->stats->avg_time >= p->deadline)
		return (0);
	if (arrived && !feature_on(FEATURE_RESEND))
		return (0);
	/* Only attempts that reached a target use the retry budget. */
	return (!arrived || budget_withdraw(&p->svc->retry_budget));
}

/* Retries a request. */
void
retry(struct direct *d, struct pending *p, usec now)
{
	attempt_drop(d, p);
	count_add(C_RETRIES, 1);
	flow_route(d, p, now);
}

/* True if another target has answered at the target's address. */
static int
is_from_another(const struct target_state *s, const struct reply *r)
{
	return (
	    r->instance[0] != '\0' && !incarnation_is_of(s->id, r->instance));
}

/* Describes the connection that an attempt was sent on; returns the length. */
static int
describe_conn(const struct pending *p, char *text, size_t size)
{
	const struct transfer *t = &p->attempt->t;
	curl_off_t sent = 0;

	if (!t->maybe_sent)
		return (snprintf(text, size, "not connected"));
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return (snprintf(text, size,
	    "%s connection from port %d, %lld of %zu bytes of the body sent",
	    t->new_conn ? "new" : "kept", t->local_port, (long long)sent,
	    p->call->body.n));
}

/* The same with the answer that came on it, which may be that to another
 * request or attempt. */
static const char *
describe_answer(const struct pending *p, char *text, size_t size)
{
	const struct reply *r = &p->attempt->t.reply;
	int n = describe_conn(p, text, size);

	snprintf(text + n, size - (size_t)n, ", answer %d%s%s with id '%.40s'",
	    r->status, r->not_run ? ", not run," : "",
	    r->is_signed ? ", signed," : "", r->id);
	return (text);
}

/* Handles an attempt that the target did not run: retries it or refuses the
 * request. */
static void
not_run(struct direct *d, struct pending *p, enum reply_kind kind, usec now)
{
	const struct owners *o = d->owners == NULL ? NULL : d->owners->p;
	struct target_state *s = p->attempt->target;
	char text[192];

	sends_refused(&p->sends);
	if (kind == REPLY_NOT_OWNER) {
		count_add(C_NOT_OWNER, 1);
		if (is_from_another(s, &p->attempt->t.reply)) {
			s->replaced = 1;
			crash_add_end(d, s);
		}
		p->not_owner_count =
		    o != NULL && p->not_owner_number == o->number
		    ? p->not_owner_count + 1
		    : 1;
		p->not_owner_number = o == NULL ? 0 : o->number;
		p->not_before = now + NOT_OWNER_RETRY_DELAY;
	} else
		count_add(C_TARGET_FULL, 1);
	log_request(log_limit_of(p), "router", p->call->id,
	    "%s by target %s at %s, key %d, owners version %llu, "
	    "attempt %d, %s",
	    kind == REPLY_NOT_OWNER ? "key not owned" : "refused", s->id,
	    s->addr, p->call->key_number,
	    o == NULL ? 0ull : (unsigned long long)o->number, p->tries,
	    describe_answer(p, text, sizeof(text)));
	if (may_resend(p, 1, now))
		retry(d, p, now);
	else
		flow_fail(d, p, GS_SHED, (usec)p->stats->avg_time, now);
}

/* Describes why an attempt has no complete answer. */
static const char *
describe_fault(const struct attempt *a, CURLcode res)
{
	const struct framing *f = &a->t.framing;

	if (res == CURLE_OK)
		return ("not an answer to this request");
	if (res == CURLE_ABORTED_BY_CALLBACK)
		return ("kept connection closed without an answer");
	if (f->too_large)
		return ("body too large");
	if (res == CURLE_WRITE_ERROR)
		return (f->state == FRAMING_BROKEN ? "not a valid answer"
						   : "no memory for the body");
	if (res == CURLE_PARTIAL_FILE && f->state != FRAMING_IN_BODY)
		return ("ended within the head");
	return (curl_easy_strerror(res));
}

/* Handles an attempt without a complete answer, which may have run. */
static void
maybe_run(struct direct *d, struct pending *p, CURLcode res, usec now)
{
	const struct framing *f = &p->attempt->t.framing;
	/* A body without a stated length may be without end, and another
	 * target's answer be fit. */
	int is_large = f->too_large && f->has_length;
	char text[192];

	count_add(res == CURLE_OK ? C_ANSWER_FOREIGN : C_TARGET_LOST, 1);
	count_add(C_ANSWER_STOPPED, res == CURLE_WRITE_ERROR);
	p->ran++;
	crash_add_unanswered(d, p, now);
	/* The target is not suspected if this host ended the answer. */
	if (res != CURLE_OK && res != CURLE_WRITE_ERROR)
		crash_add_break(d, p, p->attempt->target, now);
	/* A retry at once would meet the same cut. */
	if (res != CURLE_OK && !transfer_broke_off(&p->attempt->t, res) &&
	    now - d->last_answer > ANSWERED_RECENTLY) {
		path_attempt_failed(d, p->attempt, 0, now);
		p->awaits_path = path_is_doubted(d, now);
	}
	log_request(log_limit_of(p), "router", p->call->id,
	    "no complete answer from target %s at %s after %lld ms: %s, "
	    "content %016llx, try %d, %s",
	    p->attempt->target->id, p->attempt->target->addr,
	    (long long)((now - p->attempt->sent) / 1000),
	    describe_fault(p->attempt, res), (unsigned long long)p->digest,
	    p->tries, describe_answer(p, text, sizeof(text)));
	if (!is_large && may_retry(p, now))
		retry(d, p, now);
	else
		flow_fail(d, p, f->too_large ? GS_ANSWER_LARGE : GS_TARGET_LOST,
		    0, now);
}

/* Handles an attempt that did not reach its target. */
static void
unreached(struct direct *d, struct pending *p, CURLcode res, usec now)
{
	struct attempt *a = p->attempt;

	count_add(C_UNREACHED, 1);
	log_request(log_limit_of(p), "router", p->call->id,
	    "target %s at %s not reached%s%s, status %ld: %s", a->target->id,
	    a->target->addr, a->via ? " through host " : "",
	    a->via ? d->path.via : "", a->tunnel_status,
	    curl_easy_strerror(res));
	path_attempt_failed(d, a, !tunnel_failed(a), now);
	/* A request that meets a second target out of reach would use up its
	 * attempts before it is known whether the way to all is lost. */
	p->awaits_path = p->tries > 1 && path_is_doubted(d, now);
	if (p->awaits_path || tunnel_failed(a))
		p->tries--;
	if (may_resend(p, 0, now))
		retry(d, p, now);
	else
		flow_fail(d, p, GS_NO_OWNER, MS(200), now);
}

/*
 * Updates a target's rate limit from an answer.  An answer that names none ends
 * the limit only if it is a success: refusals and failures may omit it, and an
 * overloaded target sends many of these.
 */
static void
update_limit(struct direct *d, struct target_state *s, double limit,
    enum reply_kind kind, usec now)
{
	double was = s->dest.limit;

	if (limit < 0 && (was < 0 || kind != REPLY_ANSWER))
		return;
	if (limit == was)
		return;
	s->dest.limit = limit;
	target_note(d, s);
	d->next_limits = now;
	if (limit >= 0)
		log_line(LOG_NOTICE, "router",
		    "Target %s limits all hosts to %.2f requests a second.",
		    s->id, limit);
	else
		log_line(LOG_NOTICE, "router",
		    "Target %s no longer sets a rate limit.", s->id);
}

/* Records that an answer announced that the target is leaving. */
static void
update_leaving(
    struct direct *d, struct target_state *s, const struct reply *r, usec now)
{
	usec bound = MS(kernel_conf(d->s->kernel)->bounds.leave_ms);

	if (!r->leaving || is_from_another(s, r) ||
	    !dest_announce_leave(
		&s->dest, now + target_grace(d, s->service, bound)))
		return;
	target_note(d, s);
	log_line(LOG_NOTICE, "router",
	    "Target %s has announced in an answer that it is leaving.", s->id);
}

/* Records that a target that turned a request away wants no more for a while.
 */
static void
update_pause(struct target_state *s, const struct reply *r, usec now)
{
	if ((r->status != 503 && r->status != 429) || r->retry_after == 0)
		return;
	dest_pause(&s->dest, now + r->retry_after);
	log_line(LOG_INFO, "router",
	    "Target %s wants no requests from this host for %lld ms.", s->id,
	    (long long)(r->retry_after / 1000));
}

/* Counts an answer with a header that is not known, and logs the name once:
 * the target may be stating something that this host should act on. */
static void
note_unknown_header(
    struct direct *d, const struct target_state *s, const char *name)
{
	uint64_t hash = XXH3_64bits(name, strlen(name));
	int i;

	if (name[0] == '\0')
		return;
	count_add(C_HEADER_UNKNOWN, 1);
	for (i = 0; i < d->nunknown_headers; i++) {
		if (d->unknown_headers[i] == hash)
			return;
	}
	if (d->nunknown_headers == UNKNOWN_HEADERS_MAX)
		return;
	d->unknown_headers[d->nunknown_headers++] = hash;
	log_line(LOG_NOTICE, "router",
	    "Header %s of target %s is not known, forwarded to callers.", name,
	    s->id);
}

/* Updates whether the target has ended, its limit and its pause, whether it is
 * leaving, and whether the content got an answer. */
static void
update_target(struct direct *d, struct pending *p, CURLcode res,
    enum reply_kind kind, usec now)
{
	struct target_state *s = p->attempt->target;

	if (res == CURLE_COULDNT_CONNECT && !p->attempt->via)
		crash_add_end(d, s);
	if (res != CURLE_OK)
		return;
	s->ended = 0;
	s->answered_at = now;
	if (p->attempt->t.reply.keep_alive > 0)
		s->keep_alive = p->attempt->t.reply.keep_alive;
	if (s->keep_alive > d->keep_alive)
		d->keep_alive = s->keep_alive;
	path_answered(d, p->attempt, now);
	update_pause(s, &p->attempt->t.reply, now);
	if (kind != REPLY_FOREIGN) {
		note_unknown_header(d, s, p->attempt->t.reply.unknown_header);
		update_limit(d, s, p->attempt->t.reply.limit, kind, now);
		update_leaving(d, s, &p->attempt->t.reply, now);
	}
	if (kind == REPLY_ANSWER || kind == REPLY_FAILURE)
		crash_add_answer(d, p->digest, now);
}

/* Handles the end of an attempt. */
void
flow_attempt_done(struct direct *d, struct pending *p, CURLcode res, usec now)
{
	struct attempt *a = p->attempt;
	enum reply_kind kind = REPLY_FOREIGN;

	if (res == CURLE_OK)
		kind = transfer_kind(&a->t);
	count_add(C_ANSWER_NO_ID,
	    res == CURLE_OK && p->call->id[0] != '\0' &&
		a->t.reply.id[0] == '\0');
	update_stats(d, p, attempt_dest_end(a, res, kind), now);
	update_target(d, p, res, kind, now);
	if (!a->t.maybe_sent)
		unreached(d, p, res, now);
	else if (res != CURLE_OK)
		maybe_run(d, p, res, now);
	else if (kind == REPLY_REFUSED || kind == REPLY_NOT_OWNER)
		not_run(d, p, kind, now);
	else if (kind == REPLY_FOREIGN)
		maybe_run(d, p, res, now);
	else {
		p->ran++;
		if (kind == REPLY_FAILURE && may_retry(p, now))
			retry(d, p, now);
		else
			deliver(d, p, now);
	}
}

/* Logs the state of an attempt that is still in flight at its request's
 * deadline. */
static void
log_unfinished(const struct direct *d, const struct pending *p, usec now)
{
	const struct attempt *a = p->attempt;
	char text[160];

	describe_conn(p, text, sizeof(text));
	log_request(log_limit_of(p), "router", p->call->id,
	    "no answer from target %s at %s within %lld ms, %s, "
	    "last answer of any target %lld ms ago",
	    a->target->id, a->target->addr, (long long)((now - a->sent) / 1000),
	    text,
	    d->last_answer == 0 ? -1ll
				: (long long)((now - d->last_answer) / 1000));
}

/* Ends a request whose deadline has passed. */
void
flow_expire(struct direct *d, struct pending *p, usec now)
{
	if (p->attempt == NULL) {
		flow_fail(d, p, p->ran > 0 ? GS_DEADLINE : GS_TOO_LATE, 0, now);
		return;
	}
	log_unfinished(d, p, now);
	update_stats(d, p, DEST_TIMED_OUT, now);
	crash_add_unanswered(d, p, now);
	flow_fail(
	    d, p, p->attempt->t.maybe_sent ? GS_DEADLINE : GS_TOO_LATE, 0, now);
}

/* Ends a request whose caller has disconnected, and cuts its attempt. */
void
flow_caller_gone(struct direct *d, struct pending *p, usec now)
{
	struct dest_answer ans = {.end = DEST_ANSWERED};

	crash_add_unanswered(d, p, now);
	if (p->attempt != NULL)
		flow_attempt_ended(d, p, &ans, now);
	p->call->answer.code = GS_CANCELLED;
	p->call->answer.outcome =
	    sends_may_have_run(&p->sends) ? OUT_UNKNOWN : OUT_NOT_RUN;
	flow_finish(d, p, now);
}
