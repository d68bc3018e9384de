/* HTTP transfers to targets. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "held.h"
#include "transfer.h"

/* Keepalive probes of a silent connection: when they start, their interval in
 * seconds, and how many may go unanswered ... */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* ... and the time without an acknowledgement after which it is closed. */
#define USER_TIMEOUT_MS 2500

/* Wakes a service's thread that waits for its transfers; multi is its CURLM. */
void
transfers_wake(void *multi)
{
	curl_multi_wakeup(multi);
}

/*
 * Makes the operating system detect a dead connection.  Nothing else does: a
 * watch on it gets no change and a request no answer until they time out.
 */
int
transfer_set_keepalive(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1, idle = KEEPALIVE_IDLE_S, interval = KEEPALIVE_INTERVAL_S,
	    n = KEEPALIVE_PROBES;
	int ms = USER_TIMEOUT_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &n, sizeof(n));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return (CURL_SOCKOPT_OK);
}

/* Prepares for an answer with a body of at most body_max bytes, or open_max if
 * its length is not stated; to_head is true if the request is a HEAD. */
void
transfer_init(struct transfer *t, const struct target_ops *ops, size_t body_max,
    size_t open_max, int to_head)
{
	t->ops = ops;
	t->reply.limit = -1;
	framing_init(&t->framing, body_max, open_max, to_head);
}

/* Appends received bytes to the answer's body, or discards them if the body
 * is not wanted. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if (framing_body(&t->framing, size * n) != 0)
		return (0);
	if (t->held != NULL) {
		*t->held += size * n;
		held_add(size * n);
	}
	if (t->discards_body)
		return (size * n);
	return (str_add(&t->reply.body, p, size * n) == 0 ? size * n : 0);
}

/* Classifies the answer to a request, which may be another one's. */
enum reply_kind
transfer_kind(const struct transfer *t)
{
	const struct reply *r = &t->reply;
	enum reply_kind kind = t->ops->kind(r);
	struct answer_facts f = {
	    .id = answer_id_of(r->id, t->call->id),
	    .is_signed = r->is_signed,
	    .not_run = kind == REPLY_REFUSED || kind == REPLY_NOT_OWNER,
	    .is_stated = r->not_run,
	    .new_conn = t->new_conn,
	    .resent = t->resent,
	    .has_id = t->call->id[0] != '\0',
	};

	return (answer_is_own(&f) ? kind : REPLY_FOREIGN);
}

/* True if an answer whose head was read is not that to this transfer. */
static int
is_foreign(struct transfer *t)
{
	if (t->is_own != NULL)
		return (!t->is_own(t));
	return (t->call != NULL && transfer_kind(t) == REPLY_FOREIGN);
}

/* Passes the headers of the answer's own head to the operations for this kind
 * of target. */
static size_t
on_header(char *p, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	switch (framing_line(&t->framing, p, size * n)) {
	case FRAMING_FIELD:
		t->ops->head(&t->reply, p, size * n);
		break;
	case FRAMING_HEAD_END:
		t->reply.status = t->framing.status;
		t->is_foreign = is_foreign(t);
		if (t->is_foreign)
			return (0);
		break;
	case FRAMING_IGNORED:
		break;
	case FRAMING_INVALID:
		return (0);
	}
	return (size * n);
}

/*
 * Returns CURLE_OK if a transfer that ended with res has brought a whole
 * answer.  libcurl reports no error if the connection ends within the head and
 * no length has been read yet.
 */
CURLcode
transfer_result(const struct framing *f, CURLcode res)
{
	if (res == CURLE_OK && !framing_is_whole(f, 1))
		return (CURLE_PARTIAL_FILE);
	return (res);
}

/* The same for a request or an order; an answer to another request, which is
 * not read any further, is no error. */
CURLcode
transfer_end(const struct transfer *t, CURLcode res)
{
	return (t->is_foreign ? CURLE_OK : transfer_result(&t->framing, res));
}

/* True if a transfer that ended with res failed though the way to the target
 * works: its answer had begun, and the target or this host ended it. */
int
transfer_broke_off(const struct transfer *t, CURLcode res)
{
	return (t->framing.head_size > 0 &&
	    (res == CURLE_PARTIAL_FILE || res == CURLE_WRITE_ERROR));
}

/*
 * Called by libcurl just before it sends the request, and again before it
 * resends it because a reused connection died without an answer.  The target
 * may have run the first: a reservation would be made twice, and a grant would
 * count from a later arrival than its sender assumes.  So the resend is
 * aborted, and the owner of the transfer decides whether to retry.
 */
static int
on_send(void *arg, char *ip, char *local, int port, int local_port)
{
	struct transfer *t = arg;
	long new_conn = 0;

	if (t->maybe_sent)
		return (CURL_PREREQFUNC_ABORT);
	t->maybe_sent = 1;
	curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &new_conn);
	t->new_conn = new_conn > 0;
	t->local_port = local_port;
	if (t->sends == NULL)
		return (CURL_PREREQFUNC_OK);
	t->resent =
	    !t->new_conn && sends_include(t->sends, t->addr, local_port);
	sends_add(t->sends, t->addr, local_port);
	return (CURL_PREREQFUNC_OK);
}

/* Sets the options that all transfers to targets share; source is the IP
 * address to connect from, or "". */
void
transfer_set_options(struct transfer *t, const char *url,
    long connect_timeout_ms, const char *source)
{
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(t->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	if (source[0] != '\0')
		curl_easy_setopt(t->easy, CURLOPT_INTERFACE, source);
	curl_easy_setopt(
	    t->easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(
	    t->easy, CURLOPT_SOCKOPTFUNCTION, transfer_set_keepalive);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
}

/* Sends a transfer through a tunnel of the host at an address. */
void
transfer_set_tunnel(struct transfer *t, const char *host)
{
	char url[FLEET_ADDR + 16];

	snprintf(url, sizeof(url), "http://%s", host);
	curl_easy_setopt(t->easy, CURLOPT_INTERFACE, NULL);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, url);
	curl_easy_setopt(t->easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HEADEROPT, (long)CURLHEADER_SEPARATE);
}

/* Frees a transfer's headers and answer, but not its handle. */
void
transfer_free(struct transfer *t)
{
	curl_slist_free_all(t->headers);
	str_free(&t->reply.headers);
	str_free(&t->reply.body);
	if (t->held != NULL) {
		*t->held -= t->framing.body_size;
		held_sub(t->framing.body_size);
	}
}
