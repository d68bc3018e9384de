/* The service "peer": the connections between hosts. */
#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_portable.h>

#include "call.h"
#include "conn.h"
#include "excess.h"
#include "held.h"
#include "room.h"

/* Events that one poll returns at most. */
#define EVENTS_MAX 2048
#define TICK_INTERVAL MS(50)
/* A connection without an answer for this long is sent a ping ... */
#define PING_DELAY MS(250)
/* ... and closed after this long. */
#define SILENT_TIMEOUT MS(700)
#define CONNECT_TIMEOUT MS(700)
/* Time for the first frame of a connection that was accepted. */
#define HELLO_TIMEOUT MS(3000)
/* Delay between connection attempts to one host. */
#define CONNECT_RETRY_DELAY MS(50)
/*
 * Heartbeats and reports take a few hundred bytes: a connection that was lost
 * with this many unsent bytes or more was sending something large.
 */
#define UNSENT_NOTICE_MIN 16384

/* What is known of a host that this one connects to. */
struct peer_host {
	char name[NAME_MAX_GS];
	struct conn *conn; /* the newest that was opened, or NULL */
	usec last_attempt; /* to connect */
};

struct peer {
	apr_pool_t *pool;
	apr_pollset_t *set;
	apr_socket_t *listener;
	apr_pollfd_t listen_pfd;
	struct conn *conns;
	int naccepted; /* of conns */
	int max_accepted;
	apr_hash_t *by_id;
	apr_hash_t *by_host; /* struct peer_host; none is ever removed */
	uint64_t next_id;
	struct shared *peers;
	int any_failed; /* connections that are to be closed */
	int stop;
};

/* Informs the services that a connection was lost. */
static void
notify_down(struct service *s, const struct conn *c)
{
	static const char *const services[] = {"router", "dispatch", "control"};
	struct msg *m;
	size_t i;

	for (i = 0; i < sizeof(services) / sizeof(services[0]); i++) {
		m = msg_new(MSG_PEER_DOWN);
		if (m == NULL)
			continue;
		name_copy(m->host, sizeof(m->host), c->host);
		m->conn = c->outgoing ? 0 : c->id;
		if (kernel_send(s->kernel, services[i], m) != 0)
			msg_free(m);
	}
}

/* Updates the events that a connection is polled for. */
static void
update_events(struct peer *p, struct conn *c)
{
	apr_int16_t want = APR_POLLIN;

	if (c->connecting || c->out_pos < c->out.n)
		want |= APR_POLLOUT;
	if (c->pfd.reqevents == want)
		return;
	if (c->pfd.reqevents != 0)
		apr_pollset_remove(p->set, &c->pfd);
	c->pfd.desc_type = APR_POLL_SOCKET;
	c->pfd.desc.s = c->sock;
	c->pfd.client_data = c;
	c->pfd.reqevents = want;
	apr_pollset_add(p->set, &c->pfd);
}

/* Queues this host's hello frame. */
static void
queue_hello(struct service *s, struct conn *c, usec now)
{
	const struct conf *conf = kernel_conf(s->kernel);
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Hello h = GSPAR__HELLO__INIT;
	struct bytes b;

	h.version = FRAME_VERSION;
	h.host = (char *)conf->host;
	h.boot = kernel_boot(s->kernel);
	h.dc = (char *)conf->dc;
	f.body_case = GSPAR__FRAME__BODY_HELLO;
	f.hello = &h;
	if (frame_pack(&b, &f) == 0) {
		conn_queue(c, b.p, b.n, now);
		free(b.p);
	}
}

/* Adds a connection; owns the pool.  NULL if out of memory. */
static struct conn *
add(struct service *s, apr_socket_t *sock, apr_pool_t *pool, usec now)
{
	struct peer *p = s->state;
	struct conn *c;

	c = conn_new(sock, pool, ++p->next_id, now);
	if (c == NULL) {
		apr_pool_destroy(pool);
		return (NULL);
	}
	c->next = p->conns;
	p->conns = c;
	apr_hash_set(p->by_id, &c->id, sizeof(c->id), c);
	return (c);
}

