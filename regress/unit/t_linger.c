/* The connections that were closed, until their peers have the last answer. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "count.h"
#include "linger.h"
#include "sock.h"
#include "unit.h"

#define SIZE 300000
#define RECEIVE_BUFFER 32768
#define MAX 3

static char bytes[SIZE];

/* Opens a connection over TCP; returns its peer's end, and this one in *fd. */
static int
open_conn(int *fd)
{
	int at = socket(AF_INET, SOCK_STREAM, 0), peer, size = RECEIVE_BUFFER;
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t n = sizeof(a);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(at, (struct sockaddr *)&a, sizeof(a)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(at, 1), 0);
	getsockname(at, (struct sockaddr *)&a, &n);
	peer = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	CU_ASSERT_EQUAL_FATAL(
	    connect(peer, (struct sockaddr *)&a, sizeof(a)), 0);
	*fd = accept(at, NULL, NULL);
	close(at);
	return (peer);
}

/* Starts a test with one connection. */
static struct linger_list *
begin(int *fd, int *peer)
{
	apr_initialize();
	*peer = open_conn(fd);
	return (linger_new(MAX));
}

/* Ends a test. */
static void
end(struct linger_list *l)
{
	linger_free(l);
	apr_terminate();
}

/* Writes an answer that the peer's system cannot take at once, and hands the
 * connection over, as if the library still had a descriptor of it. */
static void
close_conn(struct linger_list *l, int fd, usec now)
{
	CU_ASSERT_EQUAL_FATAL(
	    send(fd, bytes, SIZE, MSG_DONTWAIT | MSG_NOSIGNAL), SIZE);
	linger_add(l, fd, sock_unsent(fd), now);
}

/* True if a descriptor is closed. */
static int
is_closed(int fd)
{
	return (fcntl(fd, F_GETFD) < 0 && errno == EBADF);
}

/* Bytes that were unread at the close, or come after it, reset the connection:
 * the peer loses the rest of its answer. */
static void
unread_bytes(void)
{
	struct linger_list *l;
	int fd, peer;
	size_t total = 0;
	ssize_t n;

	l = begin(&fd, &peer);
	CU_ASSERT_EQUAL(send(peer, "GET", 3, 0), 3);
	close_conn(l, fd, clock_mono());
	while ((n = recv(peer, bytes, RECEIVE_BUFFER, 0)) > 0) {
		total += (size_t)n;
		CU_ASSERT_EQUAL(send(peer, "x", 1, MSG_NOSIGNAL), 1);
		if (linger_count(l) > 0)
			linger_poll(l);
	}
	CU_ASSERT_EQUAL(n, 0);
	CU_ASSERT_EQUAL(total, SIZE);
	/* Once the peer has closed, so is the connection. */
	close(peer);
	while (linger_count(l) > 0)
		linger_poll(l);
	CU_ASSERT(is_closed(fd));
	end(l);
}

/* A peer that neither reads nor closes keeps a descriptor for ever. */
static void
unread_answer(void)
{
	struct linger_list *l;
	uint64_t undelivered = count_get(C_UNDELIVERED);
	int fd, peer;

	l = begin(&fd, &peer);
	close_conn(l, fd, MS(1000));
	linger_tick(l, MS(5900));
	CU_ASSERT_EQUAL(linger_count(l), 1);
	CU_ASSERT(!is_closed(fd));
	linger_tick(l, MS(6300));
	CU_ASSERT_EQUAL(linger_count(l), 0);
	CU_ASSERT(is_closed(fd));
	CU_ASSERT_EQUAL(count_get(C_UNDELIVERED), undelivered + 1);
	close(peer);
	end(l);
}

/* Closed connections take more descriptors than connections may: the oldest
 * must give way. */
static void
too_many(void)
{
	struct linger_list *l;
	int fd[MAX + 1], peer[MAX + 1], i;

	apr_initialize();
	l = linger_new(MAX);
	for (i = 0; i <= MAX; i++) {
		peer[i] = open_conn(&fd[i]);
		close_conn(l, fd[i], MS(1000));
	}
	CU_ASSERT_EQUAL(linger_count(l), MAX);
	CU_ASSERT(linger_evict(l));
	CU_ASSERT_EQUAL(linger_count(l), MAX - 1);
	linger_tick(l, MS(1000));
	for (i = 0; i <= MAX; i++)
		CU_ASSERT_EQUAL(is_closed(fd[i]), i < 2);
	CU_ASSERT(linger_evict(l));
	CU_ASSERT(linger_evict(l));
	CU_ASSERT(!linger_evict(l));
	/* Those that are left when the process ends are closed, too. */
	linger_free(l);
	for (i = 0; i <= MAX; i++) {
		CU_ASSERT(is_closed(fd[i]));
		close(peer[i]);
	}
	apr_terminate();
}

/* At its end the process resets connections with unread bytes. */
static void
end_of_process(void)
{
	struct linger_list *l;
	int fd, peer;
	size_t total = 0;
	ssize_t n;

	l = begin(&fd, &peer);
	CU_ASSERT_EQUAL(send(peer, bytes, 1000, 0), 1000);
	close_conn(l, fd, clock_mono());
	linger_free(l);
	while ((n = recv(peer, bytes, sizeof(bytes), 0)) > 0)
		total += (size_t)n;
	CU_ASSERT_EQUAL(n, 0);
	CU_ASSERT_EQUAL(total, SIZE);
	close(peer);
	apr_terminate();
}

static const struct unit_test tests[] = {
    {"unread bytes", unread_bytes},
    {"unread answer", unread_answer},
    {"too many", too_many},
    {"end of the process", end_of_process},
};
UNIT_MAIN("linger", tests)
