/* The service "door": the HTTP server for callers. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_thread_mutex.h>

#include <apr_general.h>

#include "sock.h"
#include "caller.h"
#include "callers.h"
#include "door_ops.h"
#include "fields.h"
#include "held.h"
#include "intake.h"
#include "room.h"

/* Idle timeout of a connection until the site configuration gives one. */
#define IDLE_TIMEOUT_S 10u
/* Connections beyond the limit, while others are ended for them. */
#define CONNECTIONS_SPARE 64
#define LISTEN_BACKLOG 512
/* Time for the head of a request until the site configuration gives one, and
 * what the network may add to it. */
#define HEAD_TIMEOUT MS(6000)
#define HEAD_TRANSIT MS(1000)
/* Interval between checks for requests that arrive too slowly. */
#define SLOW_CHECK_INTERVAL MS(500)
/*
 * Bytes over the limit of a body that are still read, so that the caller gets
 * an answer instead of a closed connection.
 */
#define OVERSIZE_READ_MAX (1u << 20)

struct door {
	struct MHD_Daemon *daemon;
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	const struct door_ops *ops;
	struct shared *active; /* catalogue or site configuration in use */
	unsigned idle_limit_s;
	_Atomic usec head_time; /* of the site configuration, or 0 */
	size_t body_max;	/* the same */
	struct intake *intake;
	struct callers *callers;
	struct linger_list *linger;
	int connections_max; /* also of those that linger */
	int sock;
	int stop;
	int stopping; /* answers carry Connection: close */
	int refusing; /* requests are refused */
};

static _Atomic int inflight;

/* Returns the number of calls that wait for their answer. */
int
door_inflight(void)
{
	return (atomic_load(&inflight));
}

/* Returns how many connections of callers may be open. */
static int
connections_max(const struct kernel *k)
{
	return (room_connections_max(
	    kernel_conf(k)->memory_mb, kernel_descriptors(k)));
}

/* Returns the time that the head of a request may take. */
static usec
head_time(const struct door *d)
{
	usec set = atomic_load(&d->head_time);

	return (set > 0 ? set + HEAD_TRANSIT : HEAD_TIMEOUT);
}

/*
 * Called by the library with the raw URI, before decoding.  Allocates the call
 * of the request.
 */
static void *
on_request_line(void *cls, const char *uri, struct MHD_Connection *conn)
{
	struct door *d = cls;
	const union MHD_ConnectionInfo *info;
	struct call *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return (NULL);
	c->uri = strdup(uri);
	c->conn = conn;
	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	c->fd = info == NULL ? -1 : info->connect_fd;
	intake_add(d->intake, c, head_time(d), clock_mono());
	c->ended = callers_set_busy(d->callers, conn, 1);
	return (c);
}