/* Returns the address of a host, or NULL if it is not known. */
static const char *
host_address(const struct peer *p, const char *host)
{
	const struct peers *l;
	int i;

	if (p->peers == NULL)
		return (NULL);
	l = p->peers->p;
	for (i = 0; i < l->n; i++) {
		if (strcmp(l->list[i].host, host) == 0)
			return (l->list[i].addr);
	}
	return (NULL);
}

/* Returns what is known of a host, which is added if it is new; NULL if memory
 * runs out. */
static struct peer_host *
peer_host(struct peer *p, const char *name)
{
	struct peer_host *h;

	h = apr_hash_get(p->by_host, name, APR_HASH_KEY_STRING);
	if (h != NULL)
		return (h);
	h = apr_pcalloc(p->pool, sizeof(*h));
	if (h == NULL)
		return (NULL);
	name_copy(h->name, sizeof(h->name), name);
	apr_hash_set(p->by_host, h->name, APR_HASH_KEY_STRING, h);
	return (h);
}

/* Opens a connection to a host; NULL if that fails at once. */
static struct conn *
open_conn(struct service *s, const char *host, usec now)
{
	struct peer *p = s->state;
	const char *at = host_address(p, host);
	char ip[ADDR_MAX_GS];
	struct peer_host *h;
	apr_pool_t *pool;
	apr_socket_t *sock;
	apr_sockaddr_t *sa;
	struct conn *c;
	apr_status_t st;
	int port;

	if (at == NULL || addr_parse(at, ip, sizeof(ip), &port) != 0 ||
	    (h = peer_host(p, host)) == NULL ||
	    (h->last_attempt != 0 &&
		now - h->last_attempt < CONNECT_RETRY_DELAY))
		return (NULL);
	h->last_attempt = now;
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return (NULL);
	if (apr_sockaddr_info_get(&sa, ip, APR_UNSPEC, (apr_port_t)port, 0,
		pool) != APR_SUCCESS ||
	    apr_socket_create(&sock, sa->family, SOCK_STREAM, APR_PROTO_TCP,
		pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return (NULL);
	}
	c = add(s, sock, pool, now);
	if (c == NULL)
		return (NULL);
	name_copy(c->host, sizeof(c->host), host);
	c->outgoing = 1;
	h->conn = c;
	st = apr_socket_connect(sock, sa);
	if (st != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(st))
		conn_fail(c, "connection refused");
	c->connecting = st != APR_SUCCESS;
	queue_hello(s, c, now);
	return (c);
}

/* Finds a connection by id; with id 0, the newest this host opened to host. */
static struct conn *
find_conn(struct peer *p, const char *host, uint64_t id)
{
	struct peer_host *h;
	struct conn *c;

	if (id != 0)
		c = apr_hash_get(p->by_id, &id, sizeof(id));
	else {
		h = apr_hash_get(p->by_host, host, APR_HASH_KEY_STRING);
		c = h == NULL ? NULL : h->conn;
	}
	return (c == NULL || c->failed ? NULL : c);
}

/* Removes a connection from the tables. */
static void
forget_conn(struct peer *p, struct conn *c)
{
	struct peer_host *h;

	apr_hash_set(p->by_id, &c->id, sizeof(c->id), NULL);
	h = apr_hash_get(p->by_host, c->host, APR_HASH_KEY_STRING);
	if (h != NULL && h->conn == c)
		h->conn = NULL;
}

/* Informs the router that a request was not sent. */
static void
notify_unsent(struct service *s, uint64_t corr)
{
	struct msg *m;

	m = msg_new(MSG_REQUEST_UNSENT);
	if (m == NULL)
		return;
	m->corr = corr;
	if (kernel_send(s->kernel, "router", m) != 0)
		msg_free(m);
}

/* Sends a frame; if that fails for a request, informs the router. */
static void
send_msg(struct service *s, const struct msg *m, usec now)
{
	struct peer *p = s->state;
	struct conn *c;

	c = find_conn(p, m->host, m->conn);
	if (c == NULL && m->conn == 0)
		c = open_conn(s, m->host, now);
	if (c != NULL && m->state && conn_is_backlogged(c, m->bytes.n)) {
		count_add(C_PEER_HELD_UP, 1);
		return;
	}
	if (c != NULL && !c->failed &&
	    conn_queue(c, m->bytes.p, m->bytes.n, now) == 0) {
		count_add(C_PEER_OUT, 1);
		if (!c->connecting)
			conn_write(c, now);
		else if (m->corr != 0)
			conn_add_waiting(c, m->corr);
		update_events(p, c);
		p->any_failed |= c->failed;
		return;
	}
	if (m->corr != 0)
		notify_unsent(s, m->corr);
}

/* Queues a ping, or the answer to the ping in. */
static void
queue_ping(struct conn *c, const Gspar__Ping *in, int answer, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Ping ping = GSPAR__PING__INIT;
	struct bytes b;

	ping.seq = in == NULL ? 0 : in->seq;
	ping.answer = answer;
	f.body_case = GSPAR__FRAME__BODY_PING;
	f.ping = &ping;
	if (frame_pack(&b, &f) != 0)
		return;
	conn_queue(c, b.p, b.n, now);
	free(b.p);
}

/* Handles a received frame. */
static void
on_frame(void *arg, struct conn *c, Gspar__Frame *f)
{
	struct service *s = arg;
	usec now = clock_mono();

	if (f->body_case == GSPAR__FRAME__BODY_HELLO) {
		if (f->hello->version != FRAME_VERSION ||
		    !name_ok(f->hello->host, strlen(f->hello->host)))
			conn_fail(
			    c, "hello with wrong version or invalid name");
		else if (!c->outgoing) {
			name_copy(c->host, sizeof(c->host), f->hello->host);
			if (!c->hello_received)
				queue_hello(s, c, now);
		}
		c->hello_received = 1;
		frame_free(f);
		return;
	}
	if (!c->hello_received) {
		count_add(C_PEER_BAD, 1);
		conn_fail(c, "frame before hello");
		frame_free(f);
		return;
	}
	if (f->body_case == GSPAR__FRAME__BODY_PING) {
		if (!f->ping->answer) {
			queue_ping(c, f->ping, 1, now);
			c->first_unanswered = 0;
		}
		frame_free(f);
		return;
	}
	deliver_frame(s->kernel, c->host, c->outgoing ? 0 : c->id, f);
}

/* Closes the oldest of the accepted connections whose host has not named
 * itself. */
static void
fail_oldest_unknown(struct peer *p, usec now)
{
	struct excess e = {0, 0, NULL};
	struct conn *c;

	for (c = p->conns; c != NULL; c = c->next) {
		if (!c->failed && !c->outgoing && !c->hello_received)
			excess_add(
			    &e, 1, room_weight(1, now - c->opened_at), c);
	}
	c = excess_choose(&e, 0);
	if (c == NULL)
		return;
	conn_fail(c, "too many connections");
	p->any_failed = 1;
}

/* Accepts a connection; returns 0 if none is waiting. */
static int
accept_conn(struct service *s, usec now)
{
	struct peer *p = s->state;
	apr_socket_t *sock;
	apr_pool_t *pool;
	apr_status_t st;
	struct conn *c;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return (0);
	st = apr_socket_accept(&sock, p->listener, pool);
	if (st != APR_SUCCESS) {
		apr_pool_destroy(pool);
		/* No descriptor is free: the listener stays readable. */
		if (!APR_STATUS_IS_EAGAIN(st))
			fail_oldest_unknown(p, now);
		return (0);
	}
	c = add(s, sock, pool, now);
	if (c == NULL)
		return (1);
	update_events(p, c);
	p->naccepted++;
	if (p->naccepted > p->max_accepted)
		fail_oldest_unknown(p, now);
	return (1);
}

/*
 * Closes the connection whose incomplete frame has taken the most memory for
 * the longest, while memory is short.  Small frames, by which hosts control the
 * fleet, are left alone.
 */
static void
limit_input(struct service *s, usec now)
{
	struct peer *p = s->state;
	struct excess e;
	struct conn *c;

	while (!door_make_room(s->kernel, now)) {
		memset(&e, 0, sizeof(e));
		for (c = p->conns; c != NULL; c = c->next) {
			if (!c->failed && !room_is_small(c->held))
				excess_add(&e, c->held,
				    room_weight(c->held, now - c->waits_since),
				    c);
		}
		if ((c = excess_choose(&e, 0)) == NULL)
			return;
		held_sub(c->held);
		c->held = 0;
		conn_fail(c, "memory is short");
		p->any_failed = 1;
	}
}

/*
 * Detects dead connections by a ping that stays unanswered.  A device on the
 * path may have lost the state of one connection while new ones work.  No error
 * is reported then, and requests on it would wait until their deadlines.
 */
static void
check_timeouts(struct peer *p, struct conn *c, usec now)
{
	usec since;

	if (c->connecting) {
		if (now - c->opened_at > CONNECT_TIMEOUT)
			conn_fail(c, "not connected in time");
		return;
	}
	if (!c->outgoing && !c->hello_received &&
	    now - c->opened_at > HELLO_TIMEOUT) {
		conn_fail(c, "no hello in time");
		return;
	}
	if (!c->outgoing || c->first_unanswered == 0)
		return;
	since = now - c->first_unanswered;
	if (since > SILENT_TIMEOUT) {
		count_add(C_PEER_SILENT, 1);
		conn_fail(c, "silent");
	} else if (since > PING_DELAY && !c->pinged) {
		c->pinged = 1;
		queue_ping(c, NULL, 0, now);
	}
}

/* Handles one ready descriptor. */
static void
handle_ready(struct service *s, const apr_pollfd_t *d, usec now)
{
	struct conn *c = d->client_data;
	struct peer *p = s->state;

	if (c == NULL) {
		while (accept_conn(s, now))
			;
		return;
	}
	if (c->connecting && (d->rtnevents & (APR_POLLOUT | APR_POLLERR))) {
		int err = 0;
		socklen_t n = sizeof(err);
		apr_os_sock_t fd;

		apr_os_sock_get(&fd, c->sock);
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n);
		c->connecting = 0;
		if (err != 0)
			conn_fail(c, "connection refused");
		else
			c->nwaiting = 0;
	}
	if (!c->failed &&
	    (d->rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)))
		conn_read(c, now, on_frame, s);
	if (!c->failed)
		conn_write(c, now);
	if (!c->failed)
		update_events(p, c);
	p->any_failed |= c->failed;
}

