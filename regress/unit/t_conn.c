/* A connection between hosts over a slow or dead link. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_portable.h>

#include "conn.h"
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

static const struct unit_test tests[] = {
    {"slow is not silent", slow_link_is_alive},
    {"copies do not pile up", state_does_not_accumulate},
};
UNIT_MAIN("conn", tests)
