#include <argp.h>
#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conf.h"
#include "web.h"

/* Offset of the source address in an IPv4 header. */
#define IP_SOURCE_OFFSET 12
/* Bytes that an answer without end sends at a time. */
#define REPEATED_SIZE 65536

/* An open connection. */
struct web_conn {
	struct web_conn *next;
	int fd;
	in_addr_t from;
	int nrequests;
};

static pthread_mutex_t conns_lock = PTHREAD_MUTEX_INITIALIZER;
static struct web_conn *conns;
/* Callers that are cut off, and how. */
static in_addr_t cut_from[WEB_CUT_MAX];
static int ncut;
static enum web_cut cut_how;

struct truncated_body {
	struct str body;
	size_t end;
};

/* Returns a query argument of the request, or NULL. */
const char *
web_arg(const struct web_request *q, const char *name)
{
	return (
	    MHD_lookup_connection_value(q->conn, MHD_GET_ARGUMENT_KIND, name));
}

/* Returns a header of the request, or NULL. */
const char *
web_header(const struct web_request *q, const char *name)
{
	return (MHD_lookup_connection_value(q->conn, MHD_HEADER_KIND, name));
}

/* Parses a number; returns other if s is NULL. */
long
web_parse_number(const char *s, long other)
{
	return (s == NULL ? other : strtol(s, NULL, 10));
}

/* Sets the time ms milliseconds from now, for pthread_cond_timedwait. */
void
web_deadline(struct timespec *until, long ms)
{
	clock_gettime(CLOCK_REALTIME, until);
	until->tv_sec += ms / 1000;
	until->tv_nsec += ms % 1000 * 1000000;
	if (until->tv_nsec >= 1000000000) {
		until->tv_sec++;
		until->tv_nsec -= 1000000000;
	}
}

/* Adds a header to an answer; does nothing if value is NULL or there are
 * WEB_HEADERS_MAX. */
void
web_add_header(struct web_answer *a, const char *name, const char *value)
{
	if (value == NULL || a->nheaders == WEB_HEADERS_MAX)
		return;
	a->headers[a->nheaders].name = name;
	snprintf(a->headers[a->nheaders].value, sizeof(a->headers[0].value),
	    "%s", value);
	a->nheaders++;
}

/* Begins the bytes that replace an answer with a status and the headers that
 * were added. */
static void
begin_raw(struct web_answer *a, const char *status)
{
	char line[300];
	int i, n;

	n = snprintf(line, sizeof(line), "HTTP/1.1 %s X\r\n", status);
	str_set(&a->raw, line, (size_t)n);
	for (i = 0; i < a->nheaders; i++) {
		n = snprintf(line, sizeof(line), "%s: %s\r\n",
		    a->headers[i].name, a->headers[i].value);
		str_add(&a->raw, line, (size_t)n);
	}
}

/* Breaks an answer off within its head, after the headers that were added. */
void
web_break_head(struct web_answer *a)
{
	char status[16];

	snprintf(status, sizeof(status), "%d", a->status);
	begin_raw(a, status);
}

/* Sends a whole answer with a status and a header line of any bytes, unless
 * these are "". */
void
web_alter_head(struct web_answer *a, const char *status, const char *header)
{
	char line[64];
	int n;

	if (status[0] == '\0')
		web_break_head(a);
	else
		begin_raw(a, status);
	str_add(&a->raw, header, strlen(header));
	n = snprintf(line, sizeof(line), "%sContent-Length: %zu\r\n\r\n",
	    header[0] == '\0' ? "" : "\r\n", a->body.n);
	str_add(&a->raw, line, (size_t)n);
	str_add(&a->raw, a->body.p, a->body.n);
}

/* Sends an answer without a length, with a pause amid its body. */
void
web_halt_body(struct web_answer *a, int pause_ms)
{
	size_t half = a->body.n / 2;

	web_break_head(a);
	str_add(&a->raw, "\r\n", 2);
	str_add(&a->raw, a->body.p, half);
	str_set(&a->rest, a->body.p + half, a->body.n - half);
	a->pause_ms = pause_ms;
}

