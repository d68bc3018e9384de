/*
 * Permits of this host's requests: asks the admission host of the target, and
 * goes on without it where it does not reply.
 */
#include <string.h>

#include <xxhash.h>

#include "direct.h"

/* An admission host that does not reply within this time is passed over: a
 * reply takes a round trip, and on a busy host some tens of milliseconds. */
#define REPLY_TIMEOUT MS(150)
/* Interval at which a request that waits for a permit asks again, as the permit
 * may have been lost on the way. */
#define REPEAT_INTERVAL MS(300)

/* Returns the time until an answer to a request is late. */
static usec
aim_left(const struct pending *p, usec now)
{
	if (p->rule->aim <= 0)
		return (p->deadline - now);
	return (p->arrived + p->rule->aim - now);
}

/* Sends a request's ask, which may be answered before this returns. */
static void
send_ask(struct direct *d, struct pending *p, int host, int no_wait, usec now)
{
	struct permit_msg m;

	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_ASK;
	m.id = p->permit.id;
	name_copy(m.service, sizeof(m.service), p->svc->name);
	name_copy(m.target, sizeof(m.target), p->permit.target);
	name_copy(m.avoid, sizeof(m.avoid), p->permit.avoid);
	m.rank = p->rule->priority;
	m.no_wait = no_wait;
	m.left = p->deadline - now;
	m.aim_left = aim_left(p, now);
	m.work = (usec)p->stats->avg_time;
	p->permit.sent = now;
	admit_post(d, host, &m, now);
}

/* Asks an admission host for a request's permit; returns 0 if there is none to
 * ask. */
static int
ask(struct direct *d, struct pending *p, const struct target_state *owner,
    usec now)
{
	struct permit *m = &p->permit;
	int host, others = 0;

	if (owner != NULL) {
		m->pool = owner->pool;
		host = pool_host_of_target(d, owner, now);
	} else
		host = pool_pick(d, p, now, &m->pool, &others);
	if (host < 0 || m->asks == PERMIT_ASKS_MAX)
		return (0);
	name_copy(m->target, sizeof(m->target), owner == NULL ? "" : owner->id);
	m->id = ++d->permit_id;
	m->host = d->hosts[host].digest;
	m->asked[m->asks++] = m->host;
	m->state = PERMIT_ASKED;
	m->heard = 0;
	count_add(C_PERMIT_ASKED, 1);
	send_ask(d, p, host, others > 0 && m->asks < PERMIT_ASKS_MAX, now);
	return (1);
}

/* Tells the admission host that a permit or an ask has ended. */
static void
post_end(struct direct *d, struct pending *p, const struct dest_answer *ans,
    usec now)
{
	int host = pool_host_index(d, p->permit.host);
	struct permit_msg m;

	if (host < 0)
		return;
	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_END;
	m.id = p->permit.id;
	name_copy(m.service, sizeof(m.service), p->svc->name);
	m.answer = *ans;
	admit_post(d, host, &m, now);
}

/* Gives back a permit that was not used, or ends an ask. */
void
permit_drop(struct direct *d, struct pending *p, usec now)
{
	static const struct dest_answer unused = {.end = DEST_NOT_SENT};

	if (p->permit.state == PERMIT_GIVEN)
		count_add(C_PERMIT_UNUSED, 1);
	if (p->permit.state != PERMIT_NONE && p->permit.state != PERMIT_DENIED)
		post_end(d, p, &unused, now);
	p->permit.state = PERMIT_NONE;
}

/* Ends the permit of an attempt, with what was learnt from it; a further
 * attempt asks anew. */
void
permit_attempt_ended(struct direct *d, struct pending *p,
    const struct dest_answer *ans, usec now)
{
	if (p->permit.state == PERMIT_GIVEN)
		post_end(d, p, ans, now);
	memset(&p->permit, 0, sizeof(p->permit));
	if (p->last_target != NULL)
		name_copy(p->permit.avoid, sizeof(p->permit.avoid),
		    p->last_target->id);
}

/* True if an ask has not been answered in time. */
static int
is_unanswered(const struct permit *m, usec now)
{
	return ((m->state == PERMIT_ASKED || m->state == PERMIT_WAITING) &&
	    m->heard < m->sent && now - m->sent > REPLY_TIMEOUT);
}

/* Passes over an admission host that does not reply: the request goes without a
 * permit. */
static void
give_up(struct direct *d, struct pending *p, usec now)
{
	int host = pool_host_index(d, p->permit.host);

	if (host >= 0 && now >= d->hosts[host].silent_until) {
		rendezvous_silent(&d->hosts[host], now);
		log_line(LOG_INFO, "router",
		    "Admission host %s does not reply, passed over for %lld "
		    "ms.",
		    d->hosts[host].name,
		    (long long)((d->hosts[host].silent_until - now) / 1000));
	}
	count_add(C_PERMIT_SILENT, 1);
	permit_drop(d, p, now);
	p->permit.without = 1;
}

/* Sends a request that has its permit.  If this host can't use it, another
 * target is asked for; returns 0 if the request is to go without. */
