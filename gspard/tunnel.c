/*
 * The service that relays connections to targets for hosts that are cut off
 * from them.  The bytes are passed on unread: which requests are sent, and to
 * which targets, stays the decision of the other host.
 */
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>

#include "delivery.h"
#include "fleet.h"
#include "gspard.h"
#include "linger.h"
#include "reach_probe.h"
#include "reach.h"
#include "room.h"
#include "sock.h"
#include "transfer.h"
#include "tunnel.h"

/* Connections accepted beyond the limit on tunnels, which are still to be
 * refused. */
#define REFUSED_MAX 64
#define BACKLOG 256
/* Unsent bytes of each direction. */
#define BUFFER_SIZE 16384
/* Reads of one connection before others get their turn. */
#define READS_MAX 4
#define HEAD_TIMEOUT MS(1000)
#define CONNECT_TIMEOUT MS(250)
/* During a stop, tunnels are closed after this time without a byte if the last
 * one came from the target: most likely no request is in progress there. */
#define STOP_IDLE MS(100)
/* Interval of checking timeouts while there are any. */
#define TICK_INTERVAL MS(50)

enum side { HOST, TARGET };

enum tunnel_state {
	TUNNEL_HEAD,	   /* the request is read */
	TUNNEL_CONNECTING, /* the target is connected */
	TUNNEL_OPEN,
	TUNNEL_CLOSING, /* the last bytes are sent to the host */
	TUNNEL_CLOSED	/* to be freed */
};

/* One of the two connections of a tunnel. */
struct tunnel_end {
	int fd; /* -1 if there is none */
	apr_pollfd_t poll;
	struct str out; /* unsent bytes */
	size_t out_pos;
};

struct tunnel {
	struct tunnel *next;
	apr_pool_t *pool;
	enum tunnel_state state;
	struct tunnel_end ends[2];
	char head[TUNNEL_HEAD_SIZE];
	size_t nhead;
	char target[ADDR_MAX_GS];
	usec since; /* when the state was entered */
	usec last_byte;
	enum side last_from;
	struct delivery delivery; /* of the last bytes to the host */
	int broken;		  /* the target has reset its connection */
};

struct tunnel_service {
	apr_pool_t *pool;
	apr_pollset_t *set;
	int listener;
	apr_pollfd_t listen_poll;
	struct tunnel *tunnels;
	_Atomic int ntunnels;
	int max; /* a host that is cut off asks another one beyond this */
	struct shared *fleet;
	struct reach_path path; /* of this host */
	struct linger_list *linger;
	int stopping;
	int stop;
};

/* Enters a state. */
static void
set_state(struct tunnel *t, enum tunnel_state state, usec now)
{
	t->state = state;
	t->since = now;
}

/* Closes both connections by resets.  What the host has sent and the target has
 * not received is discarded, and the host cannot take the answer so far for a
 * complete one. */
static void
abort_tunnel(struct tunnel *t, usec now)
{
	set_state(t, TUNNEL_CLOSED, now);
}

/* Returns the unsent bytes of a direction. */
static size_t
buffered(const struct tunnel_end *e)
{
	return (e->out.n - e->out_pos);
}

/* True if a direction has unsent bytes. */
static int
has_unsent(const struct tunnel_end *e)
{
	return (buffered(e) > 0);
}

/* Returns the bytes that have not reached the host. */
static int
undelivered(const struct tunnel *t)
{
	const struct tunnel_end *e = &t->ends[HOST];

	return ((int)buffered(e) + sock_unsent(e->fd));
}

/* Ends a tunnel once the host has the last bytes. */
static void
begin_close(struct tunnel *t, usec now)
{
	set_state(t, TUNNEL_CLOSING, now);
	delivery_begin(&t->delivery, undelivered(t), now);
}

