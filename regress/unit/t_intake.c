/* The memory that calls take, and which of them give way. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "held.h"
#include "intake.h"
#include "unit.h"

#define KB ((size_t)1024)
#define ROOM (1024 * KB)
#define HEAD_TIME MS(3000)
#define CALLS 4

static char bytes[1024 * 1024];
static struct intake *l;
static struct call calls[CALLS];
static int peers[CALLS]; /* the callers' ends of their connections */
static apr_pool_t *pool;

/* Formats a retry delay as the native interface does. */
static void
retry_text(char *buf, size_t size, uint32_t ms)
{
	snprintf(buf, size, "%u", (ms + 999) / 1000);
}

static const struct door_ops ops = {.retry_text = retry_text, .copies = 1};
static const struct door_ops copying = {.retry_text = retry_text, .copies = 3};

/* Opens calls whose heads were read one after the other, a second apart. */
static void
open_calls(const struct door_ops *o)
{
	apr_thread_mutex_t *lock;
	int i, sv[2];

	apr_initialize();
	apr_pool_create(&pool, NULL);
	apr_thread_mutex_create(&lock, APR_THREAD_MUTEX_DEFAULT, pool);
	held_init(ROOM);
	l = intake_new(lock, o);
	memset(calls, 0, sizeof(calls));
	for (i = 0; i < CALLS; i++) {
		CU_ASSERT_EQUAL_FATAL(
		    socketpair(AF_UNIX, SOCK_STREAM, 0, sv), 0);
		calls[i].fd = sv[0];
		peers[i] = sv[1];
		intake_add(l, &calls[i], HEAD_TIME, i * US_PER_SEC);
		CU_ASSERT_EQUAL(
		    intake_head(l, &calls[i], i * US_PER_SEC), GS_OK);
	}
}

/* Ends all calls, which must leave nothing in the account. */
static void
close_calls(void)
{
	int i;

	for (i = 0; i < CALLS; i++) {
		intake_remove(l, &calls[i]);
		str_free(&calls[i].body);
		close(calls[i].fd);
		close(peers[i]);
	}
	CU_ASSERT_EQUAL(held_now(), 0);
	intake_free(l);
	apr_pool_destroy(pool);
	apr_terminate();
}

/* Adds kb KB to the body of a call. */
static void
add(int i, size_t kb, usec now)
{
	CU_ASSERT_EQUAL(intake_body(l, &calls[i], bytes, kb * KB, now), 0);
}

/* Returns the status that a caller has received, or 0. */
static int
status_of(int i, char *text, size_t size)
{
	ssize_t n = recv(peers[i], text, size - 1, MSG_DONTWAIT);

	text[n > 0 ? n : 0] = '\0';
	return (n > 0 ? atoi(text + strlen("HTTP/1.1 ")) : 0);
}

/* Bodies that stand still fill the memory, and no other finds room; or a
 * request that is given up is answered without a promise, or runs. */
static void
stalled(void)
{
	char text[1000];

	open_calls(&ops);
	add(0, 400, MS(3000));
	add(1, 400, MS(3000));
	add(2, 400, MS(3000));
	CU_ASSERT(!intake_is_reading(&calls[0]));
	CU_ASSERT(intake_is_reading(&calls[1]));
	CU_ASSERT_EQUAL(status_of(0, text, sizeof(text)), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\nRetry-After: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"not_run\""));
	CU_ASSERT_EQUAL(intake_accept(l, &calls[0], MS(3000)), -1);
	/* What it still sends is discarded. */
	add(0, 900, MS(3000));
	CU_ASSERT_EQUAL(calls[0].body.n, 0);
	CU_ASSERT(intake_is_reading(&calls[1]));
	close_calls();
}

/* A small request finds no room beside a request that cannot be given up. */
static void
small(void)
{
	open_calls(&ops);
	add(0, 900, MS(3000));
	CU_ASSERT_EQUAL(intake_accept(l, &calls[0], MS(3000)), GS_OK);
	add(1, 90, MS(3000));
	CU_ASSERT(!intake_is_reading(&calls[1]));
	add(2, 20, MS(3000));
	CU_ASSERT_EQUAL(intake_accept(l, &calls[2], MS(3000)), GS_OK);
	/* A large one is refused at its head. */
	calls[3].body_length = 500 * KB;
	CU_ASSERT_EQUAL(intake_head(l, &calls[3], MS(3000)), GS_NO_ROOM);
	calls[3].body_length = 0;
	CU_ASSERT_EQUAL(intake_head(l, &calls[3], MS(3000)), GS_OK);
	close_calls();
}