static int
use(struct direct *d, struct pending *p, struct target_state *owner, usec now)
{
	struct permit *m = &p->permit;
	struct target_state *s = target_state_find(d, m->target);

	if (s != NULL && dest_usable(&s->dest, now) &&
	    dest_limit(&s->dest, now) < 0) {
		flow_send(
		    d, p, s, owner != NULL ? &s->queue : &p->svc->queue, now);
		return (1);
	}
	permit_drop(d, p, now);
	name_copy(m->avoid, sizeof(m->avoid), m->target);
	m->without = m->asks == PERMIT_ASKS_MAX;
	return (0);
}

/* Refuses a request that no admission host can admit in time. */
static void
refuse(struct direct *d, struct pending *p, usec now)
{
	count_add(C_PERMIT_REFUSED, 1);
	flow_fail(d, p, GS_TOO_LATE, p->permit.wait, now);
}

/* Handles a request whose ask was denied: asks another admission host if any
 * target will do, or refuses it.  Returns 0 if the request is to go without. */
static int
denied(
    struct direct *d, struct pending *p, struct target_state *owner, usec now)
{
	p->permit.state = PERMIT_NONE;
	if (owner == NULL && p->permit.asks < PERMIT_ASKS_MAX &&
	    ask(d, p, owner, now)) {
		flow_wait(p, &p->svc->queue);
		return (1);
	}
	refuse(d, p, now);
	return (1);
}

/*
 * Routes a request by a permit: asks for it, waits, sends the request or
 * refuses it.  The owner is the target that it must go to, or NULL.  Returns 0
 * if it is to be routed without one; else the request may have been freed.
 */
int
permit_route(
    struct direct *d, struct pending *p, struct target_state *owner, usec now)
{
	struct permit *m = &p->permit;
	int host;

	if (m->state != PERMIT_NONE && m->state != PERMIT_DENIED &&
	    owner != NULL && strcmp(m->target, owner->id) != 0)
		permit_drop(d, p, now);
	if (m->without || !pool_is_open(d, p, owner, now)) {
		permit_drop(d, p, now);
		return (0);
	}
	if (is_unanswered(m, now)) {
		give_up(d, p, now);
		return (0);
	}
	if (m->state == PERMIT_NONE && !ask(d, p, owner, now)) {
		m->without = 1;
		return (0);
	}
	if (m->state == PERMIT_GIVEN)
		return (use(d, p, owner, now));
	if (m->state == PERMIT_DENIED)
		return (denied(d, p, owner, now));
	if (m->state == PERMIT_WAITING && now - m->sent > REPEAT_INTERVAL &&
	    (host = pool_host_index(d, m->host)) >= 0)
		send_ask(d, p, host, 0, now);
	flow_wait(p, owner != NULL ? &owner->queue : &p->svc->queue);
	return (1);
}

/* Returns the request that an ask belongs to, or NULL. */
static struct pending *
find_request(const struct direct *d, uint64_t id)
{
	struct pending *p;

	for (p = d->first; p != NULL; p = p->next) {
		if (p->permit.id == id && p->permit.state != PERMIT_NONE &&
		    p->permit.state != PERMIT_DENIED)
			return (p);
	}
	return (NULL);
}

/* Returns a permit that came too late. */
static void
return_late(struct direct *d, const struct permit_msg *reply, usec now)
{
	const struct target_state *s = target_state_find(d, reply->target);
	int host =
	    pool_host_index(d, XXH3_64bits(reply->host, strlen(reply->host)));
	struct permit_msg m;

	if (host < 0 || s == NULL)
		return;
	count_add(C_PERMIT_UNUSED, 1);
	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_END;
	m.id = reply->id;
	name_copy(m.service, sizeof(m.service), s->service);
	m.answer.end = DEST_NOT_SENT;
	admit_post(d, host, &m, now);
}

/* Handles an admission host's reply; the request is routed by flow_pump(). */
void
permit_reply(struct direct *d, const struct permit_msg *reply, usec now)
{
	int host =
	    pool_host_index(d, XXH3_64bits(reply->host, strlen(reply->host)));
	struct pending *p = find_request(d, reply->id);
	struct permit *m;

	if (host >= 0 && reply->verdict != ADMISSION_UNKNOWN)
		rendezvous_heard(&d->hosts[host]);
	if (p == NULL || p->attempt != NULL) {
		if (p == NULL && reply->verdict == ADMISSION_GRANTED)
			return_late(d, reply, now);
		return;
	}
	m = &p->permit;
	m->heard = now;
	m->wait = reply->wait;
	pool_told(d, m, reply->wait, now);
	switch (reply->verdict) {
	case ADMISSION_GRANTED:
		m->state = PERMIT_GIVEN;
		name_copy(m->target, sizeof(m->target), reply->target);
		break;
	case ADMISSION_WAITS:
		m->state = PERMIT_WAITING;
		break;
	case ADMISSION_REFUSED:
		m->state = PERMIT_DENIED;
		break;
	case ADMISSION_UNKNOWN:
		m->state = PERMIT_NONE;
		if (host >= 0)
			rendezvous_silent(&d->hosts[host], now);
		break;
	}
}
