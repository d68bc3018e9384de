/*
 * Routes a request: sends it to a target, queues it or refuses it.  What
 * follows an attempt is in direct_outcome.c.
 */
#include <stdlib.h>
#include <string.h>

#include "direct.h"
#include "feature.h"
#include "hist.h"

/* How long a request waits for a key without an owner.  A planned move takes as
 * long as the requests that are running (36 to 220 ms), and a little longer if
 * there are many. */
#define PARK_MAX MS(1000)
/* Requests for the keys of a target that is backed off from, or wants none, for
 * longer are refused. */
#define BACKOFF_WAIT_MAX MS(200)
/* Shortest retry delay given to callers. */
#define RETRY_MIN_MS 40
/* Callers do not retry if the delay exceeds this part (a third) of their
 * remaining time: the delay stays below it. */
#define RETRY_TIME_DIVISOR 3
/* Retry delay with FEATURE_RETRY off. */
#define RETRY_FIXED_MS 200
/* Retry delay for keys that were not moved before their target was closed. */
#define CLOSED_RETRY_DELAY MS(500)
/* Retry delay where no target can be reached: another host may reach them. */
#define CUT_OFF_RETRY_DELAY MS(300)
/* Weight of a new sample in the mean time between starts. */
#define START_INTERVAL_GAIN 0.2

/* Returns the retry delay for a caller, in milliseconds, given the expected
 * wait in microseconds. */
static uint32_t
retry_after(const struct pending *p, usec wait, usec now)
{
	usec max = (p->deadline - now) / RETRY_TIME_DIVISOR / 1000 * 2 / 3;
	usec ms = wait / 1000;

	if (!feature_on(FEATURE_RETRY))
		return (RETRY_FIXED_MS);
	if (ms > max)
		ms = max;
	return ((uint32_t)(ms < RETRY_MIN_MS ? RETRY_MIN_MS : ms));
}

/* Removes a request from its queue and from the list. */
static void
unlink_pending(struct direct *d, struct pending *p)
{
	if (p->waiting && p->queue != NULL)
		p->queue->waiting--;
	p->waiting = 0;
	if (p->prev != NULL)
		p->prev->next = p->next;
	else
		d->first = p->next;
	if (p->next != NULL)
		p->next->prev = p->prev;
	else
		d->last = p->prev;
}

/* Returns the limit on lines about a request. */
enum log_limit
log_limit_of(const struct pending *p)
{
	return (p->rule->idempotent || p->tries == 0 ? LOG_LIMIT_COMMON
						     : LOG_LIMIT_ONCE);
}

/* Ends a request whose answer is filled in, and frees it. */
void
flow_finish(struct direct *d, struct pending *p, usec now)
{
	struct call *c = p->call;

	hist_add(H_REQUEST, now - p->arrived);
	permit_drop(d, p, now);
	attempt_drop(d, p);
	unlink_pending(d, p);
	if (p->last_target != NULL)
		p->last_target->users--;
	free(p);
	call_end(c);
}

/* Ends a request with a result code; wait is the time until a retry can
 * succeed, in microseconds, or 0. */
void
flow_fail(struct direct *d, struct pending *p, int code, usec wait, usec now)
{
	struct answer *a = &p->call->answer;
	const char *target = p->last_target == NULL ? "-" : p->last_target->id;

	/* Callers rely on "not run", whatever ends the request. */
	if (sends_may_have_run(&p->sends) &&
	    result_outcome(code) == OUT_NOT_RUN)
		code = GS_TARGET_LOST;
	a->code = code;
	a->outcome = (int)result_outcome(code);
	/* A quarantined request must not be retried before its time. */
	a->retry_ms = code == GS_QUARANTINED ? (uint32_t)(wait / 1000)
					     : retry_after(p, wait, now);
	log_request(log_limit_of(p), "router", p->call->id,
	    "%s: service %s, target %s, key %d, content %016llx, tries %d, "
	    "after %lld ms of %lld, load there %.1f, waiting %d, "
	    "retry in %u ms",
	    result_name(code), p->svc->name, target, p->call->key_number,
	    (unsigned long long)p->digest, p->tries,
	    (long long)((now - p->arrived) / 1000),
	    (long long)((p->deadline - p->arrived) / 1000),
	    p->last_target == NULL ? 0.0
				   : dest_load(&p->last_target->dest, now),
	    p->queue == NULL ? 0 : p->queue->waiting, a->retry_ms);
	flow_finish(d, p, now);
}

