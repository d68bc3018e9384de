/* Tests of the connections that an orderly stop ends. */
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "callers.h"
#include "unit.h"

static union MHD_ConnectionInfo info;
static int fd_now;
static void *state_now;

/* Replaces the HTTP library's function for the connection of this test. */
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

/* True where a read would return the end of file. */
static int
at_end(int fd)
{
	char b;

	return (recv(fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) == 0);
}

/*
 * A request arrives on an idle connection just as a stop ends it: the library
 * reads the request before the end of file.  Guards against the router taking
 * that end of file for a caller that has left, which cut off the target that
 * was working and answered the caller that its request was cancelled.
 */
static void
request_while_ending(void)
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
	callers_on_notify(l, NULL, &state_now, MHD_CONNECTION_NOTIFY_STARTED);
	/* A connection with a request running or arrived is not ended. */
	CU_ASSERT(!callers_set_busy(l, NULL, 1));
	callers_end_idle(l);
	CU_ASSERT(!at_end(sv[0]));
	CU_ASSERT(!callers_set_busy(l, NULL, 0));
	CU_ASSERT_EQUAL(write(sv[1], "G", 1), 1);
	callers_end_idle(l);
	CU_ASSERT(!callers_set_busy(l, NULL, 1));
	CU_ASSERT_EQUAL(read(sv[0], &fd_now, 1), 1);
	CU_ASSERT(!callers_set_busy(l, NULL, 0));
	/* An idle one is ended, and a request that arrives then learns it. */
	callers_end_idle(l);
	CU_ASSERT(at_end(sv[0]));
	CU_ASSERT(callers_set_busy(l, NULL, 1));
	callers_on_notify(l, NULL, &state_now, MHD_CONNECTION_NOTIFY_CLOSED);
	callers_free(l);
	close(sv[0]);
	close(sv[1]);
	apr_pool_destroy(pool);
	apr_terminate();
}

static const struct unit_test tests[] = {
    {"request while ending", request_while_ending},
};
UNIT_MAIN("callers", tests)