/* Logs a lost connection and its unsent bytes. */
static void
log_lost(const struct conn *c)
{
	size_t unsent = c->out.n - c->out_pos;

	count_add(C_PEER_UNSENT, unsent);
	log_line(unsent < UNSENT_NOTICE_MIN ? LOG_DEBUG : LOG_NOTICE, "peer",
	    "Connection with %s lost: %s, %zu bytes not sent.",
	    c->host[0] != '\0' ? c->host : "?", c->fail_reason, unsent);
}

/* Closes failed connections, and checks and writes to the others. */
static void
sweep(struct service *s, usec now)
{
	struct peer *p = s->state;
	struct conn **at, *c;

	p->any_failed = 0;
	for (at = &p->conns; (c = *at) != NULL;) {
		if (!c->failed)
			check_timeouts(p, c, now);
		if (!c->failed) {
			conn_write(c, now);
			update_events(p, c);
		}
		if (!c->failed) {
			at = &c->next;
			continue;
		}
		if (c->hello_received)
			event_add("peer", 0, "connection with %s lost: %s",
			    c->host, c->fail_reason);
		log_lost(c);
		p->naccepted -= !c->outgoing;
		*at = c->next;
		forget_conn(p, c);
		if (c->pfd.reqevents != 0)
			apr_pollset_remove(p->set, &c->pfd);
		/* Requests that were never sent certainly have not run. */
		while (c->nwaiting > 0)
			notify_unsent(s, c->waiting_corrs[--c->nwaiting]);
		notify_down(s, c);
		conn_free(c);
	}
}