/* Sends unsent bytes; returns 0, or -1 if the connection is lost. */
static int
flush(struct tunnel_end *e)
{
	ssize_t n;

	while (has_unsent(e)) {
		n = send(e->fd, e->out.p + e->out_pos, e->out.n - e->out_pos,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return (errno == EAGAIN ? 0 : -1);
		e->out_pos += (size_t)n;
	}
	str_free(&e->out);
	memset(&e->out, 0, sizeof(e->out));
	e->out_pos = 0;
	return (0);
}

/* Queues bytes and sends what fits; returns 0 or -1. */
static int
queue_bytes(struct tunnel_end *e, const char *p, size_t n)
{
	if (str_add(&e->out, p, n) != 0)
		return (-1);
	return (flush(e));
}

/* Answers a request that cannot be served, and closes. */
static void
refuse(struct tunnel *t, int status, usec now)
{
	char text[TUNNEL_REPLY_SIZE];
	int n = tunnel_reply(text, sizeof(text), status);

	if (queue_bytes(&t->ends[HOST], text, (size_t)n) != 0)
		abort_tunnel(t, now);
	else
		begin_close(t, now);
}

/* True if an address is that of a target. */
static int
is_target(const struct tunnel_service *v, const char *addr)
{
	const struct fleet *f = v->fleet == NULL ? NULL : v->fleet->p;
	int i;

	for (i = 0; f != NULL && i < f->ntargets; i++) {
		if (!f->targets[i].gone &&
		    strcmp(f->targets[i].addr, addr) == 0)
			return (1);
	}
	return (0);
}

/* Prepares one of the two connections. */
static int
set_end(struct tunnel *t, enum side side, int fd)
{
	struct tunnel_end *e = &t->ends[side];

	e->fd = fd;
	e->poll.desc_type = APR_POLL_SOCKET;
	e->poll.client_data = t;
	transfer_set_keepalive(NULL, fd, CURLSOCKTYPE_IPCXN);
	return (apr_os_sock_put(&e->poll.desc.s, &fd, t->pool) == APR_SUCCESS
		? 0
		: -1);
}

/* Connects the target of a request, or refuses it. */
static void
connect_target(struct service *s, struct tunnel *t, usec now)
{
	struct tunnel_service *v = s->state;
	int fd;

	/* One other host at most relays: two that are cut off would relay to
	 * each other. */
	if (v->stopping || v->path.via[0] != '\0' || v->ntunnels > v->max) {
		refuse(t, TUNNEL_UNAVAILABLE, now);
		return;
	}
	if (!is_target(v, t->target)) {
		refuse(t, TUNNEL_REFUSED, now);
		return;
	}
	fd = sock_connect(t->target, kernel_conf(s->kernel)->source);
	if (fd < 0 || set_end(t, TARGET, fd) != 0) {
		refuse(t, TUNNEL_REFUSED, now);
		return;
	}
	set_state(t, TUNNEL_CONNECTING, now);
}

/* Reads the request of a host. */
static void
read_head(struct service *s, struct tunnel *t, usec now)
{
	ssize_t n = recv(t->ends[HOST].fd, t->head + t->nhead,
	    sizeof(t->head) - t->nhead, MSG_DONTWAIT);
	int res;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		abort_tunnel(t, now);
		return;
	}
	t->nhead += (size_t)n;
	res =
	    tunnel_parse_head(t->head, t->nhead, t->target, sizeof(t->target));
	if (res < 0)
		refuse(t, TUNNEL_BAD_REQUEST, now);
	else if (res == 0)
		connect_target(s, t, now);
}

/* Handles the end of connecting the target. */
static void
target_connected(struct service *s, struct tunnel *t, usec now)
{
	char text[TUNNEL_REPLY_SIZE];
	int n;

	if (sock_error(t->ends[TARGET].fd) != 0) {
		reach_post_doubt(s->kernel);
		refuse(t, TUNNEL_REFUSED, now);
		return;
	}
	count_add(C_TUNNELS, 1);
	set_state(t, TUNNEL_OPEN, now);
	t->last_byte = now;
	t->last_from = TARGET;
	n = tunnel_reply(text, sizeof(text), TUNNEL_OK);
	if (queue_bytes(&t->ends[HOST], text, (size_t)n) != 0)
		abort_tunnel(t, now);
}

/*
 * Handles the end of the bytes from one side, which may be a reset.  The host
 * needs all that the target has sent; the target must stop working for a host
 * that has closed.
 */