/* Puts a request into a queue; flow_pump() routes it again. */
void
flow_wait(struct pending *p, struct wait_queue *wq)
{
	if (p->waiting && p->queue == wq)
		return;
	if (p->waiting)
		p->queue->waiting--;
	else
		count_add(C_WAITED, 1);
	p->waiting = 1;
	p->queue = wq;
	wq->waiting++;
}

/* Records that a request of a queue is sent. */
static void
wait_queue_sent(struct pending *p, struct wait_queue *wq, usec now)
{
	if (wq->waiting > 0 && wq->last_start != 0)
		wq->start_interval += START_INTERVAL_GAIN *
		    ((double)(now - wq->last_start) - wq->start_interval);
	wq->last_start = now;
	if (p->waiting)
		p->queue->waiting--;
	p->waiting = 0;
}

/* Sends a request to a target.  The request may have been freed on return. */
void
flow_send(struct direct *d, struct pending *p, struct target_state *s,
    struct wait_queue *wq, usec now)
{
	wait_queue_sent(p, wq, now);
	p->queue = wq;
	hist_add(H_QUEUE, now - p->arrived);
	if (attempt_start(d, p, s, now) != 0) {
		flow_fail(d, p, GS_NOMEM, 0, now);
		return;
	}
	if (p->last_target != NULL)
		p->last_target->users--;
	p->last_target = s;
	crash_mark_sent(d, p, now);
	s->users++;
	p->tries++;
	p->parked_since = 0;
}

/* Returns the number of requests in a queue ahead of one. */
static int
wait_queue_ahead(const struct direct *d, const struct pending *p,
    const struct wait_queue *wq)
{
	const struct pending *q;
	int n = 0;

	for (q = d->first; q != NULL && q != p; q = q->next)
		n += q->waiting && q->queue == wq;
	return (n);
}

/* Returns the expected wait of a request in a queue, in microseconds. */
static usec
wait_queue_delay(const struct wait_queue *wq, int ahead, usec now)
{
	double interval = wq->start_interval;

	/* Nothing has started for longer than usual: assume that rate. */
	if (wq->waiting > 0 && (double)(now - wq->last_start) > interval)
		interval = (double)(now - wq->last_start);
	return ((usec)(ahead * interval));
}

/*
 * Queues a request until a target can take it, or refuses it at once if it
 * could not finish in time: its caller may still be served by another host, and
 * requests that are bound to be late must not delay the others.  The target is
 * NULL if any of the service will do.
 */
static void
queue_or_refuse(struct direct *d, struct pending *p, struct target_state *s,
    struct wait_queue *wq, usec now)
{
	int ahead = wait_queue_ahead(d, p, wq);
	usec wait = wait_queue_delay(wq, ahead, now);
	usec turn = s == NULL ? 0 : rate_wait(&s->dest.rate, ahead, now);
	int code = turn > wait ? GS_TARGET_LIMIT : GS_TOO_LATE;

	if (turn > wait)
		wait = turn;
	if (now + wait + (usec)p->stats->avg_time > p->deadline &&
	    feature_on(FEATURE_EARLY)) {
		if (!p->waiting)
			p->queue = wq;
		flow_fail(d, p, code, wait, now);
		return;
	}
	flow_wait(p, wq);
}

/* Queues a request whose key has no owner at the moment, or refuses it. */
static void
park(struct direct *d, struct pending *p, const struct owner_range *r, usec now)
{
	usec served_at = r == NULL ? 0 : r->served_at;

	if (!feature_on(FEATURE_PARK)) {
		flow_fail(d, p, GS_NO_OWNER,
		    served_at > now ? served_at - now : 0, now);
		return;
	}
	if (p->parked_since == 0) {
		p->parked_since = now;
		count_add(C_PARKED, 1);
	}
	if (served_at > 0 &&
	    served_at + (usec)p->stats->avg_time > p->deadline) {
		flow_fail(d, p, GS_NO_OWNER, served_at - now, now);
		return;
	}
	if (now - p->parked_since > PARK_MAX && served_at < now) {
		flow_fail(d, p, GS_NO_OWNER, MS(500), now);
		return;
	}
	flow_wait(p, &p->svc->queue);
}