/* Sends an answer without end, at some 30 MB/s: of header lines, of a body in
 * chunks, of the extension of a chunk's size, or of a body without a length. */
void
web_repeat(struct web_answer *a, const char *how)
{
	static const char header[] = "X-Repeated: xx\r\n";
	const size_t k = sizeof(header) - 1;
	char line[64];
	size_t n;

	web_break_head(a);
	a->repeat = 1;
	a->pause_ms = 2;
	for (n = 0; n < REPEATED_SIZE; n += k)
		str_add(&a->rest, header, k);
	if (strcmp(how, "size") == 0) {
		str_add(&a->raw, "Transfer-Encoding: chunked\r\n\r\n1;", 32);
		a->rest.n -= k;
		for (n = 0; n < a->rest.n; n++)
			a->rest.p[n] = 'x';
	} else if (strcmp(how, "chunks") == 0) {
		n = (size_t)snprintf(line, sizeof(line),
		    "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", a->rest.n);
		str_add(&a->raw, line, n);
		n = (size_t)snprintf(
		    line, sizeof(line), "\r\n%zx\r\n", a->rest.n);
		str_add(&a->rest, line, n);
	} else if (strcmp(how, "plain") == 0)
		str_add(&a->raw, "\r\n", 2);
}

/* Returns the first bytes of a body and then fails, as a crashing server
 * does. */
static ssize_t
read_truncated(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct truncated_body *c = arg;
	size_t n;

	if (pos >= c->end)
		return (MHD_CONTENT_READER_END_WITH_ERROR);
	n = c->end - (size_t)pos;
	if (n > max)
		n = max;
	memcpy(buf, c->body.p + pos, n);
	return ((ssize_t)n);
}

/* Frees the argument of read_truncated. */
static void
free_truncated(void *arg)
{
	struct truncated_body *c = arg;

	str_free(&c->body);
	free(c);
}

/* Converts an answer to a libmicrohttpd response; takes over its body. */
static struct MHD_Response *
respond(struct web_answer *a)
{
	struct MHD_Response *r;
	struct truncated_body *c;
	int i;

	if (a->truncate_at > 0 && a->truncate_at < a->body.n) {
		c = calloc(1, sizeof(*c));
		c->body = a->body;
		c->end = a->truncate_at;
		r = MHD_create_response_from_callback(
		    a->body.n, 4096, read_truncated, c, free_truncated);
	} else {
		r = MHD_create_response_from_buffer(
		    a->body.n, a->body.p, MHD_RESPMEM_MUST_FREE);
	}
	if (a->version[0] != '\0')
		MHD_add_response_header(r, "Version", a->version);
	if (a->header_name != NULL)
		MHD_add_response_header(r, a->header_name, a->header_value);
	for (i = 0; i < a->nheaders; i++)
		MHD_add_response_header(
		    r, a->headers[i].name, a->headers[i].value);
	return (r);
}

