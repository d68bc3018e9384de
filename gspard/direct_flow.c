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
#define PARK_MOST MS(1000)
/* Requests for the keys of a target that stays in backoff for longer are
 * refused. */
#define UNREACHED_WAIT MS(200)
/* Shortest retry delay that callers are given, and the part of their remaining
 * time beyond which they do not retry: the delay stays below a third of it. */
#define RETRY_LEAST_MS 40
#define RETRY_PART 3
/* Retry delay with FEATURE_RETRY off. */
#define RETRY_FIXED_MS 200
/* Retry delay for keys that were not moved before their target was closed for
 * an evacuation. */
#define EVACUATED_WAIT MS(500)
/* Weight of a new sample in the mean time between starts. */
#define GAP_GAIN 0.2

/* Returns the retry delay for a caller, in milliseconds, given the expected
 * wait in microseconds. */
static uint32_t
retry_after(const struct pending *p, usec wait, usec now)
{
	usec most = (p->deadline - now) / RETRY_PART / 1000 * 2 / 3;
	usec ms = wait / 1000;

	if (!feature_on(FEATURE_RETRY))
		return (RETRY_FIXED_MS);
	if (ms > most)
		ms = most;
	return ((uint32_t)(ms < RETRY_LEAST_MS ? RETRY_LEAST_MS : ms));
}

