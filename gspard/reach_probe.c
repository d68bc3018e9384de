/*
 * The service that finds out whether this host reaches the targets, when other
 * services doubt it: opens the connections that decide/reach.c asks for, and
 * publishes what follows from them.
 */
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gspard.h"
#include "reach.h"
#include "reach_probe.h"
#include "sock.h"
#include "tunnel.h"

/* All probes of a round. */
#define PROBES_MAX (REACH_TARGETS_MAX + REACH_TRIES_MAX)
/* A new connection that is still open after this time is not one that was
 * accepted only to be reset. */
#define HOLD_TIME MS(30)
/* Longest wait without a message; nothing happens at its end. */
#define IDLE_WAIT MS(60000)

enum probe_state { PROBE_UNUSED, PROBE_CONNECTING, PROBE_ASKED, PROBE_HELD };

/* A connection to a target, or through another host to one. */
struct target_probe {
	enum probe_state state;
	int fd;
	char host[NAME_MAX_GS]; /* "" if to the target itself */
	char target[FLEET_ADDR];
	char reply[TUNNEL_REPLY_SIZE];
	size_t nreply;
	usec held_until;
};

struct reach_service {
	struct reach reach;
	struct reach_host *hosts;
	struct shared *fleet;
	struct target_probe probes[PROBES_MAX];
	uint64_t round; /* of the probes */
	int targets[REACH_TARGETS_MAX];
	int ntargets;
	int next_target;
	uint64_t verdicts; /* number of those published */
	uint64_t seed;
	int stop;
};

/* Tells the service that a connection to a target failed, or that nothing comes
 * from any target. */
void
reach_post_doubt(struct kernel *k)
{
	msg_post(k, "reach", MSG_REACH_DOUBTED, NULL, NULL);
}

/* Tells the service that a host does not relay. */
void
reach_post_via_failed(struct kernel *k, const char *host)
{
	struct msg *m = msg_new(MSG_REACH_VIA_FAILED);

	if (m == NULL)
		return;
	name_copy(m->host, sizeof(m->host), host);
	if (kernel_send(k, "reach", m) != 0)
		msg_free(m);
}

/* Returns a random number. */
static uint64_t
next_random(struct reach_service *v)
{
	v->seed = v->seed * 6364136223846793005u + 1442695040888963407u;
	return (v->seed >> 33);
}

/* Closes a probe. */
static void
close_probe(struct target_probe *p)
{
	if (p->state == PROBE_UNUSED)
		return;
	close(p->fd);
	p->state = PROBE_UNUSED;
}

/* Closes all probes. */
static void
close_probes(struct reach_service *v)
{
	int i;

	for (i = 0; i < PROBES_MAX; i++)
		close_probe(&v->probes[i]);
}

/* Ends a probe with its result. */
static void
probe_done(
    struct reach_service *v, struct target_probe *p, int reached, usec now)
{
	if (p->host[0] == '\0')
		reach_target_done(&v->reach, reached);
	else
		reach_host_done(&v->reach, p->host, reached, now);
	close_probe(p);
}

/* Returns the address of the next target of the round, or NULL if there is
 * none. */
static const char *
next_target(struct reach_service *v)
{
	const struct fleet *f = v->fleet == NULL ? NULL : v->fleet->p;

	if (v->round != v->reach.round_number) {
		close_probes(v);
		v->round = v->reach.round_number;
		v->ntargets = reach_choose_targets(
		    f, next_random(v), v->targets, REACH_TARGETS_MAX);
		v->next_target = 0;
	}
	if (v->ntargets == 0)
		return (NULL);
	return (f->targets[v->targets[v->next_target++ % v->ntargets]].addr);
}