/* Handles all waiting messages. */
static void
handle_messages(struct service *s, usec now)
{
	struct peer *p = s->state;
	struct msg *m;

	while ((m = ring_get(s->in)) != NULL) {
		switch (m->kind) {
		case MSG_SEND:
			send_msg(s, m, now);
			break;
		case MSG_PEERS:
			msg_take_snapshot(m, &p->peers);
			break;
		case MSG_QUIT:
			p->stop = 1;
			break;
		default:
			break;
		}
		msg_free(m);
	}
}

/* Sends what is still queued, before the process ends. */
static void
flush(struct peer *p, usec now)
{
	struct conn *c;

	for (c = p->conns; c != NULL; c = c->next) {
		if (!c->failed && !c->connecting)
			conn_write(c, now);
	}
}

/* The service's thread. */
static void
peer_run(struct service *s)
{
	struct peer *p = s->state;
	const apr_pollfd_t *d;
	apr_int32_t i, n;
	usec now, last_sweep = 0;

	while (!p->stop) {
		n = 0;
		apr_pollset_poll(p->set, TICK_INTERVAL, &n, &d);
		now = clock_mono();
		for (i = 0; i < n; i++)
			handle_ready(s, &d[i], now);
		handle_messages(s, now);
		limit_input(s, now);
		if (p->any_failed || now - last_sweep >= TICK_INTERVAL) {
			sweep(s, now);
			last_sweep = now;
		}
	}
	flush(p, clock_mono());
}

