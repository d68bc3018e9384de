/*
 * The connections that this host has closed.  Whoever closes one hands it over;
 * it is kept until its peer has received the last answer, and what the peer
 * still sends is read and discarded.  There is an end to this for each
 * connection, and a limit on their number.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "count.h"
#include "delivery.h"
#include "linger.h"
#include "log.h"
#include "sock.h"
#include "str.h"

/* Interval between checks of what peers have acknowledged. */
#define CHECK_INTERVAL MS(250)
#define EVENTS_MAX 64
/* Bytes of one connection that are discarded before others get their turn. */
#define TURN_SIZE ((size_t)64 * 1024)
/* Shortest interval between two lines about answers that were not received. */
#define LINE_INTERVAL (10 * US_PER_SEC)

struct lingering {
	struct lingering *next;
	int fd;
	int released;	/* by the thread, or by linger_evict() */
	int peer_ended; /* the peer has closed or reset the connection */
	struct delivery delivery;
};

struct linger_list {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct lingering *first; /* the newest */
	int n;			 /* those that are not released */
	int max;
	int epoll;
	int wake; /* descriptor of an event that ends a wait */
	usec last_check;
	/* Released before their peers had received the answer, since the last
	 * line about them, with the unsent bytes and the last peer. */
	unsigned nfailed;
	uint64_t failed_bytes;
	char last_peer[INET_ADDRSTRLEN];
	usec last_line;
};

/* Makes a wait of linger_poll() return. */
void
linger_wake(void *arg)
{
	struct linger_list *l = arg;
	uint64_t one = 1;

	if (write(l->wake, &one, sizeof(one)) != sizeof(one))
		log_line(LOG_ERR, "linger", "Cannot wake the thread.");
}

/* Opens the descriptors; 0, or -1 on failure. */
static int
open_descriptors(struct linger_list *l)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = NULL};

	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	l->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return (l->epoll >= 0 && l->wake >= 0
		? epoll_ctl(l->epoll, EPOLL_CTL_ADD, l->wake, &ev)
		: -1);
}

/* Returns an empty list for at most max connections; NULL on failure. */
struct linger_list *
linger_new(int max)
{
	struct linger_list *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return (NULL);
	l->max = max;
	l->epoll = l->wake = -1;
	if (apr_pool_create(&l->pool, NULL) == APR_SUCCESS &&
	    apr_thread_mutex_create(
		&l->lock, APR_THREAD_MUTEX_DEFAULT, l->pool) == APR_SUCCESS &&
	    open_descriptors(l) == 0)
		return (l);
	linger_free(l);
	return (NULL);
}

/* Counts a connection that ends before its peer has received all of its
 * answer. */
static void
note_failed(struct linger_list *l, int fd, int unsent)
{
	struct sockaddr_in peer;
	socklen_t n = sizeof(peer);

	count_add(C_UNDELIVERED, 1);
	l->nfailed++;
	l->failed_bytes += (uint64_t)unsent;
	if (getpeername(fd, (struct sockaddr *)&peer, &n) == 0 &&
	    peer.sin_family == AF_INET)
		inet_ntop(AF_INET, &peer.sin_addr, l->last_peer,
		    sizeof(l->last_peer));
}

/* Logs how many answers were not received. */
static void
log_failed(struct linger_list *l, usec now)
{
	if (l->nfailed == 0)
		return;
	log_line(LOG_WARNING, "linger",
	    "%u connections closed before their peers had received %llu bytes, "
	    "the last of %s.",
	    l->nfailed, (unsigned long long)l->failed_bytes,
	    l->last_peer[0] == '\0' ? "?" : l->last_peer);
	l->nfailed = 0;
	l->failed_bytes = 0;
	l->last_line = now;
}

/* Closes a connection and frees it. */
static void
close_lingering(struct linger_list *l, struct lingering *c)
{
	int unsent;

	if (c->peer_ended)
		close(c->fd);
	else {
		unsent = sock_unsent(c->fd);
		if (!delivery_is_complete(unsent))
			note_failed(l, c->fd, unsent);
		sock_close_orderly(c->fd);
	}
	free(c);
}

/* Closes all connections that are left and frees the list. */
void
linger_free(struct linger_list *l)
{
	struct lingering *c;

	while ((c = l->first) != NULL) {
		l->first = c->next;
		close_lingering(l, c);
	}
	log_failed(l, 0);
	if (l->wake >= 0)
		close(l->wake);
	if (l->epoll >= 0)
		close(l->epoll);
	if (l->pool != NULL)
		apr_pool_destroy(l->pool);
	free(l);
}

/* Releases the oldest connection; false if there is none.  The lock is held.
 */
static int
release_oldest(struct linger_list *l)
{
	struct lingering *c, *oldest = NULL;

	for (c = l->first; c != NULL; c = c->next) {
		if (!c->released)
			oldest = c;
	}
	if (oldest == NULL)
		return (0);
	oldest->released = 1;
	l->n--;
	return (1);
}

