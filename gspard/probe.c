/*
 * The service that answers the load balancer's health checks and serves the
 * metrics, on hosts that send to targets themselves.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <microhttpd.h>

#include "callers.h"
#include "metrics.h"
#include "sock.h"

#define BACKLOG 32
#define IDLE_SECONDS 10u
/* Open connections: beyond this one is ended for each that is opened, and the
 * library accepts some more meanwhile. */
#define CONNECTIONS_MAX 24
#define CONNECTIONS_SPARE 8
/* Buffer of a connection; health checks are small, and memory is limited. */
#define CONNECTION_BYTES ((size_t)4096)

/* A server for one address. */
struct probe_server {
	struct MHD_Daemon *daemon;
	struct callers *callers;
};

struct probe {
	struct probe_server ready;
	struct probe_server metrics;
	int stop;
	int stopping;
};

/* Queues a text as the answer. */
static enum MHD_Result
answer(struct MHD_Connection *conn, unsigned status, char *text,
    enum MHD_ResponseMemoryMode mode)
{
	struct MHD_Response *r;
	enum MHD_Result res;

	r = MHD_create_response_from_buffer(strlen(text), text, mode);
	res = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return (res);
}

/* Answers a health check; the load balancer sends callers here while the status
 * is 200. */
static enum MHD_Result
on_ready(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	static char yes[] = "ready\n", no[] = "not ready\n";
	struct service *s = cls;
	struct probe *p = s->state;
	int ok;

	ok = kernel_wait_step(s->kernel, "ready", 0) == 0 &&
	    !__atomic_load_n(&p->stopping, __ATOMIC_RELAXED);
	return (answer(
	    conn, ok ? 200 : 503, ok ? yes : no, MHD_RESPMEM_PERSISTENT));
}

/* Serves the metrics. */
static enum MHD_Result
on_metrics(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	static char none[] = "no such page\n";
	struct service *s = cls;
	char *text;

	if (strcmp(url, "/metrics") != 0 ||
	    (text = metrics_text(s->kernel)) == NULL)
		return (answer(conn, 404, none, MHD_RESPMEM_PERSISTENT));
	return (answer(conn, 200, text, MHD_RESPMEM_MUST_FREE));
}

/* Starts a server on one address; 0, or -1 on failure. */
static int
serve(struct service *s, struct probe_server *v, const char *at,
    MHD_AccessHandlerCallback handler)
{
	int fd = sock_bind(at);

	v->callers = callers_new(CONNECTIONS_MAX, linger_find(s->kernel));
	if (v->callers == NULL || fd < 0 || listen(fd, BACKLOG) != 0) {
		log_line(LOG_ERR, "probe", "Cannot listen on %s.", at);
		return (-1);
	}
	v->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL,
	    NULL, handler, s, MHD_OPTION_LISTEN_SOCKET, fd,
	    MHD_OPTION_NOTIFY_CONNECTION, callers_on_notify_limit, v->callers,
	    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_SECONDS,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BYTES,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned)(CONNECTIONS_MAX + CONNECTIONS_SPARE), MHD_OPTION_END);
	return (v->daemon == NULL ? -1 : 0);
}

/* Stops a server, if it was started. */
static void
end_server(struct probe_server *v)
{
	if (v->daemon != NULL)
		MHD_stop_daemon(v->daemon);
	callers_free(v->callers);
}

/* Runs the service's thread, which waits for the messages of a stop. */
static void
probe_run(struct service *s)
{
	struct probe *p = s->state;
	struct msg *m;

	while (!p->stop) {
		m = ring_wait(s->in, US_PER_SEC);
		if (m != NULL && m->kind == MSG_STOP)
			__atomic_store_n(&p->stopping, 1, __ATOMIC_RELAXED);
		if (m != NULL && m->kind == MSG_QUIT)
			p->stop = 1;
		msg_free(m);
	}
}

/* Stops both servers and frees the service's state. */
static void
probe_close(struct service *s)
{
	struct probe *p = s->state;

	end_server(&p->ready);
	end_server(&p->metrics);
	free(p);
}

/* Opens the service; 0, or -1 on failure. */
static int
probe_open(struct service *s)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct probe *p;

	p = calloc(1, sizeof(*p));
	if (p == NULL)
		return (-1);
	s->state = p;
	if (serve(s, &p->ready, conf->ready, on_ready) == 0 &&
	    serve(s, &p->metrics, conf->admin, on_metrics) == 0)
		return (0);
	probe_close(s);
	return (-1);
}

const struct service_ops probe_service = {
    "probe", 16, probe_open, probe_run, probe_close};