static void
end_of_bytes(struct tunnel *t, enum side from, int is_reset, usec now)
{
	if (from == HOST) {
		abort_tunnel(t, now);
		return;
	}
	t->broken = is_reset;
	begin_close(t, now);
}

/*
 * Passes bytes on from one side to the other, as many as it takes at once.  A
 * host that has reset its connection has given up what it sent before: after a
 * pause of this host an order would come into force late.
 */
static void
pass_on(struct tunnel *t, enum side from, usec now)
{
	struct tunnel_end *to = &t->ends[!from];
	char buf[BUFFER_SIZE];
	ssize_t n;
	int i;

	for (i = 0; i < READS_MAX && !has_unsent(to); i++) {
		n = recv(t->ends[from].fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			end_of_bytes(t, from, n < 0, now);
			return;
		}
		if (from == HOST && sock_is_closed(t->ends[HOST].fd)) {
			abort_tunnel(t, now);
			return;
		}
		if (queue_bytes(to, buf, (size_t)n) != 0) {
			end_of_bytes(t, !from, 1, now);
			return;
		}
		t->last_byte = now;
		t->last_from = from;
		count_add(C_TUNNEL_BYTES, (uint64_t)n);
		if (n < (ssize_t)sizeof(buf))
			return;
	}
}

/* Polls a connection for other events. */
static void
set_poll(struct tunnel_service *v, struct tunnel_end *e, apr_int16_t want)
{
	if (want == e->poll.reqevents)
		return;
	if (e->poll.reqevents != 0)
		apr_pollset_remove(v->set, &e->poll);
	e->poll.reqevents = want;
	if (want != 0)
		apr_pollset_add(v->set, &e->poll);
}

/* Completes the close of a tunnel once all is sent.  A reset of the target is
 * passed on, or the host would take an answer without a length for complete;
 * but only when the host has received what came before. */
static void
finish_close(struct tunnel_service *v, struct tunnel *t, usec now)
{
	struct tunnel_end *e = &t->ends[HOST];

	if (flush(e) != 0) {
		abort_tunnel(t, now);
		return;
	}
	if (has_unsent(e) || (t->broken && sock_unsent(e->fd) > 0))
		return;
	if (t->broken) {
		abort_tunnel(t, now);
		return;
	}
	set_poll(v, e, 0);
	linger_add(v->linger, e->fd, sock_unsent(e->fd), now);
	e->fd = -1;
	set_state(t, TUNNEL_CLOSED, now);
}

/* Handles events of one of the two connections. */
static void
handle_end(
    struct service *s, struct tunnel *t, enum side side, int events, usec now)
{
	struct tunnel_end *e = &t->ends[side];

	switch (t->state) {
	case TUNNEL_HEAD:
		read_head(s, t, now);
		break;
	case TUNNEL_CONNECTING:
		if (side == TARGET)
			target_connected(s, t, now);
		else if (sock_is_closed(e->fd))
			abort_tunnel(t, now);
		break;
	case TUNNEL_OPEN:
		if (flush(e) != 0)
			end_of_bytes(t, side, 1, now);
		else if (events & APR_POLLIN)
			pass_on(t, side, now);
		else if (events & (APR_POLLERR | APR_POLLHUP))
			end_of_bytes(t, side, 1, now);
		break;
	case TUNNEL_CLOSING:
		if (side == HOST)
			finish_close(s->state, t, now);
		break;
	case TUNNEL_CLOSED:
		break;
	}
}

/* Returns the events that a connection is to be polled for. */
static apr_int16_t
wanted_events(const struct tunnel *t, enum side side)
{
	const struct tunnel_end *e = &t->ends[side];
	apr_int16_t want = 0;

	if (e->fd < 0 || t->state == TUNNEL_CLOSED)
		return (0);
	if (t->state == TUNNEL_CONNECTING)
		return (side == TARGET ? APR_POLLOUT : APR_POLLIN);
	if (t->state == TUNNEL_CLOSING)
		return (side == HOST && has_unsent(e) ? APR_POLLOUT : 0);
	if (has_unsent(e))
		want |= APR_POLLOUT;
	if (!has_unsent(&t->ends[!side]))
		want |= APR_POLLIN;
	return (want);
}

