/* Tests of the connections that an orderly stop ends. */
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "callers.h"
#include "clock.h"
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
	struct linger_list *linger;
	struct callers *l;
	int sv[2];

	apr_initialize();
	linger = linger_new(8);
	l = callers_new(8, linger);
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
	linger_free(linger);
	close(sv[0]);
	close(sv[1]);
	apr_terminate();
}

#define MAX 4

/* Opens a connection; returns the caller's end. */
static int
open_conn(struct callers *l, void **state, int *fd)
{
	int sv[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, sv), 0);
	*fd = fd_now = sv[0];
	callers_on_notify(l, NULL, state, MHD_CONNECTION_NOTIFY_STARTED);
	return (sv[1]);
}

/* Records a request on a connection. */
static enum caller_end
set_busy(struct callers *l, void *state, int busy)
{
	state_now = state;
	return (callers_set_busy(l, NULL, busy));
}

/* The library closes a connection, or a stop ends it, while its answer is on
 * its way: later bytes of the caller reset it. */
static void
answer_on_its_way(void)
{
	struct linger_list *linger;
	struct callers *l;
	void *state;
	char b[8];
	int fd, end;

	apr_initialize();
	linger = linger_new(MAX);
	l = callers_new(MAX, linger);
	end = open_conn(l, &state, &fd);
	CU_ASSERT_EQUAL(write(fd, "answer", 6), 6);
	callers_end_idle(l);
	CU_ASSERT(!at_end(fd));
	callers_on_notify(l, NULL, &state, MHD_CONNECTION_NOTIFY_CLOSED);
	close(fd);
	CU_ASSERT_EQUAL(linger_count(linger), 1);
	CU_ASSERT_EQUAL(write(end, "more", 4), 4);
	CU_ASSERT_EQUAL(read(end, b, sizeof(b)), 6);
	CU_ASSERT_EQUAL(read(end, b, sizeof(b)), 0);
	/* One that its caller has closed is not kept. */
	close(end);
	end = open_conn(l, &state, &fd);
	close(end);
	callers_on_notify(l, NULL, &state, MHD_CONNECTION_NOTIFY_CLOSED);
	close(fd);
	CU_ASSERT_EQUAL(linger_count(linger), 1);
	callers_free(l);
	linger_free(linger);
	apr_terminate();
}

/*
 * Connections without a request take all that may be open: the one idle for
 * longest gives way, a new one before one that is reused, and none with a
 * request in progress.
 */
static void
too_many(void)
{
	struct linger_list *linger;
	struct callers *l;
	void *state[MAX + 2];
	int fd[MAX + 2], end[MAX + 2], i;
	usec now = clock_mono() + MS(1000);

	apr_initialize();
	linger = linger_new(MAX);
	l = callers_new(MAX, linger);
	for (i = 0; i < MAX; i++)
		end[i] = open_conn(l, &state[i], &fd[i]);
	/* The first is busy, the second was used. */
	set_busy(l, state[0], 1);
	set_busy(l, state[1], 1);
	set_busy(l, state[1], 0);
	CU_ASSERT(callers_limit(l, now));
	CU_ASSERT(!at_end(end[2]));
	end[MAX] = open_conn(l, &state[MAX], &fd[MAX]);
	CU_ASSERT(callers_limit(l, now));
	CU_ASSERT(!at_end(end[0]));
	CU_ASSERT(!at_end(end[1]));
	CU_ASSERT(at_end(end[2]));
	/* It does not count any more. */
	CU_ASSERT(callers_limit(l, now));
	CU_ASSERT(!at_end(end[3]));
	/* A request that arrives on it now cannot be answered. */
	CU_ASSERT_EQUAL(set_busy(l, state[2], 1), CALLER_CUT);
	for (i = 1; i <= MAX; i++)
		set_busy(l, state[i], 1);
	end[MAX + 1] = open_conn(l, &state[MAX + 1], &fd[MAX + 1]);
	CU_ASSERT(!callers_limit(l, now));
	CU_ASSERT(!at_end(end[MAX + 1]));
	/* Bytes that have arrived do not keep an older one. */
	set_busy(l, state[3], 0);
	CU_ASSERT_EQUAL(write(end[3], "G", 1), 1);
	CU_ASSERT(callers_limit(l, now));
	CU_ASSERT(!at_end(end[MAX + 1]));
	CU_ASSERT(set_busy(l, state[3], 1) == CALLER_CUT);
	/* One whose first line never ends. */
	set_busy(l, state[1], 0);
	callers_tick(l, MS(2000), now);
	CU_ASSERT(!at_end(end[1]));
	callers_tick(l, MS(2000), now + MS(1500));
	CU_ASSERT(at_end(end[1]));
	CU_ASSERT(!at_end(end[0]));
	for (i = 0; i <= MAX + 1; i++) {
		callers_on_notify(
		    l, NULL, &state[i], MHD_CONNECTION_NOTIFY_CLOSED);
		close(fd[i]);
		close(end[i]);
	}
	callers_free(l);
	linger_free(linger);
	apr_terminate();
}

/* A connection gives way to others while its answer is on its way. */
static void
too_many_with_answers(void)
{
	struct linger_list *linger;
	struct callers *l;
	void *state[2];
	int fd[2], end[2], i;
	usec now;

	apr_initialize();
	linger = linger_new(MAX);
	l = callers_new(1, linger);
	end[0] = open_conn(l, &state[0], &fd[0]);
	CU_ASSERT_EQUAL(write(fd[0], "answer", 6), 6);
	set_busy(l, state[0], 1);
	set_busy(l, state[0], 0);
	end[1] = open_conn(l, &state[1], &fd[1]);
	now = clock_mono();
	CU_ASSERT(!callers_limit(l, now));
	CU_ASSERT(!at_end(fd[0]));
	/* Its caller has had time to read it. */
	CU_ASSERT(callers_limit(l, now + MS(1100)));
	CU_ASSERT(at_end(fd[0]));
	for (i = 0; i < 2; i++) {
		close(end[i]);
		callers_on_notify(
		    l, NULL, &state[i], MHD_CONNECTION_NOTIFY_CLOSED);
		close(fd[i]);
	}
	callers_free(l);
	linger_free(linger);
	apr_terminate();
}

static const struct unit_test tests[] = {
    {"request while ending", request_while_ending},
    {"answer on its way", answer_on_its_way},
    {"too many", too_many},
    {"too many with answers", too_many_with_answers},
};
UNIT_MAIN("callers", tests)
