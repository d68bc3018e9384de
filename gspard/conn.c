#include <stdlib.h>
#include <string.h>

#include "conn.h"

#define READ_CHUNK 65536
/* Frames larger than this wait until less than that is unsent before them. */
#define FRAME_LARGE 16384
#define UNSENT_MOST 65536

/* Wraps a socket; the connection owns it and its pool. */
struct conn *
conn_new(apr_socket_t *sock, apr_pool_t *pool, uint64_t id, usec now)
{
	struct conn *c;

	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return (NULL);
	c->sock = sock;
	c->pool = pool;
	c->id = id;
	c->began = now;
	c->last_in = now;
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
	apr_socket_timeout_set(sock, 0);
	return (c);
}

/* Closes and frees. */
void
conn_free(struct conn *c)
{
	apr_socket_close(c->sock);
	str_free(&c->in);
	str_free(&c->out);
	free(c->waiting);
	apr_pool_destroy(c->pool);
	free(c);
}

/* Marks the connection as one to close, with the reason for the log. */
void
conn_fail(struct conn *c, const char *why)
{
	if (c->dead)
		return;
	c->dead = 1;
	c->why = why;
}

/* Adds a packed frame to what waits to be sent; 0, or -1. */
int
conn_queue(struct conn *c, const uint8_t *p, size_t n, usec now)
{
	if (c->out.n - c->out_at + n > CONN_OUT_MAX ||
	    str_add(&c->out, p, n) != 0)
		return (-1);
	if (c->first_unanswered == 0)
		c->first_unanswered = now;
	return (0);
}

/* Notes a request that is queued while the connection does not stand yet. */
void
conn_wait(struct conn *c, uint64_t corr)
{
	uint64_t *p;

	p = realloc(c->waiting, (c->nwaiting + 1) * sizeof(*p));
	if (p == NULL)
		return;
	c->waiting = p;
	c->waiting[c->nwaiting++] = corr;
}

/*
 * True where a copy of what this host knows should not be queued now: whoever
 * sends it sends it again on a timer, and on a link that needs longer for one
 * than the timer runs, copies would pile up until none gets through in time.
 */
int
conn_held_up(const struct conn *c, size_t n)
{
	return (n > FRAME_LARGE && c->out.n - c->out_at > UNSENT_MOST);
}

/*
 * Sends what it can.  Where the link was full and takes bytes again, the other
 * end has taken those before them: it is not silent, though its answer comes
 * only after all that is queued.  Taken for silent, a connection on a slow link
 * is closed in the middle of each large frame, and none ever arrives.
 */
void
conn_write(struct conn *c, usec now)
{
	apr_status_t st;
	apr_size_t n;

	while (c->out_at < c->out.n) {
		n = c->out.n - c->out_at;
		st = apr_socket_send(c->sock, c->out.p + c->out_at, &n);
		if (APR_STATUS_IS_EAGAIN(st)) {
			c->full = 1;
			return;
		}
		if (st != APR_SUCCESS) {
			conn_fail(c, "send failed");
			return;
		}
		count_add(C_PEER_OUT_BYTES, n);
		c->out_at += n;
		if (c->full && c->first_unanswered != 0)
			c->first_unanswered = now;
		c->full = 0;
	}
	c->out.n = 0;
	c->out_at = 0;
}

/* Takes one whole frame out of what was read; 0 where there is none yet. */
static int
one_frame(struct conn *c, conn_frame_fn fn, void *arg)
{
	const uint8_t *p = (const uint8_t *)c->in.p + c->in_at;
	size_t have = c->in.n - c->in_at, n;
	Gspar__Frame *f;

	if (have < FRAME_HEAD)
		return (0);
	if (frame_size(p, &n) != 0) {
		count_add(C_PEER_BAD, 1);
		conn_fail(c, "frame of a length that is not allowed");
		return (0);
	}
	if (have < FRAME_HEAD + n)
		return (0);
	f = frame_unpack(p + FRAME_HEAD, n);
	if (f == NULL) {
		count_add(C_PEER_BAD, 1);
		conn_fail(c, "malformed frame or of unknown kind");
		return (0);
	}
	c->in_at += FRAME_HEAD + n;
	count_add(C_PEER_IN, 1);
	if (frame_is_control(f)) {
		count_add(C_CONTROL_FRAMES, 1);
		count_add(C_CONTROL_BYTES, FRAME_HEAD + n);
	}
	fn(arg, c, f);
	return (1);
}

/* Reads what there is and calls fn for each whole frame, which fn frees. */
void
conn_read(struct conn *c, usec now, conn_frame_fn fn, void *arg)
{
	char buf[READ_CHUNK];
	apr_status_t st;
	apr_size_t n;

	for (;;) {
		n = sizeof(buf);
		st = apr_socket_recv(c->sock, buf, &n);
		if (APR_STATUS_IS_EAGAIN(st))
			break;
		if (st != APR_SUCCESS || n == 0) {
			conn_fail(c, "closed by the other end");
			break;
		}
		count_add(C_PEER_IN_BYTES, n);
		c->last_in = now;
		c->first_unanswered = 0;
		c->pinged = 0;
		if (str_add(&c->in, buf, n) != 0) {
			conn_fail(c, "out of memory");
			break;
		}
		if (n < sizeof(buf))
			break;
	}
	while (one_frame(c, fn, arg) && !c->dead)
		;
	if (c->in_at == c->in.n) {
		c->in.n = 0;
		c->in_at = 0;
	} else if (c->in_at > READ_CHUNK) {
		memmove(c->in.p, c->in.p + c->in_at, c->in.n - c->in_at);
		c->in.n -= c->in_at;
		c->in_at = 0;
	}
}