/* Sends a request for a key to the key's owner, queues it or refuses it. */
static void
try_owner(struct direct *d, struct pending *p, usec now)
{
	const struct owners *o = d->owners == NULL ? NULL : d->owners->p;
	const struct owner_range *r;
	struct target_state *s;
	usec wait;

	r = owners_find(o, p->svc->name, (uint32_t)p->call->key_number);
	s = r == NULL || r->target < 0 || r->moving
	    ? NULL
	    : target_state_find(d, o->targets[r->target]);
	if (s == NULL || s->replaced ||
	    (s->dest.leaving && !dest_left(&s->dest, now))) {
		park(d, p, r, now);
		return;
	}
	if (dest_closed(&s->dest, now)) {
		flow_fail(d, p, GS_NO_OWNER, CLOSED_RETRY_DELAY, now);
		return;
	}
	/*
	 * By these same owners it was sent to a target that does not own the
	 * key.  The target's grant may have been in transit, so it is retried
	 * once after a delay, and then only by newer owners: a host that is cut
	 * off from the controller has old ones for seconds, and would retry all
	 * its requests in vain.
	 */
	if (p->not_owner_number == o->number &&
	    (now < p->not_before || p->not_owner_count > 1)) {
		park(d, p, NULL, now);
		return;
	}
	wait = dest_wait(&s->dest, now);
	if (wait > BACKOFF_WAIT_MAX) {
		flow_fail(d, p,
		    dest_paused(&s->dest, now) ? GS_SHED : GS_NO_OWNER, wait,
		    now);
		return;
	}
	if (permit_route(d, p, s, now))
		return;
	if (dest_can_send(&s->dest, now, &d->conf))
		flow_send(d, p, s, &s->queue, now);
	else
		queue_or_refuse(d, p, s, &s->queue, now);
}

/* Returns how long no target of a service can be sent requests, because each
 * is backed off from or wants none; -1 if all are closed. */
static usec
service_wait(const struct direct *d, const struct service_state *v, usec now)
{
	const struct target_state *s;
	usec wait, least = -1;

	for (s = d->targets; s != NULL; s = s->next) {
		if (dest_closed(&s->dest, now) ||
		    strcmp(s->service, v->name) != 0)
			continue;
		wait = dest_wait(&s->dest, now);
		if (least < 0 || wait < least)
			least = wait;
	}
	return (least);
}

/* Sends a request to any target of its service, queues it or refuses it. */
static void
try_any(struct direct *d, struct pending *p, usec now)
{
	struct target_state *s;
	usec wait;

	if (permit_route(d, p, NULL, now))
		return;
	s = pick_target(d, p, now);
	if (s != NULL) {
		flow_send(d, p, s, &p->svc->queue, now);
		return;
	}
	wait = service_wait(d, p->svc, now);
	if (wait < 0 && d->have_fleet)
		flow_fail(d, p, GS_NO_OWNER, MS(300), now);
	else if (wait > 0 &&
	    now + wait + (usec)p->stats->avg_time > p->deadline)
		flow_fail(d, p, GS_SHED, wait, now);
	else
		queue_or_refuse(d, p, NULL, &p->svc->queue, now);
}

/* Routes a request: sends it, queues it or refuses it. */
void
flow_route(struct direct *d, struct pending *p, usec now)
{
	usec wait;

	if (!crash_may_run(d, p, &wait, now)) {
		count_add(C_QUARANTINED, 1);
		flow_fail(d, p, GS_QUARANTINED, wait, now);
		return;
	}
	if (path_is_cut_off(d, now)) {
		flow_fail(d, p, GS_CUT_OFF, CUT_OFF_RETRY_DELAY, now);
		return;
	}
	if (path_must_wait(d, p, now)) {
		flow_wait(p, &p->svc->queue);
		return;
	}
	p->awaits_path = 0;
	if (p->svc->keyed && p->call->key_number >= 0)
		try_owner(d, p, now);
	else
		try_any(d, p, now);
}

/* Handles the timers of one request, and routes it again while it waits.  The
 * request may have been freed on return. */
static void
check_request(struct direct *d, struct pending *p, usec now)
{
	if (now >= p->next_caller_check) {
		p->next_caller_check = now + CALLER_CHECK_INTERVAL;
		if (call_abandoned(p->call)) {
			flow_caller_gone(d, p, now);
			return;
		}
	}
	if (now >= p->deadline)
		flow_expire(d, p, now);
	else if (p->waiting && p->tries == 0 && p->parked_since == 0 &&
	    feature_on(FEATURE_EARLY) &&
	    now + (usec)(p->stats->avg_time / 2) > p->deadline)
		/* Too late to be worth a slot that others can use in time. */
		flow_fail(d, p, GS_TOO_LATE, 0, now);
	else if (p->waiting)
		flow_route(d, p, now);
	else if (p->attempt != NULL)
		path_check_attempt(d, p, now);
}

/* Handles all requests, in the order of their priority. */
void
flow_pump(struct direct *d, usec now)
{
	struct pending *p, *next;

	for (p = d->first; p != NULL; p = next) {
		next = p->next;
		check_request(d, p, now);
	}
}