/* Copies of a body are not counted. */
static void
copies(void)
{
	open_calls(&copying);
	add(0, 400, MS(3000));
	CU_ASSERT_EQUAL(intake_accept(l, &calls[0], MS(3000)), GS_NO_ROOM);
	add(1, 200, MS(3000));
	CU_ASSERT_EQUAL(intake_accept(l, &calls[1], MS(3000)), GS_OK);
	CU_ASSERT(held_now() > 600 * KB && held_now() < 650 * KB);
	CU_ASSERT(!intake_is_reading(&calls[0]));
	close_calls();
}

/* An answer that its caller does not read is held for ever, or one that has
 * just come is cut. */
static void
unread(void)
{
	char b;

	open_calls(&ops);
	CU_ASSERT_EQUAL(intake_accept(l, &calls[0], MS(3000)), GS_OK);
	CU_ASSERT_EQUAL(intake_accept(l, &calls[1], MS(3000)), GS_OK);
	calls[0].answer.body.n = 700 * KB;
	intake_answered(l, &calls[0], MS(3000));
	calls[1].answer.body.n = 700 * KB;
	intake_answered(l, &calls[1], MS(4000));
	CU_ASSERT(!intake_make_room(l, MS(4000)));
	CU_ASSERT(intake_make_room(l, MS(4100)));
	CU_ASSERT_EQUAL(recv(peers[0], &b, 1, MSG_DONTWAIT), 0);
	CU_ASSERT_EQUAL(recv(peers[1], &b, 1, MSG_DONTWAIT), -1);
	close_calls();
}

/* A body that arrives evenly is refused as too slow, or one that trickles never
 * is. */
static void
rate(void)
{
	char text[1000];
	usec now;

	open_calls(&ops);
	for (now = MS(3000); now < MS(20000); now += MS(500)) {
		add(0, 10, now);
		intake_body(l, &calls[1], bytes, 1, now);
		intake_tick(l, now);
	}
	CU_ASSERT(intake_is_reading(&calls[0]));
	CU_ASSERT_EQUAL(status_of(1, text, sizeof(text)), 408);
	/* Bytes that came long ago gain no time. */
	intake_tick(l, MS(19500) + MS(6000));
	CU_ASSERT(!intake_is_reading(&calls[0]));
	close_calls();
}

/* Requests that are being read keep all connections. */
static void
yield(void)
{
	open_calls(&ops);
	CU_ASSERT_EQUAL(intake_accept(l, &calls[0], MS(3000)), GS_OK);
	CU_ASSERT(intake_yield(l, MS(3000)));
	CU_ASSERT(!intake_is_reading(&calls[1]));
	CU_ASSERT(intake_is_reading(&calls[2]));
	CU_ASSERT(intake_yield(l, MS(3000)));
	CU_ASSERT(intake_yield(l, MS(3000)));
	CU_ASSERT(!intake_yield(l, MS(3000)));
	close_calls();
}

/* True if a call's connection is ended for both directions. */
static int
is_ended(int i)
{
	return (send(peers[i], "x", 1, MSG_NOSIGNAL) < 0);
}

/* A connection is ended while an earlier answer and the refusal are on their
 * way, or is kept for a caller that reads neither. */
static void
refusal_on_its_way(void)
{
	char text[1000];

	open_calls(&ops);
	intake_tick(l, MS(9000));
	CU_ASSERT_EQUAL(status_of(0, text, sizeof(text)), 408);
	intake_tick(l, MS(10100));
	CU_ASSERT(is_ended(0));
	CU_ASSERT(!is_ended(1));
	intake_tick(l, MS(13900));
	CU_ASSERT(!is_ended(1));
	intake_tick(l, MS(14100));
	CU_ASSERT(is_ended(1));
	close_calls();
}

/* Requests that were given up keep connections that are short. */
static void
yield_given_up(void)
{
	open_calls(&ops);
	intake_tick(l, MS(9000));
	CU_ASSERT(!intake_yield(l, MS(10000)));
	CU_ASSERT(!is_ended(0));
	CU_ASSERT(intake_yield(l, MS(10100)));
	CU_ASSERT(is_ended(0));
	CU_ASSERT(!is_ended(1));
	CU_ASSERT(intake_yield(l, MS(10100)));
	CU_ASSERT(is_ended(1));
	close_calls();
}

static const struct unit_test tests[] = {{"stalled", stalled}, {"small", small},
    {"copies", copies}, {"unread", unread}, {"rate", rate}, {"yield", yield},
    {"refusal on its way", refusal_on_its_way},
    {"yield given up", yield_given_up}};

UNIT_MAIN("intake", tests)