/* Wakes the thread from its poll. */
static void
wake(void *set)
{
	apr_pollset_wakeup(set);
}

/* Prepares the service, and listens on the peers' address. */
static int
peer_open(struct service *s)
{
	const char *at = kernel_conf(s->kernel)->peers;
	char ip[ADDR_MAX_GS];
	apr_sockaddr_t *sa;
	struct peer *p;
	int port;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return (-1);
	s->state = p;
	p->max_accepted = room_peers_max(kernel_descriptors(s->kernel));
	if (apr_pool_create(&p->pool, NULL) != APR_SUCCESS ||
	    apr_pollset_create(&p->set, EVENTS_MAX, p->pool,
		APR_POLLSET_WAKEABLE) != APR_SUCCESS)
		goto bad;
	p->by_id = apr_hash_make(p->pool);
	p->by_host = apr_hash_make(p->pool);
	addr_parse(at, ip, sizeof(ip), &port);
	if (apr_sockaddr_info_get(&sa, ip, APR_UNSPEC, (apr_port_t)port, 0,
		p->pool) != APR_SUCCESS ||
	    apr_socket_create(&p->listener, sa->family, SOCK_STREAM,
		APR_PROTO_TCP, p->pool) != APR_SUCCESS)
		goto bad;
	apr_socket_opt_set(p->listener, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(p->listener, APR_SO_NONBLOCK, 1);
	if (apr_socket_bind(p->listener, sa) != APR_SUCCESS ||
	    apr_socket_listen(p->listener, SOMAXCONN) != APR_SUCCESS) {
		log_line(LOG_ERR, "peer", "Cannot listen on %s.", at);
		goto bad;
	}
	p->listen_pfd.desc_type = APR_POLL_SOCKET;
	p->listen_pfd.reqevents = APR_POLLIN;
	p->listen_pfd.desc.s = p->listener;
	apr_pollset_add(p->set, &p->listen_pfd);
	ring_set_wake(s->in, wake, p->set);
	return (0);
bad:
	if (p->pool != NULL)
		apr_pool_destroy(p->pool);
	free(p);
	return (-1);
}

/* Closes all connections and frees the service's state. */
static void
peer_close(struct service *s)
{
	struct peer *p = s->state;
	struct conn *c;

	ring_set_wake(s->in, NULL, NULL);
	while ((c = p->conns) != NULL) {
		p->conns = c->next;
		conn_close(c);
	}
	shared_unref(p->peers);
	apr_pool_destroy(p->pool);
	free(p);
}

const struct service_ops peer_service = {
    "peer", 8192, peer_open, peer_run, peer_close};