/* Removes a request from its queue and from the list. */
static void
unlink_pending(struct direct *d, struct pending *p)
{
	if (p->waiting && p->line != NULL)
		p->line->waiting--;
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

/* Ends a request whose answer is filled in, and frees it. */
void
flow_finish(struct direct *d, struct pending *p, usec now)
{
	struct call *c = p->call;

	hist_add(H_REQUEST, now - p->arrived);
	attempt_drop(d, p);
	unlink_pending(d, p);
	if (p->last != NULL)
		p->last->users--;
	free(p);
	call_end(c);
}

/* Ends a request with a result code; wait is the time until a retry can
 * succeed, in microseconds, or 0. */
void
flow_end(struct direct *d, struct pending *p, int code, usec wait, usec now)
{
	struct answer *a = &p->call->answer;
	const char *target = p->last == NULL ? "-" : p->last->id;

	/*
	 * An earlier attempt may have run.  The outcome of a later one says
	 * nothing about it, and callers rely on "not run".
	 */
	if (p->ran > 0 && result_outcome(code) == OUT_NOT_RUN)
		code = GS_TARGET_LOST;
	a->code = code;
	a->outcome = (int)result_outcome(code);
	/* A quarantined request must not be retried before its time. */
	a->retry_ms = code == GS_QUARANTINED ? (uint32_t)(wait / 1000)
					     : retry_after(p, wait, now);
	log_request("router", p->call->id,
	    "%s: service %s, target %s, key %d, content %016llx, tries %d, "
	    "after %lld ms of %lld, load there %.1f, waiting %d, "
	    "retry in %u ms",
	    result_name(code), p->svc->name, target, p->call->key_number,
	    (unsigned long long)p->digest, p->tries,
	    (long long)((now - p->arrived) / 1000),
	    (long long)((p->deadline - p->arrived) / 1000),
	    p->last == NULL ? 0.0 : dest_load(&p->last->dest, now),
	    p->line == NULL ? 0 : p->line->waiting, a->retry_ms);
	flow_finish(d, p, now);
}

/* Puts a request into a queue; flow_pump() routes it again. */
static void
wait_in(struct pending *p, struct line *l)
{
	if (p->waiting && p->line == l)
		return;
	if (p->waiting)
		p->line->waiting--;
	else
		count_add(C_WAITED, 1);
	p->waiting = 1;
	p->line = l;
	l->waiting++;
}

/* Records that a request of a queue is sent. */
static void
line_start(struct pending *p, struct line *l, usec now)
{
	if (l->waiting > 0 && l->last_start != 0)
		l->gap += GAP_GAIN * ((double)(now - l->last_start) - l->gap);
	l->last_start = now;
	if (p->waiting)
		p->line->waiting--;
	p->waiting = 0;
}

/* Sends a request to a target. */
static void
send_to(struct direct *d, struct pending *p, struct target_state *s,
    struct line *l, usec now)
{
	line_start(p, l, now);
	p->line = l;
	hist_add(H_QUEUE, now - p->arrived);
	if (attempt_start(d, p, s, now) != 0) {
		flow_end(d, p, GS_NOMEM, 0, now);
		return;
	}
	if (p->last != NULL)
		p->last->users--;
	p->last = s;
	crash_sent(d, p, now);
	s->users++;
	p->tries++;
	p->parked = 0;
}

/* Returns the number of requests in a queue ahead of one. */
static int
ahead_in(const struct direct *d, const struct pending *p, const struct line *l)
{
	const struct pending *q;
	int n = 0;

	for (q = d->first; q != NULL && q != p; q = q->next)
		n += q->waiting && q->line == l;
	return (n);
}

/* Returns the expected wait of a request in a queue, in microseconds. */
static usec
line_wait(const struct line *l, int ahead, usec now)
{
	double gap = l->gap;

	/* Nothing has started for longer than usual: assume that rate. */
	if (l->waiting > 0 && (double)(now - l->last_start) > gap)
		gap = (double)(now - l->last_start);
	return ((usec)(ahead * gap));
}

/*
 * Queues a request until a target can take it, or refuses it at once where it
 * could not finish in time: its caller may still be served by another host, and
 * requests that are bound to be late must not delay the others.  The target is
 * NULL where any of the service will do.
 */
static void
wait_for_room(struct direct *d, struct pending *p, struct target_state *s,
    struct line *l, usec now)
{
	int ahead = ahead_in(d, p, l);
	usec wait = line_wait(l, ahead, now);
	usec turn = s == NULL ? 0 : rate_wait(&s->dest.rate, ahead, now);
	int code = turn > wait ? GS_TARGET_LIMIT : GS_TOO_LATE;

	if (turn > wait)
		wait = turn;
	if (now + wait + (usec)p->learnt->work > p->deadline &&
	    feature_on(FEATURE_EARLY)) {
		if (!p->waiting)
			p->line = l;
		flow_end(d, p, code, wait, now);
		return;
	}
	wait_in(p, l);
}

/* Queues a request whose key has no owner at the moment, or refuses it. */
static void
park(struct direct *d, struct pending *p, const struct owner_range *r, usec now)
{
	usec back = r == NULL ? 0 : r->served_at;

	if (!feature_on(FEATURE_PARK)) {
		flow_end(d, p, GS_NO_OWNER, back > now ? back - now : 0, now);
		return;
	}
	if (p->parked == 0) {
		p->parked = now;
		count_add(C_PARKED, 1);
	}
	if (back > 0 && back + (usec)p->learnt->work > p->deadline) {
		flow_end(d, p, GS_NO_OWNER, back - now, now);
		return;
	}
	if (now - p->parked > PARK_MOST && back < now) {
		flow_end(d, p, GS_NO_OWNER, MS(500), now);
		return;
	}
	wait_in(p, &p->svc->line);
}

/* Sends a request for a key to the key's owner, queues it or refuses it. */
static void
try_owner(struct direct *d, struct pending *p, usec now)
{
	const struct owners *o = d->owners == NULL ? NULL : d->owners->p;
	const struct owner_range *r;
	struct target_state *s;

	r = owners_find(o, p->svc->name, (uint32_t)p->call->key_number);
	s = r == NULL || r->target < 0 || r->moving
	    ? NULL
	    : target_state_find(d, o->targets[r->target]);
	if (s == NULL || s->dest.leaving || s->replaced) {
		park(d, p, r, now);
		return;
	}
	if (dest_closed(&s->dest, now)) {
		flow_end(d, p, GS_NO_OWNER, EVACUATED_WAIT, now);
		return;
	}
	/*
	 * By these same owners it was sent to a target that does not own the
	 * key.  The target's grant may have been in transit, so it is retried
	 * once after a delay, and then only by newer owners: a host that is cut
	 * off from the controller has old ones for seconds, and would retry all
	 * its requests in vain.
	 */
	if (p->missent == o->number &&
	    (now < p->not_before || p->missents > 1)) {
		park(d, p, NULL, now);
		return;
	}
	if (now < s->dest.backoff_until &&
	    s->dest.backoff_until - now > UNREACHED_WAIT) {
		flow_end(d, p, GS_NO_OWNER, s->dest.backoff_until - now, now);
		return;
	}
	if (dest_can_send(&s->dest, now, &d->conf))
		send_to(d, p, s, &s->line, now);
	else
		wait_for_room(d, p, s, &s->line, now);
}

/* True where a service has a target that is not closed. */
static int
has_targets(const struct direct *d, const struct svc *v, usec now)
{
	const struct target_state *s;

	for (s = d->targets; s != NULL; s = s->next) {
		if (!dest_closed(&s->dest, now) &&
		    strcmp(s->service, v->name) == 0)
			return (1);
	}
	return (0);
}

/* Sends a request to any target of its service, queues it or refuses it. */
static void
try_any(struct direct *d, struct pending *p, usec now)
{
	struct target_state *s = pick_any(d, p, now);

	if (s != NULL)
		send_to(d, p, s, &p->svc->line, now);
	else if (!has_targets(d, p->svc, now) && d->have_fleet)
		flow_end(d, p, GS_NO_OWNER, MS(300), now);
	else
		wait_for_room(d, p, NULL, &p->svc->line, now);
}

/* Routes a request: sends it, queues it or refuses it. */
void
flow_send(struct direct *d, struct pending *p, usec now)
{
	usec wait;

	if (!crash_may_run(d, p, &wait, now)) {
		count_add(C_QUARANTINED, 1);
		flow_end(d, p, GS_QUARANTINED, wait, now);
		return;
	}
	if (p->svc->keyed && p->call->key_number >= 0)
		try_owner(d, p, now);
	else
		try_any(d, p, now);
}

/* Handles the timers of one request, and routes it again while it waits.  The
 * request may have been freed on return. */
static void
look_after(struct direct *d, struct pending *p, usec now)
{
	if (now >= p->next_look) {
		p->next_look = now + FLOW_LOOK_EVERY;
		if (call_gone(p->call)) {
			flow_left(d, p, now);
			return;
		}
	}
	if (now >= p->deadline)
		flow_expire(d, p, now);
	else if (p->waiting && p->tries == 0 && p->parked == 0 &&
	    feature_on(FEATURE_EARLY) &&
	    now + (usec)(p->learnt->work / 2) > p->deadline)
		/* Too late to be worth a slot that others can use in time. */
		flow_end(d, p, GS_TOO_LATE, 0, now);
	else if (p->waiting)
		flow_send(d, p, now);
}

/* Handles all requests, in the order of their priority. */
void
flow_pump(struct direct *d, usec now)
{
	struct pending *p, *next;

	for (p = d->first; p != NULL; p = next) {
		next = p->next;
		look_after(d, p, now);
	}
}
