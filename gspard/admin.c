/* The admin service: status, events and metrics for operators' tools. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <apr_time.h>
#include <microhttpd.h>

#include "callers.h"
#include "control.h"
#include "metrics.h"

#define QUERY_TIMEOUT MS(1000)
/* Open connections: beyond this one is ended for each that is opened, and the
 * library accepts some more meanwhile. */
#define CONNECTIONS_MAX 48
#define CONNECTIONS_SPARE 16

struct admin {
	struct callers *callers;
	struct MHD_Daemon *daemon;
	int stop;
};

/*
 * Sends a query to the control thread.  Returns JSON that the caller frees, or
 * NULL if there is no answer within QUERY_TIMEOUT.
 */
static char *
query_control(
    struct service *s, const char *what, const char *service, const char *key)
{
	struct query *q;
	usec until = clock_mono() + QUERY_TIMEOUT;
	char *text = NULL;

	q = calloc(1, sizeof(*q));
	if (q == NULL)
		return (NULL);
	q->kind = what;
	q->service = service;
	q->key = key;
	q->refs = 2;
	if (msg_post(s->kernel, "control", MSG_QUERY, q, query_unref) != 0) {
		query_unref(q);
		return (NULL);
	}
	while (!__atomic_load_n(&q->done, __ATOMIC_ACQUIRE) &&
	    clock_mono() < until)
		apr_sleep(1000);
	if (__atomic_load_n(&q->done, __ATOMIC_ACQUIRE)) {
		text = q->text;
		q->text = NULL;
	}
	query_unref(q);
	return (text);
}

/* Adds one event to a JSON array. */
static void
add_event(const struct event *e, void *arg)
{
	json_array_append_new(arg,
	    json_pack("{s:I, s:I, s:I, s:I, s:s, s:s}", "seq",
		(json_int_t)e->seq, "cause", (json_int_t)e->cause, "mono",
		(json_int_t)e->mono, "wall", (json_int_t)e->wall, "part",
		e->part, "text", e->text));
}

/* The stored events from a sequence number on; the caller frees the text. */
static char *
events_text(struct service *s, const char *from)
{
	json_t *o, *a = json_array();
	uint64_t next;
	char *text;

	next = event_foreach(
	    from == NULL ? 0 : strtoull(from, NULL, 10), add_event, a);
	o = json_pack("{s:s, s:I, s:o}", "host", kernel_conf(s->kernel)->host,
	    "next", (json_int_t)next, "events", a);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return (text);
}

/* The response body for a path, or NULL; the caller frees it. */
static char *
response_text(struct service *s, struct MHD_Connection *conn, const char *url)
{
	const char *service, *key;

	if (strcmp(url, "/v1/status") == 0)
		return (query_control(s, "status", NULL, NULL));
	if (strcmp(url, "/v1/catalogue") == 0)
		return (query_control(s, "catalogue", NULL, NULL));
	if (strcmp(url, "/v1/events") == 0)
		return (events_text(s,
		    MHD_lookup_connection_value(
			conn, MHD_GET_ARGUMENT_KIND, "from")));
	if (strcmp(url, "/metrics") == 0)
		return (metrics_text(s->kernel));
	if (strcmp(url, "/health") == 0)
		return (strdup("ok\n"));
	if (strcmp(url, "/v1/owner") != 0)
		return (NULL);
	service =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "service");
	key = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "key");
	if (service == NULL || key == NULL)
		return (NULL);
	return (query_control(s, "owner", service, key));
}

/* Request handler of libmicrohttpd; only GET is allowed. */
static enum MHD_Result
handle_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	static char not_found[] = "no such page, or no answer in time\n";
	struct MHD_Response *r;
	enum MHD_Result res;
	char *text = NULL;

	if (strcmp(method, "GET") == 0)
		text = response_text(cls, conn, url);
	if (text == NULL)
		r = MHD_create_response_from_buffer(
		    strlen(not_found), not_found, MHD_RESPMEM_PERSISTENT);
	else
		r = MHD_create_response_from_buffer(
		    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	res = MHD_queue_response(conn, text == NULL ? 404 : 200, r);
	MHD_destroy_response(r);
	return (res);
}

/* Waits for MSG_QUIT: libmicrohttpd serves requests in its own threads. */
static void
admin_run(struct service *s)
{
	struct admin *a = s->state;
	struct msg *m;

	while (!a->stop) {
		m = ring_wait(s->in, MS(1000));
		if (m != NULL && m->kind == MSG_QUIT)
			a->stop = 1;
		msg_free(m);
	}
}

/* Stops the HTTP server and closes its connections. */
static void
admin_close(struct service *s)
{
	struct admin *a = s->state;

	if (a->daemon != NULL)
		MHD_stop_daemon(a->daemon);
	callers_free(a->callers);
	free(a);
}

/* Starts the HTTP server on the admin address. */
static int
admin_open(struct service *s)
{
	const char *address = kernel_conf(s->kernel)->admin;
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[ADDR_MAX_GS];
	struct admin *a;
	int port;

	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return (-1);
	s->state = a;
	a->callers = callers_new(CONNECTIONS_MAX, linger_find(s->kernel));
	if (a->callers == NULL) {
		admin_close(s);
		return (-1);
	}
	addr_parse(address, ip, sizeof(ip), &port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)port);
	a->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
	    (uint16_t)port, NULL, NULL, handle_request, s, MHD_OPTION_SOCK_ADDR,
	    &sin, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
	    MHD_OPTION_NOTIFY_CONNECTION, callers_on_notify_limit, a->callers,
	    MHD_OPTION_CONNECTION_TIMEOUT, 10u, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)(CONNECTIONS_MAX + CONNECTIONS_SPARE), MHD_OPTION_END);
	if (a->daemon == NULL) {
		log_line(LOG_ERR, "admin", "Cannot listen on %s.", address);
		admin_close(s);
		return (-1);
	}
	return (0);
}

const struct service_ops admin_service = {
    "admin", 64, admin_open, admin_run, admin_close};
