#include <stdlib.h>
#include <string.h>

#include <apr_portable.h>

#include "conn.h"
#include "held.h"
#include "sock.h"

#define READ_CHUNK 65536
/*
 * Frames of state larger than LARGE_FRAME_MIN are not queued while more than
 * BACKLOG_MAX bytes are unsent.
 */
#define LARGE_FRAME_MIN 16384
#define BACKLOG_MAX 65536

/* Makes a connection that owns socket and pool; NULL if out of memory. */
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
	c->opened_at = now;
	c->last_recv = now;
	c->waits_since = now;
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
	apr_socket_timeout_set(sock, 0);
	return (c);
}

/* Closes the socket and frees the connection. */
void
conn_free(struct conn *c)
{
	held_sub(c->held);
	apr_socket_close(c->sock);
	str_free(&c->in);
	str_free(&c->out);
	free(c->waiting_corrs);
	apr_pool_destroy(c->pool);
	free(c);
}

/* Closes the connection in order and frees it: the peer receives what was
 * written. */
void
conn_close(struct conn *c)
{
	apr_os_sock_t fd;

	if (apr_os_sock_get(&fd, c->sock) == APR_SUCCESS)
		sock_end(fd);
	conn_free(c);
}

/* Marks a connection to be closed; the reason, a static string, is logged. */
void
conn_fail(struct conn *c, const char *fail_reason)
{
	if (c->failed)
		return;
	c->failed = 1;
	c->fail_reason = fail_reason;
}

/* Queues a packed frame; returns 0, or -1 if the buffer is full. */
int
conn_queue(struct conn *c, const uint8_t *p, size_t n, usec now)
{
	if (c->out.n - c->out_pos + n > CONN_OUT_MAX ||
	    str_add(&c->out, p, n) != 0)
		return (-1);
	if (c->first_unanswered == 0)
		c->first_unanswered = now;
	return (0);
}

/* Notes a request that was queued before the connection was established. */
void
conn_add_waiting(struct conn *c, uint64_t corr)
{
	uint64_t *p;

	p = realloc(c->waiting_corrs, (c->nwaiting + 1) * sizeof(*p));
	if (p == NULL)
		return;
	c->waiting_corrs = p;
	c->waiting_corrs[c->nwaiting++] = corr;
}

/*
 * Returns true if a frame of state of n bytes should not be queued now.  State
 * is sent again on a timer; on a link that needs longer than that for one copy,
 * the queue would grow until no copy arrives in time.
 */
int
conn_is_backlogged(const struct conn *c, size_t n)
{
	return (n > LARGE_FRAME_MIN && c->out.n - c->out_pos > BACKLOG_MAX);
}

/*
 * Writes queued bytes until the socket takes no more.  If a full socket takes
 * bytes again, the peer has received earlier ones and is alive, though it can
 * answer only after all that is queued.  Without this, a connection on a slow
 * link would be closed in the middle of each large frame, and none would
 * arrive.
 */
void
conn_write(struct conn *c, usec now)
{
	apr_status_t st;
	apr_size_t n;

	while (c->out_pos < c->out.n) {
		n = c->out.n - c->out_pos;
		st = apr_socket_send(c->sock, c->out.p + c->out_pos, &n);
		if (APR_STATUS_IS_EAGAIN(st)) {
			c->blocked = 1;
			return;
		}
		if (st != APR_SUCCESS) {
			conn_fail(c, "send failed");
			return;
		}
		count_add(C_PEER_OUT_BYTES, n);
		c->out_pos += n;
		if (c->blocked && c->first_unanswered != 0)
			c->first_unanswered = now;
		c->blocked = 0;
	}
	c->out.n = 0;
	c->out_pos = 0;
}

/* Passes on one complete frame of the input; returns 0 if there is none. */
static int
read_frame(struct conn *c, conn_frame_fn fn, void *arg)
{
	const uint8_t *p = (const uint8_t *)c->in.p + c->in_pos;
	size_t have = c->in.n - c->in_pos, n;
	Gspar__Frame *f;

	if (have < FRAME_HEADER_SIZE)
		return (0);
	if (frame_size(p, &n) != 0 || (!c->hello_received && n > HELLO_MAX)) {
		count_add(C_PEER_BAD, 1);
		conn_fail(c, "frame length out of range");
		return (0);
	}
	if (have < FRAME_HEADER_SIZE + n)
		return (0);
	f = frame_unpack(p + FRAME_HEADER_SIZE, n);
	if (f == NULL) {
		count_add(C_PEER_BAD, 1);
		conn_fail(c, "malformed frame or unknown kind");
		return (0);
	}
	c->in_pos += FRAME_HEADER_SIZE + n;
	count_add(C_PEER_IN, 1);
	if (frame_is_control(f)) {
		count_add(C_CONTROL_FRAMES, 1);
		count_add(C_CONTROL_BYTES, FRAME_HEADER_SIZE + n);
	}
	fn(arg, c, f);
	return (1);
}

/* Removes from the input what was passed on, and records what is held of the
 * next frame. */
static void
keep_rest(struct conn *c, usec now)
{
	if (c->in_pos > 0 || c->held == 0)
		c->waits_since = now;
	if (c->in_pos == c->in.n) {
		c->in.n = 0;
		c->in_pos = 0;
	} else if (c->in_pos > READ_CHUNK) {
		memmove(c->in.p, c->in.p + c->in_pos, c->in.n - c->in_pos);
		c->in.n -= c->in_pos;
		c->in_pos = 0;
	}
	held_add(c->in.n);
	held_sub(c->held);
	c->held = c->in.n;
}

/*
 * Reads available bytes; calls fn for each complete frame, which fn frees.  The
 * frames of one piece are passed on before the next is read, so that the input
 * holds little more than one frame.
 */
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
			conn_fail(c, "closed by the peer");
			break;
		}
		count_add(C_PEER_IN_BYTES, n);
		c->last_recv = now;
		c->first_unanswered = 0;
		c->pinged = 0;
		if (str_add(&c->in, buf, n) != 0) {
			conn_fail(c, "out of memory");
			break;
		}
		while (read_frame(c, fn, arg) && !c->failed)
			;
		keep_rest(c, now);
		if (n < sizeof(buf) || c->failed)
			break;
	}
}
