/*
 * The way of one request: to its target, to a queue or to a refusal.  What
 * follows a send is in direct_outcome.c.
 */
#include <stdlib.h>
#include <string.h>

#include "direct.h"
#include "feature.h"
#include "hist.h"

/* A key on its way to another target is waited for; a planned move takes as
 * long as the requests that run (36 to 220 ms), a little more when they are
 * many. */
#define PARK_MOST MS(1000)
/* A target without a connection for so long is not worth waiting for. */
#define UNREACHED_WAIT MS(200)
/* Callers are asked to come back after this long at least, and at most after a
 * third of their time: beyond that they do not come. */
#define RETRY_LEAST_MS 40
#define RETRY_PART 3
/* Where FEATURE_RETRY is off. */
#define RETRY_FIXED_MS 200
/* Retry delay for keys that were not moved before their target was closed. */
#define EVACUATED_WAIT MS(500)
/* How much one gap between starts changes what was learnt. */
#define GAP_GAIN 0.2

/* When to come back, in milliseconds, where it is better later than now. */
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

/* Takes a request out of the list. */
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

/* Ends a request whose answer is filled in. */
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

/* Ends a request with a code of ours. */
void
flow_end(struct direct *d, struct pending *p, int code, usec wait, usec now)
{
	struct answer *a = &p->call->answer;
	const char *target = p->last == NULL ? "-" : p->last->id;

	/*
	 * An earlier send may have run: what became of a later one says nothing
	 * of it, and "not run" would be believed.
	 */
	if (p->ran > 0 && result_outcome(code) == OUT_NOT_RUN)
		code = GS_TARGET_LOST;
	a->code = code;
	a->outcome = (int)result_outcome(code);
	/* A quarantined request is not to come back before its time. */
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

/* Lets a request wait in a line until the pump finds a way for it. */
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

/* Notes that a request of a line starts. */
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

/* How many requests wait in a line before one. */
static int
ahead_in(const struct direct *d, const struct pending *p, const struct line *l)
{
	const struct pending *q;
	int n = 0;

	for (q = d->first; q != NULL && q != p; q = q->next)
		n += q->waiting && q->line == l;
	return (n);
}

/* How long a request that arrives now would wait in a line. */
static usec
line_wait(const struct line *l, int ahead, usec now)
{
	double gap = l->gap;

	/* Nothing has started for longer than usual: it goes on so. */
	if (l->waiting > 0 && (double)(now - l->last_start) > gap)
		gap = (double)(now - l->last_start);
	return ((usec)(ahead * gap));
}

/*
 * Lets a request wait for room, or refuses it at once where it could not start
 * in time: its caller may still find another host with room, and what is sure
 * to be late must not hold up what is not.  The target is NULL where any of
 * the service will do.
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

/* A request whose key nobody owns at this moment: waits, or is refused. */
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

/* Sends a request for a key to its owner, or lets it wait. */
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
	 * Sent to the wrong one under this very view: its grant may have been
	 * on the way, so once more a little later; then only under a newer.
	 * A host that is cut off from the controller has an old view for
	 * seconds, and all its requests would be repeated in vain.
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

/* True where a service has a target that may be sent something. */
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

/* Sends a request to any target of its service, or lets it wait. */
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

/* Finds a way for a request. */
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

/* Looks after one request; it may be gone afterwards. */
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
		/* Too late to be worth a slot: others can still be in time. */
		flow_end(d, p, GS_TOO_LATE, 0, now);
	else if (p->waiting)
		flow_send(d, p, now);
}

/* Looks after all requests, most urgent first. */
void
flow_pump(struct direct *d, usec now)
{
	struct pending *p, *next;

	for (p = d->first; p != NULL; p = next) {
		next = p->next;
		look_after(d, p, now);
	}
}
