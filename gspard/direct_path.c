/*
 * The way to the targets: noticing that it may be lost, and moving requests to
 * another one.
 */
#include <string.h>

#include "direct.h"
#include "reach_probe.h"

/* A connection takes a round trip and about a millisecond. */
#define CONNECT_PATIENCE MS(100)
/* Nothing is wrong with the way to the targets if any of them has answered
 * within this time. */
#define SILENCE_MIN MS(150)
/* Interval of telling the same doubt again. */
#define DOUBT_INTERVAL MS(50)
/* Interval of sending requests though no target can be reached. */
#define CUT_OFF_SEND_INTERVAL MS(1000)
/* The result of a doubt is waited for at most this long. */
#define DOUBT_MAX MS(900)
/* Another relaying host is waited for at most this long. */
#define SEARCH_MAX MS(600)

/* True while it is being found out whether this host reaches the targets. */
int
path_is_doubted(const struct direct *d, usec now)
{
	return (d->doubted_at != 0 && now - d->doubted_at < DOUBT_MAX);
}

/* True while another host is looked for that relays. */
static int
is_searching(const struct direct *d, usec now)
{
	return (d->path_lost_at != 0 && now - d->path_lost_at < SEARCH_MAX);
}

/* True if a request is to wait until the way to the targets is known. */
int
path_must_wait(const struct direct *d, const struct pending *p, usec now)
{
	return (is_searching(d, now) ||
	    (p->awaits_path && path_is_doubted(d, now)));
}

/*
 * True if a request would only wait for its deadline, as no target can be
 * reached.  One now and then is sent all the same: connections that are still
 * open may work though new ones do not.
 */
int
path_is_cut_off(struct direct *d, usec now)
{
	if (!d->path.unreachable || now - d->last_answer < SILENCE_MIN)
		return (0);
	if (now < d->next_cut_off_send)
		return (1);
	d->next_cut_off_send = now + CUT_OFF_SEND_INTERVAL;
	return (0);
}

/* Has it found out whether this host reaches the targets. */
static void
doubt(struct direct *d, usec now)
{
	if (now < d->next_doubt)
		return;
	d->next_doubt = now + DOUBT_INTERVAL;
	if (!path_is_doubted(d, now))
		d->doubted_at = now;
	reach_post_doubt(d->s->kernel);
}

/* Has another host looked for that relays. */
static void
search_host(struct direct *d, usec now)
{
	if (is_searching(d, now))
		return;
	d->path_lost_at = now;
	reach_post_via_failed(d->s->kernel, d->path.via);
}

/*
 * Handles an attempt that failed, which may be because of the way to the
 * targets.  If it went through another host, host_relays says that that one has
 * tried to reach the target.
 */
void
path_attempt_failed(
    struct direct *d, const struct attempt *a, int host_relays, usec now)
{
	if (a->path_number != d->path_number)
		return;
	if (!a->via)
		doubt(d, now);
	else if (!host_relays)
		search_host(d, now);
}

/* Forgets what was learnt of targets while they were out of reach. */
static void
forget_failures(struct direct *d)
{
	struct target_state *s;

	for (s = d->targets; s != NULL; s = s->next) {
		dest_forget_failures(&s->dest);
		s->ended = 0;
	}
	d->crashes.nended = 0;
	d->crashes.nbroken = 0;
}

/* Takes the way to the targets that was found. */
void
path_received(struct direct *d, const struct reach_path *path, usec now)
{
	int changed = strcmp(d->path.via, path->via) != 0;

	if (changed || path->unreachable || d->path.unreachable)
		forget_failures(d);
	d->path = *path;
	d->path_lost_at = 0;
	d->doubted_at = path->doubted ? now : 0;
	if (!changed)
		return;
	d->path_number++;
	d->last_answer_before = d->last_answer;
	d->last_answer = now;
}

/* Records that a target has answered. */
void
path_answered(struct direct *d, const struct attempt *a, usec now)
{
	if (a->path_number == d->path_number)
		d->last_answer = now;
	else
		d->last_answer_before = now;
}

/* True if nothing has come from any target for longer than this request should
 * take. */
static int
is_silent(const struct direct *d, const struct pending *p, usec now)
{
	const struct attempt *a = p->attempt;
	usec heard = a->path_number == d->path_number ? d->last_answer
						      : d->last_answer_before;
	usec usual = 2 * (usec)p->stats->avg_time;

	if (usual < SILENCE_MIN)
		usual = SILENCE_MIN;
	return (now - a->sent > usual && now - heard > SILENCE_MIN);
}

/* Moves an attempt of an earlier way to the present one, unless it may have run
 * and must not run again. */
static void
move_attempt(struct direct *d, struct pending *p, usec now)
{
	struct dest_answer ans = {.end = DEST_NOT_SENT};

	if (p->attempt->t.maybe_sent) {
		if (!is_silent(d, p, now) || !may_retry(p, now))
			return;
		p->ran++;
	} else
		p->tries--;
	flow_attempt_ended(d, p, &ans, now);
	log_request(log_limit_of(p), "router", p->call->id,
	    "attempt at target %s is moved to host '%s'",
	    p->attempt->target->id, d->path.via);
	retry(d, p, now);
}

/* Looks whether an attempt makes no progress because of the way to the targets.
 * The request may have been freed on return. */
void
path_check_attempt(struct direct *d, struct pending *p, usec now)
{
	const struct attempt *a = p->attempt;

	if (a->path_number != d->path_number) {
		move_attempt(d, p, now);
		return;
	}
	if (a->t.maybe_sent ? !is_silent(d, p, now)
			    : a->via || now - a->sent < CONNECT_PATIENCE)
		return;
	path_attempt_failed(d, a, 0, now);
}
