/*
 * This host as an admission host: receives asks and ends, and sends replies.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "direct.h"
#include "sock.h"

/* Interval at which it is updated which targets may be sent requests. */
#define UPDATE_INTERVAL MS(100)

/* Returns this host's admission to the targets of a service, or NULL if memory
 * is exhausted. */
static struct admission *
admission_of(struct service_state *v)
{
	if (v->admission == NULL &&
	    (v->admission = malloc(sizeof(*v->admission))) != NULL)
		admission_init(v->admission);
	return (v->admission);
}

/* Sends a verdict to the host that asked. */
static void
post_reply(struct direct *d, const struct admission *a,
    const struct admission_reply *r, usec now)
{
	int host = pool_host_index(d, r->host);
	struct permit_msg m;

	if (r->verdict == ADMISSION_GRANTED)
		count_add(C_ADMIT_GIVEN, 1);
	else if (r->verdict == ADMISSION_REFUSED)
		count_add(C_ADMIT_REFUSED, 1);
	if (host < 0)
		return;
	memset(&m, 0, sizeof(m));
	m.kind = PERMIT_REPLY;
	m.id = r->id;
	m.verdict = r->verdict;
	m.wait = r->wait;
	if (r->target >= 0)
		name_copy(m.target, sizeof(m.target), a->targets[r->target].id);
	admit_post(d, host, &m, now);
}

/* Refuses an ask for targets that this host does not admit to. */
static void
reply_unknown(struct direct *d, const struct permit_msg *m, usec now)
{
	struct admission_reply r = {XXH3_64bits(m->host, strlen(m->host)),
	    m->id, ADMISSION_UNKNOWN, -1, 0};

	post_reply(d, NULL, &r, now);
}

/* Returns the index of a target that is asked for, which is added if this host
 * did not admit to it: hosts that got no reply from another ask this one. */
static int
asked_target(struct direct *d, const struct service_state *v, const char *id)
{
	struct admission *a = v->admission;
	struct target_state *s = target_state_find(d, id);
	int n = admission_find(a, id);

	if (n >= 0 || s == NULL || strcmp(s->service, v->name) != 0)
		return (n);
	n = admission_target(a, id, s->dest.slots);
	if (n < 0)
		return (-1);
	s->admitted = 1;
	target_note(d, s);
	a->targets[n].open = s->listed && !s->dest.leaving;
	return (n);
}

/* Handles an ask. */
static void
receive_ask(struct direct *d, const struct permit_msg *m, usec now)
{
	struct service_state *v = NULL;
	struct admission_reply r;
	struct admission_ask q;
	struct admission *a;

	if (d->stop_plan == NULL && pool_service_known(d, m->service))
		v = service_state_get(d, m->service);
	if (v == NULL || (a = admission_of(v)) == NULL) {
		reply_unknown(d, m, now);
		return;
	}
	memset(&q, 0, sizeof(q));
	q.host = XXH3_64bits(m->host, strlen(m->host));
	q.id = m->id;
	q.rank = m->rank;
	q.no_wait = m->no_wait;
	q.arrived = now;
	q.aim_at = now + m->aim_left;
	q.deadline = now + m->left;
	q.work = m->work;
	q.target = ADMISSION_ANY;
	q.avoid =
	    m->avoid[0] == '\0' ? ADMISSION_ANY : admission_find(a, m->avoid);
	if (m->target[0] != '\0' &&
	    (q.target = asked_target(d, v, m->target)) < 0) {
		reply_unknown(d, m, now);
		return;
	}
	admission_ask(a, &q, now, &r);
	if (r.verdict == ADMISSION_WAITS)
		count_add(C_ADMIT_WAITED, 1);
	post_reply(d, a, &r, now);
}

/* Handles the end of a permit or an ask. */
static void
receive_end(struct direct *d, const struct permit_msg *m, usec now)
{
	int i;

	for (i = 0; i < d->nsvcs; i++) {
		if (strcmp(d->svcs[i].name, m->service) == 0 &&
		    d->svcs[i].admission != NULL)
			admission_end(d->svcs[i].admission,
			    XXH3_64bits(m->host, strlen(m->host)), m->id, now,
			    &m->answer);
	}
}

/* Handles a message, from this host or another. */
static void
handle(struct direct *d, const struct permit_msg *m, usec now)
{
	switch (m->kind) {
	case PERMIT_ASK:
		receive_ask(d, m, now);
		break;
	case PERMIT_REPLY:
		permit_reply(d, m, now);
		break;
	case PERMIT_END:
		receive_end(d, m, now);
		break;
	}
}

/* Sends a message to a host.  One that is lost is made up for by the next ask,
 * and by the permit's lapse. */
void
admit_post(struct direct *d, int host, struct permit_msg *m, usec now)
{
	uint8_t buf[PERMIT_FRAME_MAX];
	size_t n;

	name_copy(m->host, sizeof(m->host), kernel_conf(d->s->kernel)->host);
	if (host == d->self) {
		handle(d, m, now);
		return;
	}
	n = permit_pack(m, buf, sizeof(buf));
	if (n == 0 ||
	    sock_send_datagram(d->permit_fd, d->hosts[host].addr, buf, n) != 0)
		return;
	count_add(C_PERMIT_BYTES, n);
}

/* Receives the datagrams that have come. */
void
admit_receive(struct direct *d, usec now)
{
	uint8_t buf[PERMIT_FRAME_MAX];
	struct permit_msg m;
	ssize_t n;

	while (d->permit_fd >= 0 &&
	    (n = recv(d->permit_fd, buf, sizeof(buf), MSG_DONTWAIT)) >= 0) {
		if (permit_unpack(&m, buf, (size_t)n) != 0)
			count_add(C_PERMIT_BAD, 1);
		else
			handle(d, &m, now);
	}
}

/* Opens or closes a target that this host admits to.  Requests that any target
 * can serve get only those that no other host admits to. */
static void
update_target(struct direct *d, struct target_state *s, usec now)
{
	struct service_state *v = service_state_get(d, s->service);
	struct admission *a = v == NULL ? NULL : admission_of(v);
	int n;

	if (a == NULL)
		return;
	n = s->mine ? admission_target(a, s->id, s->dest.slots)
		    : admission_find(a, s->id);
	s->admitted = n >= 0;
	if (n < 0)
		return;
	a->targets[n].open = s->listed && !s->replaced &&
	    !dest_closed(&s->dest, now) && dest_limit(&s->dest, now) < 0;
	a->targets[n].shared = s->mine;
	a->targets[n].dest.cold_until = s->dest.cold_until;
}

/* Updates which targets this host admits to. */
void
admit_update(struct direct *d, usec now)
{
	struct target_state *s;
	int i;

	if (now < d->next_admission_update || d->npools == 0)
		return;
	d->next_admission_update = now + UPDATE_INTERVAL;
	for (i = 0; i < d->nsvcs; i++) {
		if (d->svcs[i].admission != NULL)
			admission_sweep(d->svcs[i].admission);
	}
	for (s = d->noted; s != NULL; s = s->next_noted) {
		if (s->mine || s->admitted)
			update_target(d, s, now);
	}
}

/* Sends the replies that have become due. */
void
admit_tick(struct direct *d, usec now)
{
	struct admission_reply r;
	struct admission *a;
	int i;

	for (i = 0; i < d->nsvcs; i++) {
		if ((a = d->svcs[i].admission) == NULL)
			continue;
		while (d->stop_plan != NULL ? admission_drain(a, &r)
					    : admission_next(a, now, &r))
			post_reply(d, a, &r, now);
	}
}