/* Called when the library has finished a request; frees the call. */
static void
on_completed(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct door *d = cls;
	struct call *c = *state;

	if (c == NULL)
		return;
	*state = NULL;
	callers_set_busy(d->callers, conn, 0);
	intake_remove(d->intake, c);
	if (c->submitted && why != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		count_add(C_CALLER_GONE, 1);
	/* Aborted by the caller, or malformed and answered by the library. */
	if (intake_is_reading(c))
		count_add(why == MHD_REQUEST_TERMINATED_CLIENT_ABORT
			? C_CALLER_GONE
			: C_CALLER_BAD,
		    1);
	free(c->uri);
	shared_unref(c->site);
	str_free(&c->headers);
	str_free(&c->answer.headers);
	str_free(&c->body);
	str_free(&c->answer.type);
	str_free(&c->answer.body);
	free(c);
}

/*
 * Adds up to half of a retry delay (milliseconds) at random, so that callers
 * that were refused at the same time do not all retry at the same time.
 */
static uint32_t
add_retry_jitter(uint32_t ms)
{
	uint16_t r = 0;

	apr_generate_random_bytes((unsigned char *)&r, sizeof(r));
	return (ms + (uint32_t)((uint64_t)ms * r / 0x20000));
}

/* Builds the response for an error of this host, with a JSON body. */
static struct MHD_Response *
error_response(const struct door *d, const struct call *c)
{
	const struct answer *a = &c->answer;
	struct MHD_Response *r;
	char text[400];
	uint32_t ms = 0;
	int n;

	if (result_retryable(a->code))
		ms = add_retry_jitter(
		    a->retry_ms > 0 ? a->retry_ms : RETRY_DEFAULT_MS);
	n = result_json(text, sizeof(text), a->code, a->outcome, ms);
	r = MHD_create_response_from_buffer(
	    (size_t)n, text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r, "Content-Type", "application/json");
	d->ops->error_headers(r, a->code, ms);
	return (r);
}

/* Builds the response that passes on the target's answer unchanged. */
static struct MHD_Response *
target_response(const struct door *d, struct call *c)
{
	struct answer *a = &c->answer;
	struct MHD_Response *r;

	r = MHD_create_response_from_buffer(a->body.n,
	    a->body.p == NULL ? "" : a->body.p,
	    a->body.p == NULL ? MHD_RESPMEM_PERSISTENT : MHD_RESPMEM_MUST_FREE);
	a->body.p = NULL;
	d->ops->target_headers(r, a);
	return (r);
}

/* Counts an answer in the metric of its outcome. */
static void
count_answer(const struct answer *a)
{
	if (a->code == GS_OK)
		count_add(C_CALLER_ANSWERS, 1);
	else if (a->code >= 100 && a->code < 200)
		count_add(C_CALLER_BAD, 1);
	else if (a->outcome == OUT_NOT_RUN)
		count_add(C_CALLER_NOT_RUN, 1);
	else
		count_add(C_CALLER_UNKNOWN, 1);
}

/* Queues the response to a call. */
static enum MHD_Result
respond(struct door *d, struct call *c)
{
	struct MHD_Response *r;
	enum MHD_Result res;
	int status;

	if (!intake_claim(c))
		return (MHD_NO);
	count_answer(&c->answer);
	if (c->answer.code == GS_OK) {
		r = target_response(d, c);
		status = c->answer.status;
	} else {
		r = error_response(d, c);
		status = result_http_status(c->answer.code);
	}
	if (__atomic_load_n(&d->stopping, __ATOMIC_RELAXED))
		MHD_add_response_header(r, "Connection", "close");
	res = MHD_queue_response(c->conn, (unsigned)status, r);
	MHD_destroy_response(r);
	return (res);
}

/* Answers a call with a result code of this host. */
static enum MHD_Result
refuse(struct door *d, struct call *c, int code)
{
	c->answer.code = code;
	c->answer.outcome = (int)result_outcome(code);
	return (respond(d, c));
}

/* Answers the load balancer's health check: 200, or 503 once stopping. */
static enum MHD_Result
answer_health(struct door *d, struct call *c)
{
	static char ok[] = "ok\n", leaving[] = "stopping\n";
	int stopping = __atomic_load_n(&d->stopping, __ATOMIC_RELAXED);
	char *text = stopping ? leaving : ok;
	struct MHD_Response *r;
	enum MHD_Result res;

	if (!intake_claim(c))
		return (MHD_NO);
	r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_PERSISTENT);
	res = MHD_queue_response(c->conn, stopping ? 503 : 200, r);
	MHD_destroy_response(r);
	return (res);
}

/* Adds a header of a request to those that are checked. */
static enum MHD_Result
check_field(void *arg, enum MHD_ValueKind kind, const char *name, size_t nname,
    const char *value, size_t nvalue)
{
	fields_add(arg, name, nname, value == NULL ? "" : value, nvalue);
	return (MHD_YES);
}

/* True if the head of a request can be passed on as it was understood. */
static int
is_unambiguous(const struct call *c)
{
	struct fields f = {0};

	MHD_get_connection_values_n(c->conn, MHD_HEADER_KIND, check_field, &f);
	return (fields_ok(&f) &&
	    fields_token_ok(c->method, strlen(c->method)) && c->uri != NULL &&
	    fields_target_ok(c->uri, strlen(c->uri)));
}

