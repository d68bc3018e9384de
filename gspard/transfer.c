#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "transfer.h"

/* A silent connection is probed after this many seconds, this often ... */
#define PROBE_IDLE_S 1
#define PROBE_EVERY_S 1
#define PROBES 2
/* ... and lost after this, also where what was sent is not acknowledged. */
#define USER_TIMEOUT_MS 2500

/* Wakes a service's thread that waits for its transfers. */
void
transfers_wake(void *multi)
{
	curl_multi_wakeup(multi);
}

/*
 * Makes the kernel notice a connection that went silent for good.  Nothing
 * else tells: a watch on it hears no change, a request no answer, until their
 * time is up.
 */
int
transfer_alive(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1, idle = PROBE_IDLE_S, every = PROBE_EVERY_S, n = PROBES;
	int ms = USER_TIMEOUT_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof(every));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &n, sizeof(n));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return (CURL_SOCKOPT_OK);
}

/* Collects the answer's body, or forgets it where it is not wanted. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if (t->body_max == 0)
		return (size * n);
	if (t->reply.body.n + size * n > t->body_max) {
		t->reply.too_large = 1;
		return (0);
	}
	return (str_add(&t->reply.body, p, size * n) == 0 ? size * n : 0);
}

/* Passes a header line on to the target's form. */
static size_t
on_head(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	t->ops->head(&t->reply, p, size * n);
	return (size * n);
}

/*
 * Called just before the request goes out, and once more if the HTTP client
 * wants to send it again because a kept connection died unanswered.  The
 * target may have run the first: a reservation would be made twice, and a
 * grant would count from a later arrival than its sender reckons with.  So the
 * second is refused, and whether to send again is decided elsewhere.
 */
static int
on_send(void *arg, char *ip, char *local, int port, int local_port)
{
	struct transfer *t = arg;
	long opened = 0;

	if (t->begun)
		return (CURL_PREREQFUNC_ABORT);
	t->begun = 1;
	curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &opened);
	t->opened = opened > 0;
	return (CURL_PREREQFUNC_OK);
}

/* Sets what all transfers to targets have in common. */
void
transfer_set(struct transfer *t, const char *url, long connect_ms)
{
	t->reply.limit = -1;
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(t->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->heads);
	curl_easy_setopt(t->easy, CURLOPT_SOCKOPTFUNCTION, transfer_alive);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_head);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
}

/* Frees what a transfer holds beside its handle. */
void
transfer_end(struct transfer *t)
{
	curl_slist_free_all(t->heads);
	str_free(&t->reply.heads);
	str_free(&t->reply.body);
}