/* The same, as connections are short. */
int
linger_evict(struct linger_list *l)
{
	int evicted;

	apr_thread_mutex_lock(l->lock);
	evicted = release_oldest(l);
	apr_thread_mutex_unlock(l->lock);
	if (evicted)
		linger_wake(l);
	return (evicted);
}

/* Adds a connection to the list.  The lock is held. */
static void
insert(struct linger_list *l, struct lingering *c)
{
	if (l->n >= l->max)
		release_oldest(l);
	c->next = l->first;
	l->first = c;
	l->n++;
}

/*
 * Takes over the descriptor of a connection whose last answer has been written,
 * of which the peer has not acknowledged `unsent` bytes.  Nothing more is sent
 * on it.
 */
void
linger_add(struct linger_list *l, int fd, int unsent, usec now)
{
	struct epoll_event ev = {.events = EPOLLIN};
	struct lingering *c;
	int was_empty;

	count_add(C_LINGERED, 1);
	c = calloc(1, sizeof(*c));
	if (c == NULL) {
		log_line(LOG_ERR, "linger", "Out of memory.");
		sock_close_orderly(fd);
		return;
	}
	shutdown(fd, SHUT_WR);
	c->fd = fd;
	delivery_begin(&c->delivery, unsent, now);
	ev.data.ptr = c;
	apr_thread_mutex_lock(l->lock);
	was_empty = l->first == NULL;
	insert(l, c);
	if (epoll_ctl(l->epoll, EPOLL_CTL_ADD, fd, &ev) != 0) {
		c->released = 1;
		l->n--;
	}
	apr_thread_mutex_unlock(l->lock);
	/* Otherwise the thread waits for no longer than CHECK_INTERVAL. */
	if (was_empty)
		linger_wake(l);
}

/* Returns the number of connections. */
int
linger_count(struct linger_list *l)
{
	int n;

	apr_thread_mutex_lock(l->lock);
	n = l->n;
	apr_thread_mutex_unlock(l->lock);
	return (n);
}

/* Releases a connection.  The lock is held. */
static void
release(struct linger_list *l, struct lingering *c)
{
	l->n -= !c->released;
	c->released = 1;
}

/* Discards what a peer has sent, and releases a connection that it has
 * closed. */
static void
discard(struct linger_list *l, struct lingering *c)
{
	ssize_t n = sock_discard(c->fd, TURN_SIZE);

	if (n > 0)
		count_add(C_LINGER_BYTES, (uint64_t)n);
	if (n >= 0)
		return;
	apr_thread_mutex_lock(l->lock);
	c->peer_ended = 1;
	release(l, c);
	apr_thread_mutex_unlock(l->lock);
}

/* Releases the connections whose peers have received everything or take too
 * long.  The lock is held. */
static void
check_deliveries(struct linger_list *l, usec now)
{
	struct lingering *c;

	if (now - l->last_check < CHECK_INTERVAL)
		return;
	l->last_check = now;
	for (c = l->first; c != NULL; c = c->next) {
		if (!c->released &&
		    delivery_check(&c->delivery, sock_unsent(c->fd), now) !=
			DELIVERY_PENDING)
			release(l, c);
	}
}

/* Ends what is due.  Called by the thread of linger_poll() only. */
void
linger_tick(struct linger_list *l, usec now)
{
	struct lingering **at = &l->first, *c;

	apr_thread_mutex_lock(l->lock);
	check_deliveries(l, now);
	while ((c = *at) != NULL) {
		if (!c->released) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		/* The HTTP library may still have a descriptor of it. */
		epoll_ctl(l->epoll, EPOLL_CTL_DEL, c->fd, NULL);
		close_lingering(l, c);
	}
	if (now - l->last_line >= LINE_INTERVAL)
		log_failed(l, now);
	apr_thread_mutex_unlock(l->lock);
}

/* Handles a ready descriptor. */
static void
handle_ready(struct linger_list *l, struct lingering *c)
{
	uint64_t n;

	if (c != NULL)
		discard(l, c);
	else if (read(l->wake, &n, sizeof(n)) < 0 && errno != EAGAIN)
		log_line(LOG_ERR, "linger", "Cannot read the event.");
}

/* Waits for something to do, and does it.  Called by one thread. */
void
linger_poll(struct linger_list *l)
{
	struct epoll_event events[EVENTS_MAX];
	int i, n, idle;

	apr_thread_mutex_lock(l->lock);
	idle = l->first == NULL && l->nfailed == 0;
	apr_thread_mutex_unlock(l->lock);
	n = epoll_wait(l->epoll, events, EVENTS_MAX,
	    idle ? -1 : (int)(CHECK_INTERVAL / 1000));
	for (i = 0; i < n; i++)
		handle_ready(l, events[i].data.ptr);
	linger_tick(l, clock_mono());
}
