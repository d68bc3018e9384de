/* A connection between hosts over a slow or dead link. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_portable.h>

#include "conn.h"
#include "held.h"
#include "unit.h"

#define LARGE_FRAME 1000000u

/* Makes a connection with a small send buffer; *other is its other end. */
static struct conn *
open_conn(int *other)
{
	int fd[2], n = 8192;
	apr_socket_t *sock = NULL;
	apr_pool_t *pool;

	apr_initialize();
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fd), 0);
	setsockopt(fd[0], SOL_SOCKET, SO_SNDBUF, &n, sizeof(n));
	apr_pool_create(&pool, NULL);
	apr_os_sock_put(&sock, &fd[0], pool);
	*other = fd[1];
	return (conn_new(sock, pool, 1, MS(1000)));
}

/* Queues a large frame and writes what the socket takes. */
static void
fill(struct conn *c, usec now)
{
	uint8_t *p = calloc(1, LARGE_FRAME);

	CU_ASSERT_EQUAL(conn_queue(c, p, LARGE_FRAME, now), 0);
	conn_write(c, now);
	free(p);
}

/*
 * Sending a large frame may take longer than the timeout for an answer.  As
 * long as the peer receives bytes, the timeout must restart, or the connection
 * is closed with the frame half sent.
 */
static void
slow_link_is_alive(void)
{
	char buf[65536];
	struct conn *c;
	int other;

	c = open_conn(&other);
	fill(c, MS(1000));
	CU_ASSERT(c->out_pos < c->out.n);
	CU_ASSERT_EQUAL(c->first_unanswered, MS(1000));
	CU_ASSERT(read(other, buf, sizeof(buf)) > 0);
	conn_write(c, MS(1600));
	CU_ASSERT_EQUAL(c->first_unanswered, MS(1600));
	/* No more bytes are taken: the timeout runs from the last ones. */
	conn_write(c, MS(2200));
	CU_ASSERT_EQUAL(c->first_unanswered, MS(1600));
	close(other);
	conn_free(c);
}

/* A large frame of state is not queued behind another that is still being
 * sent; small frames, such as heartbeats, are. */
static void
state_does_not_accumulate(void)
{
	struct conn *c;
	int other;

	c = open_conn(&other);
	CU_ASSERT(!conn_is_backlogged(c, LARGE_FRAME));
	fill(c, MS(1000));
	CU_ASSERT(conn_is_backlogged(c, LARGE_FRAME));
	CU_ASSERT(!conn_is_backlogged(c, 500));
	close(other);
	conn_free(c);
}

/* Counts the frames that a connection passes on. */
static void
count_frame(void *arg, struct conn *c, Gspar__Frame *f)
{
	(*(int *)arg)++;
	frame_free(f);
}

/* Writes the header of a frame of n bytes, and some of these. */
static void
begin_frame(int fd, uint32_t n, size_t sent)
{
	uint8_t *p = calloc(1, FRAME_HEADER_SIZE + sent);

	p[0] = (uint8_t)(n >> 24);
	p[1] = (uint8_t)(n >> 16);
	p[2] = (uint8_t)(n >> 8);
	p[3] = (uint8_t)n;
	CU_ASSERT(write(fd, p, FRAME_HEADER_SIZE + sent) > 0);
	free(p);
}

/* Whoever connects can have this host wait for a large frame and keep all of it
 * in memory that nobody counts. */
static void
frame_without_end(void)
{
	struct conn *c;
	int other, n = 0;

	c = open_conn(&other);
	begin_frame(other, HELLO_MAX + 1, 0);
	conn_read(c, MS(1000), count_frame, &n);
	CU_ASSERT(c->failed);
	close(other);
	conn_free(c);
	c = open_conn(&other);
	begin_frame(other, HELLO_MAX, 0);
	conn_read(c, MS(1000), count_frame, &n);
	CU_ASSERT(!c->failed);
	close(other);
	conn_free(c);
	c = open_conn(&other);
	c->hello_received = 1;
	begin_frame(other, LARGE_FRAME, 30000);
	conn_read(c, MS(1000), count_frame, &n);
	CU_ASSERT(!c->failed);
	CU_ASSERT_EQUAL(held_now(), FRAME_HEADER_SIZE + 30000);
	close(other);
	conn_free(c);
	CU_ASSERT_EQUAL(held_now(), 0);
	CU_ASSERT_EQUAL(n, 0);
}

/* At its end the process resets connections with unread frames: the other host
 * may lose what was written last. */
static void
end_of_process(void)
{
	static const uint8_t frame[] = "frame";
	char buf[100];
	struct conn *c;
	int other;

	c = open_conn(&other);
	CU_ASSERT_EQUAL(conn_queue(c, frame, sizeof(frame), MS(1000)), 0);
	conn_write(c, MS(1000));
	CU_ASSERT_EQUAL(write(other, frame, sizeof(frame)), sizeof(frame));
	conn_close(c);
	CU_ASSERT_EQUAL(read(other, buf, sizeof(buf)), sizeof(frame));
	CU_ASSERT_EQUAL(read(other, buf, sizeof(buf)), 0);
	close(other);
}

static const struct unit_test tests[] = {
    {"slow is not silent", slow_link_is_alive},
    {"frame without end", frame_without_end},
    {"copies do not pile up", state_does_not_accumulate},
    {"end of the process", end_of_process},
};
UNIT_MAIN("conn", tests)