/* Starts a probe of the next target, through a host unless that is NULL. */
static void
start_probe(struct service *s, const struct reach_host *host, usec now)
{
	struct reach_service *v = s->state;
	const char *target = next_target(v);
	struct target_probe *p = v->probes;

	while (p->state != PROBE_UNUSED)
		p++;
	memset(p, 0, sizeof(*p));
	name_copy(p->host, sizeof(p->host), host == NULL ? "" : host->name);
	name_copy(p->target, sizeof(p->target), target == NULL ? "" : target);
	p->fd = target == NULL ? -1
	    : host == NULL
	    ? sock_connect(target, kernel_conf(s->kernel)->source)
	    : sock_connect(host->addr, "");
	if (p->fd < 0) {
		probe_done(v, p, 0, now);
		return;
	}
	p->state = PROBE_CONNECTING;
}

/* Continues a probe whose connection is established; for one through a host,
 * asks for the target. */
static void
probe_connected(struct reach_service *v, struct target_probe *p, usec now)
{
	char head[TUNNEL_HEAD_SIZE];
	int n;

	if (sock_error(p->fd) != 0) {
		probe_done(v, p, 0, now);
		return;
	}
	if (p->host[0] == '\0') {
		p->state = PROBE_HELD;
		p->held_until = now + HOLD_TIME;
		return;
	}
	n = tunnel_head(head, sizeof(head), p->target);
	if (send(p->fd, head, (size_t)n, MSG_NOSIGNAL) != n)
		probe_done(v, p, 0, now);
	else
		p->state = PROBE_ASKED;
}

/* Reads the answer of a host that was asked for a target. */
static void
read_reply(struct reach_service *v, struct target_probe *p, usec now)
{
	ssize_t n = recv(p->fd, p->reply + p->nreply,
	    sizeof(p->reply) - p->nreply, MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0)
		p->nreply += (size_t)n;
	if (n > 0 && !tunnel_reply_complete(p->reply, p->nreply))
		return;
	if (n <= 0 || !tunnel_reply_ok(p->reply, p->nreply)) {
		probe_done(v, p, 0, now);
		return;
	}
	p->state = PROBE_HELD;
	p->held_until = now + HOLD_TIME;
}

/* Continues a probe. */
static void
probe_tick(struct reach_service *v, struct target_probe *p, int ready, usec now)
{
	if (p->state == PROBE_CONNECTING && ready)
		probe_connected(v, p, now);
	else if (p->state == PROBE_ASKED && ready)
		read_reply(v, p, now);
	else if (p->state == PROBE_HELD && sock_is_closed(p->fd))
		probe_done(v, p, 0, now);
	else if (p->state == PROBE_HELD && now >= p->held_until)
		probe_done(v, p, 1, now);
}

/* Waits until a probe has a result or time is over, and continues all. */
static void
poll_probes(struct reach_service *v, usec timeout)
{
	struct pollfd fds[PROBES_MAX];
	struct target_probe *p;
	int i, ready;
	usec now;

	for (i = 0; i < PROBES_MAX; i++) {
		p = &v->probes[i];
		fds[i].fd = p->state == PROBE_UNUSED || p->state == PROBE_HELD
		    ? -1
		    : p->fd;
		fds[i].events = p->state == PROBE_CONNECTING ? POLLOUT : POLLIN;
		fds[i].revents = 0;
	}
	ready = poll(fds, PROBES_MAX, (int)(timeout / 1000));
	now = clock_mono();
	for (i = 0; i < PROBES_MAX; i++)
		probe_tick(
		    v, &v->probes[i], ready > 0 && fds[i].revents != 0, now);
}

/* Logs a change of the way to the targets. */
static void
log_path(const struct reach_path *was, const struct reach_path *p)
{
	if (strcmp(was->via, p->via) == 0 && was->unreachable == p->unreachable)
		return;
	if (p->via[0] != '\0')
		log_line(LOG_WARNING, "reach",
		    "This host is cut off from the targets, reaching them "
		    "through host %s.",
		    p->via);
	else if (p->unreachable)
		log_line(LOG_WARNING, "reach",
		    "No target can be reached, nor through another host.");
	else
		log_line(LOG_NOTICE, "reach",
		    "Reaching the targets directly again.");
	event_add("reach", 0, "targets reached through '%s'", p->via);
}

