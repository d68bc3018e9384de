/*
 * Stand-in for the network between hosts: a proxy of connections and datagrams
 * that can silence open connections, cut hosts off, delay data, and duplicate
 * frames.  Several
 * listening addresses can share one rate limit, as all connections of a host
 * share its link.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <err.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf.h"
#include "frame.h"
#include "web.h"

#define PREFIX_SIZE 1024
/* Maximum of addresses to listen on, each with one to forward to. */
#define MAX_ROUTES 4
/* With a rate limit, bytes forwarded at a time, and size of the socket buffers:
 * they are small so that a sender notices a link that is stalled. */
#define RATED_CHUNK 8192
#define RATED_BUFFER 65536

struct link {
	int fd[2];
	int silent;
	unsigned char prefix[PREFIX_SIZE]; /* first bytes; they name the host */
	size_t nprefix;
	struct link *next;
};

struct direction {
	struct link *link;
	int from;
};

static struct link *links;
static char cut_hosts[512];
static int cut_side = -1; /* side whose data is dropped; -1 is both */
static long delay_ms;
static int duplicate;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static const char *listen_addr[MAX_ROUTES], *to_addr[MAX_ROUTES];
static const char *control_addr;
static int nlisten, nto;
static long rate; /* bytes per second of all connections; 0 is no limit */
static struct timespec link_free_at; /* when the link can send the next bytes */

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "Address to listen on", 0},
    {"to", 't', "IP:PORT", 0, "Address to forward to", 0},
    {"rate", 'r', "BYTES", 0, "Limit of all connections together, per second",
	0},
    {"control", 'c', "IP:PORT", 0, "Address for faults", 0},
    {"double", 'd', NULL, 0, "Send each frame twice, except for the hello", 0},
    {0},
};

/* Parses one option. */
static error_t
parse_option(int key, char *arg, struct argp_state *st)
{
	switch (key) {
	case 'l':
		if (nlisten == MAX_ROUTES)
			argp_error(st, "too many addresses");
		listen_addr[nlisten++] = arg;
		break;
	case 't':
		if (nto == MAX_ROUTES)
			argp_error(st, "too many addresses");
		to_addr[nto++] = arg;
		break;
	case 'r':
		rate = atol(arg);
		break;
	case 'c':
		control_addr = arg;
		break;
	case 'd':
		duplicate = 1;
		break;
	case ARGP_KEY_END:
		if (nlisten == 0 || nto != nlisten || !control_addr)
			argp_error(st,
			    "--control is required, and a --to for each --listen");
		break;
	default:
		return (ARGP_ERR_UNKNOWN);
	}
	return (0);
}

static const struct argp argp = {
    options, parse_option, NULL, "Stand-in for the network", 0, 0, 0};

/* Parses "IP:PORT"; exits if it is invalid. */
static struct sockaddr_in
parse_address(const char *at)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[ADDR_MAX_GS];
	int port;

	if (addr_parse(at, ip, sizeof(ip), &port) != 0)
		errx(1, "invalid address %s", at);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)port);
	return (sin);
}

/* True if the link is one of a host that is cut off; the lock is held. */
static int
is_cut(const struct link *l)
{
	char name[64], agent[96], *word, *rest, list[sizeof(cut_hosts)];

	memcpy(list, cut_hosts, sizeof(cut_hosts));
	for (word = strtok_r(list, ",", &rest); word != NULL;
	     word = strtok_r(NULL, ",", &rest)) {
		/* Hosts name themselves in their hello, or to targets in
		 * User-Agent. */
		snprintf(name, sizeof(name), "%c%s", (int)strlen(word), word);
		snprintf(agent, sizeof(agent), "User-Agent: %s\r", word);
		if (strcmp(word, "*") == 0 ||
		    memmem(l->prefix, l->nprefix, name, strlen(name)) != NULL ||
		    memmem(l->prefix, l->nprefix, agent, strlen(agent)) != NULL)
			return (1);
	}
	return (0);
}

/* Saves the first bytes from the side that connected; the lock is held. */
static void
save_prefix(struct link *l, const char *buf, size_t n)
{
	if (n > PREFIX_SIZE - l->nprefix)
		n = PREFIX_SIZE - l->nprefix;
	memcpy(l->prefix + l->nprefix, buf, n);
	l->nprefix += n;
}

/* Sends n bytes, several times; returns 0 or -1. */
static int
send_repeated(int fd, const char *p, size_t n, int times)
{
	while (times-- > 0) {
		if (send(fd, p, n, MSG_NOSIGNAL) != (ssize_t)n)
			return (-1);
	}
	return (0);
}

