/* Which connections of callers a stop ends, and what it knows of them. */
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "callers.h"
#include "unit.h"

static union MHD_ConnectionInfo info;
static int fd_now;
static void *state_now;

/* In the place of the HTTP library's: about the connection of this test. */
const union MHD_ConnectionInfo *
MHD_get_connection_info(
    struct MHD_Connection *conn, enum MHD_ConnectionInfoType what, ...)
{
	if (what == MHD_CONNECTION_INFO_CONNECTION_FD)
		info.connect_fd = fd_now;
	else
		info.socket_context = state_now;
	return (&info);
}

/* True where a read would find the connection's end. */
static int
at_end(int fd)
{
	char b;

	return (recv(fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

/*
 * A stop ends a connection that is idle, and at that moment a request comes on
 * it: the library reads what came before it looks for the end.  The router,
 * which asks whether the caller is still there, found that end, cut the target
 * at work and told the caller that it had left.
 */
static void
request_as_it_ends(void)
{
	apr_thread_mutex_t *lock;
	apr_pool_t *pool;
	struct callers *l;
	int sv[2];

	apr_initialize();
	apr_pool_create(&pool, NULL);
	apr_thread_mutex_create(&lock, APR_THREAD_MUTEX_DEFAULT, pool);
	l = callers_new(lock);
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, sv), 0);
	fd_now = sv[0];
	callers_changed(l, NULL, &state_now, MHD_CONNECTION_NOTIFY_STARTED);
	/* With a request under way, or one that has come, it is left alone. */
	CU_ASSERT(!callers_busy(l, NULL, 1));
	callers_end_idle(l);
	CU_ASSERT(!at_end(sv[0]));
	CU_ASSERT(!callers_busy(l, NULL, 0));
	CU_ASSERT_EQUAL(write(sv[1], "G", 1), 1);
	callers_end_idle(l);
	CU_ASSERT(!callers_busy(l, NULL, 1));
	CU_ASSERT_EQUAL(read(sv[0], &fd_now, 1), 1);
	CU_ASSERT(!callers_busy(l, NULL, 0));
	/* Idle, it ends, and a request that comes then is known to be so. */
	callers_end_idle(l);
	CU_ASSERT(at_end(sv[0]));
	CU_ASSERT(callers_busy(l, NULL, 1));
	callers_changed(l, NULL, &state_now, MHD_CONNECTION_NOTIFY_CLOSED);
	callers_free(l);
	close(sv[0]);
	close(sv[1]);
	apr_pool_destroy(pool);
	apr_terminate();
}

static const struct unit_test tests[] = {
    {"request as it ends", request_as_it_ends},
};
UNIT_MAIN("callers", tests)