/* Sends bytes on the connection of a request; 0, or -1 if it is closed. */
static int
send_bytes(const struct web_request *q, const struct str *s)
{
	const union MHD_ConnectionInfo *c =
	    MHD_get_connection_info(q->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd p = {c->connect_fd, POLLOUT, 0};
	size_t sent = 0;
	ssize_t n;

	while (sent < s->n) {
		n = send(p.fd, s->p + sent, s->n - sent, MSG_NOSIGNAL);
		if (n > 0)
			sent += (size_t)n;
		else if (errno != EAGAIN || poll(&p, 1, -1) < 0)
			return (-1);
	}
	return (0);
}

/* Sends another answer before the one to a request. */
void
web_send_extra(const struct web_request *q, const char *answer)
{
	struct str s = {(char *)answer, strlen(answer)};

	send_bytes(q, &s);
}

/* Sends the bytes that replace an answer. */
static void
send_raw(const struct web_request *q, struct web_answer *a)
{
	if (send_bytes(q, &a->raw) == 0) {
		do {
			usleep((unsigned)a->pause_ms * 1000);
		} while (send_bytes(q, &a->rest) == 0 && a->repeat);
	}
	str_free(&a->raw);
	str_free(&a->rest);
	a->drop = 1;
}

/* True if connections from an address are cut; the lock is held. */
static int
is_cut(in_addr_t from)
{
	int i;

	for (i = 0; i < ncut; i++) {
		if (cut_from[i] == from)
			return (1);
	}
	return (0);
}

/* Drops all packets from cut callers that arrive at a socket, or no longer any;
 * the lock is held. */
static void
filter_packets(int fd, int drop)
{
	struct sock_filter code[WEB_CUT_MAX + 3];
	struct sock_fprog program = {0, code};
	int i, none = 0;

	if (!drop || ncut == 0) {
		setsockopt(
		    fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
		return;
	}
	code[program.len++] =
	    (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
		(unsigned)(SKF_NET_OFF + IP_SOURCE_OFFSET));
	for (i = 0; i < ncut; i++)
		code[program.len++] =
		    (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
			ntohl(cut_from[i]), (unsigned char)(ncut - i), 0);
	code[program.len++] =
	    (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0xffffffff);
	code[program.len++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) != 0)
		warn("SO_ATTACH_FILTER");
}

/* Resets a connection as soon as its thread closes it, which is at once. */
static void
reset_connection(int fd)
{
	struct linger hard = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	shutdown(fd, SHUT_RDWR);
}

/*
 * Cuts callers off by their IP addresses, separated by commas; none if the list
 * is empty.
 */
void
web_cut(struct MHD_Daemon *m, const char *from, enum web_cut how)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(m, MHD_DAEMON_INFO_LISTEN_FD);
	char list[512], *word, *rest;
	struct web_conn *c;

	pthread_mutex_lock(&conns_lock);
	ncut = 0;
	snprintf(list, sizeof(list), "%s", from);
	for (word = strtok_r(list, ",", &rest);
	     word != NULL && ncut < WEB_CUT_MAX;
	     word = strtok_r(NULL, ",", &rest))
		cut_from[ncut++] = inet_addr(word);
	cut_how = how;
	filter_packets(info->listen_fd, how == WEB_CUT_SILENT);
	for (c = conns; c != NULL; c = c->next) {
		filter_packets(c->fd, how == WEB_CUT_SILENT);
		if (how == WEB_CUT_RESET && is_cut(c->from))
			reset_connection(c->fd);
	}
	pthread_mutex_unlock(&conns_lock);
}