/*
 * Forwards the complete frames among n bytes, each twice except for the first
 * of a connection; returns the number of bytes forwarded, or -1.
 */
static ssize_t
forward_frames(int fd, const char *p, size_t n, int *first)
{
	size_t at = 0, len;

	while (n - at >= FRAME_HEADER_SIZE) {
		if (frame_size((const uint8_t *)p + at, &len) != 0)
			return (-1);
		if (n - at < FRAME_HEADER_SIZE + len)
			break;
		if (send_repeated(fd, p + at, FRAME_HEADER_SIZE + len,
			*first ? 1 : 2) != 0)
			return (-1);
		*first = 0;
		at += FRAME_HEADER_SIZE + len;
	}
	return ((ssize_t)at);
}

/* Forwards frames in one direction, each twice. */
static void *
forward_twice(void *arg)
{
	struct direction *w = arg;
	struct link *l = w->link;
	char *buf = malloc(FRAME_HEADER_SIZE + FRAME_MAX);
	size_t have = 0;
	ssize_t n;
	int first = 1;

	while ((n = recv(l->fd[w->from], buf + have,
		    FRAME_HEADER_SIZE + FRAME_MAX - have, 0)) > 0) {
		have += (size_t)n;
		n = forward_frames(l->fd[!w->from], buf, have, &first);
		if (n < 0)
			break;
		memmove(buf, buf + n, have - (size_t)n);
		have -= (size_t)n;
	}
	shutdown(l->fd[!w->from], SHUT_RDWR);
	free(buf);
	free(w);
	return (NULL);
}

/* Waits for the time that the link takes for n bytes. */
static void
wait_rate(size_t n)
{
	struct timespec now, until;

	if (rate <= 0)
		return;
	pthread_mutex_lock(&lock);
	clock_gettime(CLOCK_MONOTONIC, &now);
	if (link_free_at.tv_sec < now.tv_sec ||
	    (link_free_at.tv_sec == now.tv_sec &&
		link_free_at.tv_nsec < now.tv_nsec))
		link_free_at = now;
	link_free_at.tv_nsec += (long)((double)n / (double)rate * 1e9);
	while (link_free_at.tv_nsec >= 1000000000) {
		link_free_at.tv_nsec -= 1000000000;
		link_free_at.tv_sec++;
	}
	until = link_free_at;
	pthread_mutex_unlock(&lock);
	clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
}

/* Limits the socket buffers of a connection of a link with a rate limit. */
static void
limit_buffers(int fd)
{
	int n = RATED_BUFFER;

	if (rate <= 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &n, sizeof(n));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &n, sizeof(n));
}

/* Forwards bytes in one direction; drops those of silent links and of hosts
 * that are cut off. */
static void *
forward(void *arg)
{
	struct direction *w = arg;
	struct link *l = w->link;
	char buf[65536];
	size_t chunk = rate > 0 ? RATED_CHUNK : sizeof(buf);
	ssize_t n;
	long wait;
	int drop;

	while ((n = recv(l->fd[w->from], buf, chunk, 0)) > 0) {
		wait_rate((size_t)n);
		pthread_mutex_lock(&lock);
		if (w->from == 0)
			save_prefix(l, buf, (size_t)n);
		drop = l->silent ||
		    (is_cut(l) && (cut_side < 0 || cut_side == w->from));
		/* A connection that has lost bytes stays silent: its stream
		 * has a gap for good. */
		l->silent = drop;
		wait = delay_ms;
		pthread_mutex_unlock(&lock);
		if (wait > 0)
			usleep((useconds_t)wait * 1000);
		if (!drop &&
		    send(l->fd[!w->from], buf, (size_t)n, MSG_NOSIGNAL) != n)
			break;
	}
	pthread_mutex_lock(&lock);
	drop = l->silent || is_cut(l);
	pthread_mutex_unlock(&lock);
	if (!drop)
		shutdown(l->fd[!w->from], SHUT_RDWR);
	free(w);
	return (NULL);
}

/* Starts forwarding in one direction. */
static void
start_forwarding(struct link *l, int from)
{
	struct direction *w = malloc(sizeof(*w));
	pthread_t t;

	w->link = l;
	w->from = from;
	pthread_create(&t, NULL, duplicate ? forward_twice : forward, w);
	pthread_detach(t);
}