/* Parses the head of a request; a code to refuse it with goes into the call. */
static void
parse_head(struct door *d, struct call *c, const char *method)
{
	const union MHD_ConnectionInfo *info;
	const char *length;
	struct shared *sh;
	char ip[INET6_ADDRSTRLEN];

	c->head_parsed = 1;
	if (name_copy(c->method, sizeof(c->method), method) != 0) {
		c->refusal = GS_BAD_METHOD;
		return;
	}
	if (!is_unambiguous(c)) {
		c->refusal = GS_BAD_REQUEST;
		return;
	}
	length = MHD_lookup_connection_value(
	    c->conn, MHD_HEADER_KIND, "Content-Length");
	if (length != NULL)
		c->body_length = strtoull(length, NULL, 10);
	apr_thread_mutex_lock(d->lock);
	sh = d->active == NULL ? NULL : shared_ref(d->active);
	apr_thread_mutex_unlock(d->lock);
	c->refusal = d->ops->parse(c, sh == NULL ? NULL : sh->p);
	/* The rule belongs to the configuration, which the call then holds. */
	if (c->rule != NULL)
		c->site = sh;
	else
		shared_unref(sh);
	if (d->idle_limit_s > 0)
		MHD_set_connection_option(
		    c->conn, MHD_CONNECTION_OPTION_TIMEOUT, d->idle_limit_s);
	info = MHD_get_connection_info(
	    c->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (c->caller[0] == '\0' && info != NULL &&
	    info->client_addr->sa_family == AF_INET) {
		inet_ntop(AF_INET,
		    &((struct sockaddr_in *)(void *)info->client_addr)
			 ->sin_addr,
		    ip, sizeof(ip));
		name_copy(c->caller, sizeof(c->caller), ip);
	}
	if (c->refusal == GS_OK)
		c->refusal = intake_head(d->intake, c, clock_mono());
}

/* Sends a complete request to the router, and suspends its connection. */
static enum MHD_Result
submit(struct service *s, struct call *c)
{
	struct door *d = s->state;
	int code = intake_accept(d->intake, c, clock_mono());

	if (code != GS_OK)
		return (code < 0 ? MHD_NO : refuse(d, c, code));
	count_add(C_CALLER_REQUESTS, 1);
	c->submitted = 1;
	atomic_fetch_add(&inflight, 1);
	MHD_suspend_connection(c->conn);
	if (msg_post(s->kernel, "router", MSG_CALL, c, NULL) != 0) {
		atomic_fetch_sub(&inflight, 1);
		MHD_resume_connection(c->conn);
		return (refuse(d, c, GS_RING_FULL));
	}
	return (MHD_YES);
}

/* Resumes the connection of a call whose answer is complete. */
void
call_end(struct call *c)
{
	intake_answered(c->intake, c, clock_mono());
	atomic_fetch_sub(&inflight, 1);
	__atomic_store_n(&c->answered, 1, __ATOMIC_RELEASE);
	MHD_resume_connection(c->conn);
}

/*
 * Returns true if the caller has closed its connection.  A connection that this
 * host shut down for reading while stopping, just before the request arrived,
 * also reads as closed; it is not reported, or the caller would lose an answer
 * that its target is working on.
 */
int
call_abandoned(const struct call *c)
{
	char b;

	return (c->fd >= 0 && c->ended == CALLER_OPEN &&
	    recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

/*
 * Accepts the connections in the listen backlog.  The kernel would reset them,
 * with the requests in them, when the listening socket is closed.
 */
static void
accept_backlog(struct door *d, int fd)
{
	struct sockaddr_storage from;
	socklen_t n = sizeof(from);
	int conn;

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	while ((conn = accept4(fd, (struct sockaddr *)&from, &n,
		    SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		MHD_add_connection(
		    d->daemon, conn, (struct sockaddr *)&from, n);
		n = sizeof(from);
	}
}

/*
 * Closes the listening socket.  Requests on open connections are still served,
 * because refusing them would fail callers during a planned stop; since the
 * stop began each answer asks the caller to close its connection.
 */
void
door_close_listener(struct kernel *k)
{
	struct door *d = kernel_find(k, "door")->state;
	MHD_socket fd;

	if (d->daemon == NULL)
		return;
	fd = MHD_quiesce_daemon(d->daemon);
	if (fd == MHD_INVALID_SOCKET)
		return;
	accept_backlog(d, fd);
	close(fd);
}

/* Closes callers' connections that have no request in progress. */
void
door_close_idle(struct kernel *k)
{
	struct door *d = kernel_find(k, "door")->state;

	callers_end_idle(d->callers);
}

/* Gives calls up until large contents fit into memory; false if they do not. */
int
door_make_room(struct kernel *k, usec now)
{
	struct door *d;

	if (!held_is_over(SIZE_MAX))
		return (1);
	d = kernel_find(k, "door")->state;
	return (intake_make_room(d->intake, now));
}

/* Returns the number of open connections of callers. */
int
door_connections(struct kernel *k)
{
	struct door *d = kernel_find(k, "door")->state;
	const union MHD_DaemonInfo *info;

	if (d->daemon == NULL)
		return (0);
	info =
	    MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
	return (info == NULL ? 0 : (int)info->num_connections);
}

/* Refuses all further requests with GS_STOPPING. */
void
door_refuse_calls(struct kernel *k)
{
	struct door *d = kernel_find(k, "door")->state;

	__atomic_store_n(&d->refusing, 1, __ATOMIC_RELAXED);
}

/* Takes a piece of a body; sets *size to 0. */
static enum MHD_Result
take_body(struct door *d, struct call *c, const char *data, size_t *size)
{
	c->body_read += *size;
	if (c->body_read > c->body_max)
		c->too_large = 1;
	if (c->body_read > c->body_max + OVERSIZE_READ_MAX ||
	    (!c->too_large &&
		intake_body(d->intake, c, data, *size, clock_mono()) != 0))
		return (MHD_NO);
	*size = 0;
	return (MHD_YES);
}

/*
 * Called by the library for a request's head, for each piece of its body, at
 * its end, and after its connection was resumed.
 */
static enum MHD_Result
handle(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct service *s = cls;
	struct door *d = s->state;
	struct call *c = *state;

	if (c == NULL || c->ended == CALLER_CUT)
		return (MHD_NO);
	if (__atomic_load_n(&c->answered, __ATOMIC_ACQUIRE))
		return (respond(d, c));
	if (!c->head_parsed) {
		if (d->ops->health_uri != NULL &&
		    strcmp(c->uri, d->ops->health_uri) == 0)
			return (answer_health(d, c));
		parse_head(d, c, method);
		if (c->refusal != GS_OK)
			return (refuse(d, c, c->refusal));
		return (MHD_YES);
	}
	if (*size > 0)
		return (take_body(d, c, data, size));
	if (c->too_large)
		return (refuse(d, c, GS_TOO_LARGE));
	if (__atomic_load_n(&d->refusing, __ATOMIC_RELAXED))
		return (refuse(d, c, GS_STOPPING));
	return (submit(s, c));
}

/* Called by the library for each connection that is opened or closed. */
static void
on_connection(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	struct door *d = cls;
	usec now;

	callers_on_notify(d->callers, conn, state, what);
	if (what != MHD_CONNECTION_NOTIFY_STARTED)
		return;
	if (callers_count(d->callers) + linger_count(d->linger) >
		d->connections_max &&
	    linger_evict(d->linger))
		return;
	now = clock_mono();
	if (!callers_limit(d->callers, now))
		intake_yield(d->intake, now);
}

/* Starts the HTTP server on the socket that door_open() bound. */
static void
start_server(struct service *s)
{
	struct door *d = s->state;

	if (d->daemon != NULL || listen(d->sock, LISTEN_BACKLOG) != 0)
		return;
	d->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
	    NULL, handle, s, MHD_OPTION_LISTEN_SOCKET, d->sock,
	    MHD_OPTION_URI_LOG_CALLBACK, on_request_line, d,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, d,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, d,
	    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)(connections_max(s->kernel) + CONNECTIONS_SPARE),
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	if (d->daemon == NULL)
		log_line(LOG_ERR, "door",
		    "Cannot start the HTTP server for callers.");
	else
		log_line(LOG_INFO, "door", "Serving callers.");
}

/* Replaces the catalogue or configuration in use by that of a message. */
static void
set_active(struct door *d, struct msg *m)
{
	apr_thread_mutex_lock(d->lock);
	msg_take_snapshot(m, &d->active);
	apr_thread_mutex_unlock(d->lock);
}

/* Takes the limits of a site configuration over. */
static void
set_limits(struct service *s, const struct site *site)
{
	struct door *d = s->state;
	size_t room = room_limit(
	    room_content_max(kernel_conf(s->kernel)->memory_mb), SIZE_MAX);

	atomic_store(&d->head_time, site->head_time);
	/* Rounded up: callers may reuse a connection until the configured time
	 * is over. */
	d->idle_limit_s =
	    (unsigned)((site->idle_time + US_PER_SEC - 1) / US_PER_SEC);
	if (site->body_max > room && site->body_max != d->body_max)
		log_line(LOG_WARNING, "door",
		    "Bodies of %zu bytes are allowed, but this host can hold "
		    "only %zu.",
		    site->body_max, room);
	d->body_max = site->body_max;
}

/* Ends connections and requests that take too long. */
static void
tick(struct door *d, usec now)
{
	unsigned idle_s =
	    d->idle_limit_s > 0 ? d->idle_limit_s : IDLE_TIMEOUT_S;

	intake_tick(d->intake, now);
	callers_tick(d->callers, idle_s * US_PER_SEC + head_time(d), now);
}

/* The service's thread. */
static void
door_run(struct service *s)
{
	struct door *d = s->state;
	struct msg *m;

	while (!d->stop) {
		m = ring_wait(s->in, SLOW_CHECK_INTERVAL);
		tick(d, clock_mono());
		if (m == NULL)
			continue;
		switch (m->kind) {
		case MSG_CATALOGUE:
			set_active(d, m);
			break;
		case MSG_SITE:
			set_limits(s, ((struct shared *)m->data)->p);
			set_active(d, m);
			break;
		case MSG_READY:
			start_server(s);
			break;
		case MSG_STOP:
			__atomic_store_n(&d->stopping, 1, __ATOMIC_RELAXED);
			break;
		case MSG_QUIT:
			d->stop = 1;
			break;
		default:
			break;
		}
		msg_free(m);
	}
}

/*
 * Binds the callers' address.  The host listens only after MSG_READY, when the
 * router has its routes: before that it would refuse requests that other hosts
 * could serve, and the load balancer would keep sending them.
 */
static int
door_open(struct service *s)
{
	const char *at = kernel_conf(s->kernel)->callers;
	struct door *d;

	d = calloc(1, sizeof(*d));
	if (d == NULL)
		return (-1);
	s->state = d;
	d->ops = kernel_conf(s->kernel)->form == FORM_OBJECTS ? &objects_door
							      : &native_door;
	d->linger = linger_find(s->kernel);
	d->connections_max = connections_max(s->kernel);
	d->sock = sock_bind(at);
	if (d->sock < 0) {
		log_line(LOG_ERR, "door", "Cannot listen on %s.", at);
		free(d);
		return (-1);
	}
	if (apr_pool_create(&d->pool, NULL) == APR_SUCCESS &&
	    apr_thread_mutex_create(
		&d->lock, APR_THREAD_MUTEX_DEFAULT, d->pool) == APR_SUCCESS &&
	    (d->intake = intake_new(d->lock, d->ops)) != NULL &&
	    (d->callers = callers_new(d->connections_max, d->linger)) != NULL)
		return (0);
	close(d->sock);
	free(d);
	return (-1);
}

/* Stops the server.  The router has ended every call by now. */
static void
door_close(struct service *s)
{
	struct door *d = s->state;

	if (d->daemon != NULL)
		MHD_stop_daemon(d->daemon);
	else
		close(d->sock);
	shared_unref(d->active);
	intake_free(d->intake);
	callers_free(d->callers);
	apr_pool_destroy(d->pool);
	free(d);
}

const struct service_ops door_service = {
    "door", 256, door_open, door_run, door_close};