/* Notes that a connection opens or closes. */
static void
on_connection(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	struct web_conn **at, *c = *state;

	pthread_mutex_lock(&conns_lock);
	if (what == MHD_CONNECTION_NOTIFY_STARTED) {
		*state = c = calloc(1, sizeof(*c));
		c->fd = MHD_get_connection_info(
		    conn, MHD_CONNECTION_INFO_CONNECTION_FD)
			    ->connect_fd;
		c->from = ((const struct sockaddr_in *)MHD_get_connection_info(
			       conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
			       ->client_addr)
			      ->sin_addr.s_addr;
		c->next = conns;
		conns = c;
	} else {
		for (at = &conns; *at != c; at = &(*at)->next)
			;
		*at = c->next;
		free(c);
	}
	pthread_mutex_unlock(&conns_lock);
}

/* Closes new connections from callers that are cut off by resets. */
static enum MHD_Result
accept_policy(void *cls, const struct sockaddr *addr, socklen_t size)
{
	const struct sockaddr_in *sin = (const struct sockaddr_in *)addr;
	int closed;

	pthread_mutex_lock(&conns_lock);
	closed = cut_how != WEB_CUT_SILENT && is_cut(sin->sin_addr.s_addr);
	pthread_mutex_unlock(&conns_lock);
	return (closed ? MHD_NO : MHD_YES);
}

/* Counts a request on its connection and returns its number, from 1; 0 if
 * unknown. */
static int
count_request(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct web_conn *c = info == NULL ? NULL : info->socket_context;

	return (c == NULL ? 0 : ++c->nrequests);
}

/* Collects the body, then calls the stand-in's handler. */
static enum MHD_Result
on_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **state)
{
	struct web_request *q = *state;
	struct web_answer a = {.status = 200};
	struct MHD_Response *r;
	enum MHD_Result res;
	web_handler fn = *(web_handler *)cls;

	if (q == NULL) {
		*state = calloc(1, sizeof(*q));
		return (*state == NULL ? MHD_NO : MHD_YES);
	}
	if (*size > 0) {
		str_add(&q->body, data, *size);
		*size = 0;
		return (MHD_YES);
	}
	q->conn = conn;
	q->request_number = count_request(conn);
	q->method = method;
	q->path = url;
	fn(q, &a);
	if (a.raw.n > 0)
		send_raw(q, &a);
	if (a.drop) {
		str_free(&a.body);
		return (MHD_NO);
	}
	if (a.body.p == NULL)
		str_set(&a.body, "", 0);
	r = respond(&a);
	res = MHD_queue_response(conn, (unsigned)a.status, r);
	MHD_destroy_response(r);
	return (res);
}

/* Frees the request when libmicrohttpd has finished with it. */
static void
on_completed(void *cls, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode why)
{
	struct web_request *q = *state;

	if (q == NULL)
		return;
	str_free(&q->body);
	free(q);
	*state = NULL;
}

/* Serves fn on "IP:PORT"; returns NULL if the address is invalid or in use. */
struct MHD_Daemon *
web_start(const char *addr, web_handler fn)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[ADDR_MAX_GS];
	web_handler *fn_copy;
	int port;

	if (addr_parse(addr, ip, sizeof(ip), &port) != 0)
		return (NULL);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)port);
	fn_copy = malloc(sizeof(*fn_copy));
	*fn_copy = fn;
	return (MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
	    (uint16_t)port, accept_policy, NULL, on_request, fn_copy,
	    MHD_OPTION_SOCK_ADDR, &sin, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
	    MHD_OPTION_CONNECTION_LIMIT, 2000u, MHD_OPTION_END));
}

/* Addresses of a stand-in: for its service, and for faults and counts. */
struct pair {
	const char *data;
	const char *control;
};

static const struct argp_option pair_options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to serve", 0},
    {"control", 'c', "IP:PORT", 0, "Address for faults and counts", 0},
    {0},
};

/* Parses one option. */
static error_t
pair_parse(int key, char *arg, struct argp_state *st)
{
	struct pair *p = st->input;

	switch (key) {
	case 'l':
		p->data = arg;
		break;
	case 'c':
		p->control = arg;
		break;
	case ARGP_KEY_END:
		if (p->data == NULL || p->control == NULL)
			argp_error(st, "--listen and --control are required");
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

/* Main function of a stand-in with two addresses: parses its arguments and
 * serves until SIGTERM or SIGINT. */
int
web_run_pair(int argc, char **argv, const char *doc, web_handler data,
    web_handler control)
{
	const struct argp argp = {pair_options, pair_parse, NULL, doc, 0, 0, 0};
	struct pair p = {NULL, NULL};
	sigset_t set;
	int sig;

	argp_parse(&argp, argc, argv, 0, NULL, &p);
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (web_start(p.data, data) == NULL)
		errx(1, "cannot listen on %s", p.data);
	if (web_start(p.control, control) == NULL)
		errx(1, "cannot listen on %s", p.control);
	sigwait(&set, &sig);
	_exit(0);
}