/* A listening socket, and the address to forward its connections to. */
struct route {
	int fd;
	struct sockaddr_in to;
};

/* Accepts connections. */
static void *
accept_connections(void *arg)
{
	const struct route *p = arg;
	int fd = p->fd, conn;
	struct sockaddr_in to = p->to;
	struct link *l;

	while ((conn = accept(fd, NULL, NULL)) >= 0) {
		l = calloc(1, sizeof(*l));
		l->fd[0] = conn;
		l->fd[1] = socket(AF_INET, SOCK_STREAM, 0);
		limit_buffers(l->fd[0]);
		limit_buffers(l->fd[1]);
		if (connect(l->fd[1], (struct sockaddr *)&to, sizeof(to)) !=
		    0) {
			close(l->fd[0]);
			close(l->fd[1]);
			free(l);
			continue;
		}
		pthread_mutex_lock(&lock);
		l->next = links;
		links = l;
		pthread_mutex_unlock(&lock);
		start_forwarding(l, 0);
		start_forwarding(l, 1);
	}
	return (NULL);
}

/* Forwards datagrams; drops those of hosts that are cut off. */
static void *
forward_datagrams(void *arg)
{
	const struct route *p = arg;
	struct link sender;
	unsigned char buf[2048];
	ssize_t n;
	long wait;
	int drop;

	while ((n = recv(p->fd, buf, sizeof(buf), 0)) >= 0) {
		memset(&sender, 0, sizeof(sender));
		save_prefix(&sender, (const char *)buf, (size_t)n);
		pthread_mutex_lock(&lock);
		drop = is_cut(&sender) && cut_side <= 0;
		wait = delay_ms;
		pthread_mutex_unlock(&lock);
		if (wait > 0)
			usleep((useconds_t)wait * 1000);
		if (!drop)
			sendto(p->fd, buf, (size_t)n, 0,
			    (const struct sockaddr *)&p->to, sizeof(p->to));
	}
	return (NULL);
}

/* Resets an open connection, so that both ends notice at once. */
static void
reset_link(const struct link *l)
{
	struct linger hard = {1, 0};
	int i;

	for (i = 0; i < 2; i++) {
		setsockopt(
		    l->fd[i], SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		shutdown(l->fd[i], SHUT_RDWR);
	}
}

/*
 * Sets faults: silent=1 drops the data of all open links, reset=1 resets them,
 * delay=MS delays all data, and cut=HOST,... drops the data of these hosts (*
 * is all hosts, empty is none): with way=0 only what the side that connected
 * sends, with way=1 only what the other side sends.
 */
static void
handle_control(const struct web_request *q, struct web_answer *a)
{
	const char *s;
	struct link *l;

	pthread_mutex_lock(&lock);
	if (web_parse_number(web_arg(q, "silent"), 0)) {
		for (l = links; l != NULL; l = l->next)
			l->silent = 1;
	}
	if (web_parse_number(web_arg(q, "reset"), 0)) {
		for (l = links; l != NULL; l = l->next)
			reset_link(l);
	}
	if ((s = web_arg(q, "cut")) != NULL) {
		snprintf(cut_hosts, sizeof(cut_hosts), "%s", s);
		cut_side = (int)web_parse_number(web_arg(q, "way"), -1);
	}
	delay_ms = web_parse_number(web_arg(q, "delay"), delay_ms);
	pthread_mutex_unlock(&lock);
}

/* Listens on an address and forwards its connections and datagrams. */
static void
start_listener(const char *from, const char *to)
{
	struct sockaddr_in at = parse_address(from);
	struct route *p = calloc(1, sizeof(*p));
	pthread_t t;
	int on = 1;

	p->to = parse_address(to);
	p->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(p->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	limit_buffers(p->fd);
	if (bind(p->fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(p->fd, 64) != 0)
		err(1, "%s", from);
	pthread_create(&t, NULL, accept_connections, p);
	p = calloc(1, sizeof(*p));
	p->to = parse_address(to);
	p->fd = socket(AF_INET, SOCK_DGRAM, 0);
	if (bind(p->fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		err(1, "%s", from);
	pthread_create(&t, NULL, forward_datagrams, p);
}

int
main(int argc, char **argv)
{
	sigset_t set;
	int i, sig;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	for (i = 0; i < nlisten; i++)
		start_listener(listen_addr[i], to_addr[i]);
	if (web_start(control_addr, handle_control) == NULL)
		errx(1, "cannot listen on %s", control_addr);
	sigwait(&set, &sig);
	_exit(0);
}