/* Updates what the connections of a tunnel are polled for. */
static void
update_polls(struct tunnel_service *v, struct tunnel *t)
{
	int side;

	for (side = HOST; side <= TARGET; side++)
		set_poll(v, &t->ends[side], wanted_events(t, (enum side)side));
}

/* Frees a tunnel that is not polled any more.  The connection to a host is left
 * only if the tunnel was aborted. */
static void
free_tunnel(struct tunnel_service *v, struct tunnel *t)
{
	int side;

	for (side = HOST; side <= TARGET; side++) {
		if (t->ends[side].fd >= 0)
			sock_close_reset(t->ends[side].fd);
		str_free(&t->ends[side].out);
	}
	apr_pool_destroy(t->pool);
	free(t);
	v->ntunnels--;
}

/* Accepts a connection of another host. */
static void
accept_host(struct service *s, usec now)
{
	struct tunnel_service *v = s->state;
	struct tunnel *t;
	int fd;

	while ((fd = accept4(v->listener, NULL, NULL,
		    SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		t = v->ntunnels >= v->max + REFUSED_MAX ? NULL
							: calloc(1, sizeof(*t));
		if (t == NULL ||
		    apr_pool_create(&t->pool, NULL) != APR_SUCCESS) {
			free(t);
			close(fd);
			continue;
		}
		t->ends[TARGET].fd = -1;
		t->next = v->tunnels;
		v->tunnels = t;
		v->ntunnels++;
		set_state(t, TUNNEL_HEAD, now);
		if (set_end(t, HOST, fd) != 0)
			abort_tunnel(t, now);
		update_polls(v, t);
	}
}

/*
 * True if a tunnel seems to have no request in progress and the host has
 * received all that the target sent.  The target may still be amid an answer,
 * and one without a length ends with its connection, so such a tunnel is closed
 * by a reset.
 */
static int
is_idle(const struct tunnel *t, usec now)
{
	return (t->last_from == TARGET && now - t->last_byte > STOP_IDLE &&
	    !has_unsent(&t->ends[HOST]) && sock_unsent(t->ends[HOST].fd) == 0);
}

/* Handles what takes too long; returns true if the state has a timeout. */
static int
check_timeout(struct service *s, struct tunnel *t, usec now)
{
	struct tunnel_service *v = s->state;
	usec age = now - t->since;

	switch (t->state) {
	case TUNNEL_HEAD:
		if (age > HEAD_TIMEOUT)
			abort_tunnel(t, now);
		return (1);
	case TUNNEL_CONNECTING:
		if (age > CONNECT_TIMEOUT) {
			reach_post_doubt(s->kernel);
			refuse(t, TUNNEL_TIMEOUT, now);
		}
		return (1);
	case TUNNEL_CLOSING:
		if (delivery_check(&t->delivery, undelivered(t), now) ==
		    DELIVERY_FAILED)
			abort_tunnel(t, now);
		return (1);
	case TUNNEL_OPEN:
		if (v->stopping && is_idle(t, now))
			abort_tunnel(t, now);
		return (v->stopping);
	case TUNNEL_CLOSED:
		break;
	}
	return (0);
}

/* Frees closed tunnels and checks the timeouts of the others; returns true if
 * there are any. */
static int
sweep(struct service *s, usec now)
{
	struct tunnel_service *v = s->state;
	struct tunnel **at = &v->tunnels, *t;
	int timed = 0;

	while ((t = *at) != NULL) {
		timed |= check_timeout(s, t, now);
		if (t->state == TUNNEL_CLOSING)
			finish_close(v, t, now);
		update_polls(v, t);
		if (t->state != TUNNEL_CLOSED) {
			at = &t->next;
			continue;
		}
		*at = t->next;
		free_tunnel(v, t);
	}
	return (timed);
}

/* Handles all waiting messages. */
static void
handle_messages(struct service *s)
{
	struct tunnel_service *v = s->state;
	struct msg *m;

	while ((m = ring_get(s->in)) != NULL) {
		switch (m->kind) {
		case MSG_FLEET:
			msg_take_snapshot(m, &v->fleet);
			break;
		case MSG_REACH:
			v->path = *(struct reach_path *)m->data;
			break;
		case MSG_STOP:
			v->stopping = 1;
			break;
		case MSG_QUIT:
			v->stop = 1;
			break;
		default:
			break;
		}
		msg_free(m);
	}
}

/* Handles one ready descriptor. */
static void
handle_ready(struct service *s, const apr_pollfd_t *d, usec now)
{
	struct tunnel_service *v = s->state;
	struct tunnel *t = d->client_data;
	enum side side;

	if (t == NULL) {
		accept_host(s, now);
		return;
	}
	side = d->desc.s == t->ends[TARGET].poll.desc.s ? TARGET : HOST;
	handle_end(s, t, side, d->rtnevents, now);
	update_polls(v, t);
}

/* Runs the service's thread until MSG_QUIT. */
static void
tunnel_run(struct service *s)
{
	struct tunnel_service *v = s->state;
	const apr_pollfd_t *d;
	apr_int32_t i, n;
	int timed = 0;
	usec now;

	while (!v->stop) {
		n = 0;
		apr_pollset_poll(v->set, timed ? TICK_INTERVAL : -1, &n, &d);
		now = clock_mono();
		for (i = 0; i < n; i++)
			handle_ready(s, &d[i], now);
		handle_messages(s);
		timed = sweep(s, now);
	}
}

/* Wakes the thread from its poll. */
static void
wake(void *set)
{
	apr_pollset_wakeup(set);
}

/* Returns the number of connections that are relayed, idle ones among them. */
int
tunnel_count(struct kernel *k)
{
	const struct service *s = kernel_find(k, "tunnel");
	const struct tunnel_service *v = s == NULL ? NULL : s->state;

	return (v == NULL ? 0 : v->ntunnels);
}

/* Listens for other hosts; returns 0 or -1. */
static int
listen_hosts(struct service *s)
{
	struct tunnel_service *v = s->state;
	const char *at = kernel_conf(s->kernel)->tunnel;
	apr_os_sock_t fd;

	if (at[0] == '\0')
		return (0);
	fd = v->listener = sock_bind(at);
	if (fd < 0 || sock_set_nonblocking(fd) != 0 ||
	    listen(fd, BACKLOG) != 0 ||
	    apr_os_sock_put(&v->listen_poll.desc.s, &fd, v->pool) !=
		APR_SUCCESS) {
		log_line(LOG_ERR, "tunnel", "Cannot listen on %s.", at);
		return (-1);
	}
	v->listen_poll.desc_type = APR_POLL_SOCKET;
	v->listen_poll.reqevents = APR_POLLIN;
	apr_pollset_add(v->set, &v->listen_poll);
	return (0);
}

/* Opens the service; 0, or -1 on failure. */
static int
tunnel_open(struct service *s)
{
	struct tunnel_service *v;

	v = calloc(1, sizeof(*v));
	if (v == NULL)
		return (-1);
	s->state = v;
	v->listener = -1;
	v->linger = linger_find(s->kernel);
	v->max = room_tunnels_max(kernel_descriptors(s->kernel));
	if (apr_pool_create(&v->pool, NULL) == APR_SUCCESS &&
	    apr_pollset_create(&v->set,
		(apr_uint32_t)(2 * (v->max + REFUSED_MAX)), v->pool,
		APR_POLLSET_WAKEABLE) == APR_SUCCESS &&
	    listen_hosts(s) == 0) {
		ring_set_wake(s->in, wake, v->set);
		return (0);
	}
	if (v->listener >= 0)
		close(v->listener);
	if (v->pool != NULL)
		apr_pool_destroy(v->pool);
	free(v);
	return (-1);
}

/* Closes all connections and frees the service's state. */
static void
tunnel_close(struct service *s)
{
	struct tunnel_service *v = s->state;
	struct tunnel *t;

	ring_set_wake(s->in, NULL, NULL);
	while ((t = v->tunnels) != NULL) {
		v->tunnels = t->next;
		free_tunnel(v, t);
	}
	if (v->listener >= 0)
		close(v->listener);
	shared_unref(v->fleet);
	apr_pool_destroy(v->pool);
	free(v);
}

const struct service_ops tunnel_service = {
    "tunnel", 1024, tunnel_open, tunnel_run, tunnel_close};