/* Sends the way to the targets to a service. */
static void
send_path(struct service *s, const char *to, const struct reach_path *path)
{
	struct reach_path *copy = malloc(sizeof(*copy));

	if (copy == NULL)
		return;
	*copy = *path;
	msg_post(s->kernel, to, MSG_REACH, copy, free);
}

/* Does what the decisions ask for, and publishes their result. */
static void
step(struct service *s, usec now)
{
	struct reach_service *v = s->state;
	struct reach_path was = v->reach.path;
	const struct reach_host *host = NULL;
	enum reach_action a;

	while ((a = reach_next(&v->reach, now, &host)) != REACH_WAIT)
		start_probe(s, a == REACH_TRY_HOST ? host : NULL, now);
	if (v->reach.round == REACH_IDLE)
		close_probes(v);
	if (v->verdicts == v->reach.verdicts)
		return;
	v->verdicts = v->reach.verdicts;
	log_path(&was, &v->reach.path);
	send_path(s, "router", &v->reach.path);
	send_path(s, "control", &v->reach.path);
	send_path(s, "tunnel", &v->reach.path);
}

/* Takes the other hosts and the addresses at which they relay. */
static void
take_hosts(struct service *s, const struct peers *l)
{
	struct reach_service *v = s->state;
	const char *self = kernel_conf(s->kernel)->host;
	struct reach_host *list, *h;
	int i, n = 0;

	list = calloc((size_t)l->n + 1, sizeof(*list));
	if (list == NULL)
		return;
	for (i = 0; i < l->n; i++) {
		if (l->list[i].tunnel[0] == '\0' ||
		    strcmp(l->list[i].host, self) == 0)
			continue;
		h = &list[n++];
		name_copy(h->name, sizeof(h->name), l->list[i].host);
		name_copy(h->addr, sizeof(h->addr), l->list[i].tunnel);
		name_copy(h->dc, sizeof(h->dc), l->list[i].dc);
	}
	reach_set_hosts(&v->reach, list, n);
	free(v->hosts);
	v->hosts = list;
}

/* Handles one message. */
static void
handle_message(struct service *s, struct msg *m, usec now)
{
	struct reach_service *v = s->state;

	switch (m->kind) {
	case MSG_FLEET:
		msg_take_snapshot(m, &v->fleet);
		break;
	case MSG_PEERS:
		take_hosts(s, ((struct shared *)m->data)->p);
		break;
	case MSG_REACH_DOUBTED:
		reach_doubt(&v->reach);
		break;
	case MSG_REACH_VIA_FAILED:
		reach_via_failed(&v->reach, m->host, now);
		break;
	case MSG_QUIT:
		v->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* Waits for a message, or during a round for its probes. */
static struct msg *
wait_message(struct service *s)
{
	struct reach_service *v = s->state;
	usec timeout = reach_timeout(&v->reach, clock_mono());

	if (v->reach.round == REACH_IDLE)
		return (ring_wait(s->in, timeout < 0 ? IDLE_WAIT : timeout));
	poll_probes(v, timeout);
	return (ring_get(s->in));
}

/* Runs the service's thread until MSG_QUIT. */
static void
reach_run(struct service *s)
{
	struct reach_service *v = s->state;
	struct msg *m;

	while (!v->stop) {
		m = wait_message(s);
		if (m != NULL)
			handle_message(s, m, clock_mono());
		step(s, clock_mono());
	}
}

/* Initializes the service; returns 0, or -1 if memory runs out. */
static int
reach_open(struct service *s)
{
	struct reach_service *v;

	v = calloc(1, sizeof(*v));
	if (v == NULL)
		return (-1);
	s->state = v;
	v->seed = kernel_boot(s->kernel);
	reach_init(&v->reach, kernel_conf(s->kernel)->dc, v->seed);
	return (0);
}

/* Frees the service's state. */
static void
reach_close(struct service *s)
{
	struct reach_service *v = s->state;

	close_probes(v);
	free(v->hosts);
	shared_unref(v->fleet);
	free(v);
}

const struct service_ops reach_service = {
    "reach", 4096, reach_open, reach_run, reach_close};
