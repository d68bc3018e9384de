/*
 * The connections of callers.  Where more are open than may be, one without a
 * request in progress gives way.  When the HTTP library stops, it closes all of
 * them at once, also those on which a request has just arrived.  So an orderly
 * stop ends the idle ones here, and leaves the others open until their requests
 * are answered.
 */
#include <fcntl.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <apr_thread_mutex.h>

#include "callers.h"
#include "count.h"
#include "delivery.h"
#include "excess.h"
#include "log.h"
#include "sock.h"

/* How many times the age of a connection counts that was never used. */
#define UNUSED_WEIGHT 8

/* A connection of a caller. */
struct caller {
	struct caller *next;
	struct caller **link;
	int fd;
	int busy;	       /* a request is being read or answered */
	int served;	       /* a request was answered on it */
	enum caller_end ended; /* by this host while it was idle */
	usec since; /* when it was opened, or its last request was answered */
};

struct callers {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	struct linger_list *linger; /* takes connections over that are closed */
	struct caller *first;
	int n; /* open ones that were not cut off */
	int max;
};

/* Returns an empty list that is full with max connections and hands those that
 * are closed over to linger; NULL if memory is exhausted. */
struct callers *
callers_new(int max, struct linger_list *linger)
{
	struct callers *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return (NULL);
	l->max = max;
	l->linger = linger;
	if (apr_pool_create(&l->pool, NULL) == APR_SUCCESS &&
	    apr_thread_mutex_create(
		&l->lock, APR_THREAD_MUTEX_DEFAULT, l->pool) == APR_SUCCESS)
		return (l);
	callers_free(l);
	return (NULL);
}

/* Frees the list, after the library has closed all connections. */
void
callers_free(struct callers *l)
{
	if (l != NULL && l->pool != NULL)
		apr_pool_destroy(l->pool);
	free(l);
}

/* Adds a connection that was accepted. */
static void
conn_add(struct callers *l, struct MHD_Connection *conn, void **state)
{
	const union MHD_ConnectionInfo *info;
	struct caller *c;

	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	c = calloc(1, sizeof(*c));
	if (c == NULL || info == NULL) {
		free(c);
		return;
	}
	c->fd = info->connect_fd;
	c->since = clock_mono();
	apr_thread_mutex_lock(l->lock);
	l->n++;
	c->next = l->first;
	c->link = &l->first;
	if (c->next != NULL)
		c->next->link = &c->next;
	l->first = c;
	apr_thread_mutex_unlock(l->lock);
	*state = c;
}

/*
 * Hands a connection over whose descriptor the library is about to close, if
 * its caller may still lose an answer.
 */
static void
hand_over(struct callers *l, const struct caller *c, usec now)
{
	int fd, unsent;

	if (sock_is_closed(c->fd))
		return;
	unsent = sock_unsent(c->fd);
	if (!delivery_is_needed(c->since, unsent, now))
		return;
	fd = fcntl(c->fd, F_DUPFD_CLOEXEC, 0);
	if (fd >= 0)
		linger_add(l->linger, fd, unsent, now);
	else
		log_line(LOG_ERR, "callers",
		    "No descriptor left for a connection that is closed.");
}

/* Removes a connection before its descriptor is closed. */
static void
conn_remove(struct callers *l, void **state)
{
	struct caller *c = *state;

	if (c == NULL)
		return;
	*state = NULL;
	hand_over(l, c, clock_mono());
	apr_thread_mutex_lock(l->lock);
	l->n -= c->ended != CALLER_CUT;
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	apr_thread_mutex_unlock(l->lock);
	free(c);
}

/* Called by the library for each connection that is opened or closed. */
void
callers_on_notify(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		conn_add(arg, conn, state);
	else
		conn_remove(arg, state);
}

/* The same, for a server that answers each request at once: a connection is
 * ended where there are too many. */
void
callers_on_notify_limit(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	callers_on_notify(arg, conn, state, what);
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		callers_limit(arg, clock_mono());
}

/*
 * Records that a request on a connection begins or has been answered.  Returns
 * whether the connection was ended just before the request arrived: if
 * callers_end_idle() has done so, an end of file on it doesn't mean that the
 * caller has left; if it was cut off, the request cannot be answered.
 */
enum caller_end
callers_set_busy(struct callers *l, struct MHD_Connection *conn, int busy)
{
	const union MHD_ConnectionInfo *info;
	struct caller *c;
	enum caller_end ended;

	info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	c = info == NULL ? NULL : info->socket_context;
	if (c == NULL)
		return (CALLER_OPEN);
	apr_thread_mutex_lock(l->lock);
	if (c->busy && !busy) {
		c->served = 1;
		c->since = clock_mono();
	}
	c->busy = busy;
	ended = c->ended;
	apr_thread_mutex_unlock(l->lock);
	return (ended);
}

/* Returns the number of open connections that were not cut off. */
int
callers_count(struct callers *l)
{
	int n;

	apr_thread_mutex_lock(l->lock);
	n = l->n;
	apr_thread_mutex_unlock(l->lock);
	return (n);
}

/* True if bytes of a request are waiting to be read. */
static int
has_bytes(const struct caller *c)
{
	char b;

	return (recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

/* Cuts a connection off.  A shutdown for reading would not do: the library goes
 * on reading from a caller that sends a byte now and then.  The lock is held.
 */
static void
cut(struct callers *l, struct caller *c)
{
	l->n--;
	c->ended = CALLER_CUT;
	shutdown(c->fd, SHUT_RDWR);
	count_add(C_CALLER_ENDED, 1);
}

/* True if an answer is still on its way to the caller. */
static int
has_unsent(const struct caller *c)
{
	return (!delivery_is_complete(sock_unsent(c->fd)));
}

/*
 * Ends the idle connections.  A caller that has kept one open since before the
 * stop was never asked to close it, and its next request would be refused, or
 * cut off when the process exits.  After a shutdown for reading, the library
 * still reads what has arrived and then the end of file, and closes the
 * connection without having read part of a request.  So the caller may safely
 * send any request to another host.  What arrives later resets the connection,
 * so the last answer must have been received.
 */
void
callers_end_idle(struct callers *l)
{
	struct caller *c;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		if (c->ended || c->busy || has_bytes(c) || has_unsent(c))
			continue;
		c->ended = CALLER_ENDED;
		shutdown(c->fd, SHUT_RD);
	}
	apr_thread_mutex_unlock(l->lock);
}

/* Returns how much speaks for cutting an idle connection: its age, which counts
 * several times if no request was answered on it. */
static uint64_t
weight(const struct caller *c, usec now)
{
	uint64_t age = now > c->since ? (uint64_t)(now - c->since) : 0;

	return (c->served ? age + 1 : age * UNUSED_WEIGHT + 1);
}

/* True if a caller has not had the time to receive its last answer. */
static int
is_receiving(const struct caller *c, usec now)
{
	return (!delivery_may_be_cut(c->since, now) && has_unsent(c));
}

/*
 * Cuts a connection if there are more than may be since the newest was opened:
 * of the others the one that has been idle for longest; callers reuse those
 * that were used before.  Bytes that have arrived on it do not matter, or
 * callers that send one now and then would stay.  Returns 0 if all others have
 * a request in progress or an answer on its way.
 */
int
callers_limit(struct callers *l, usec now)
{
	struct excess e = {0, 0, NULL};
	struct caller *c;
	int is_full;

	apr_thread_mutex_lock(l->lock);
	is_full = l->n > l->max;
	c = is_full ? l->first->next : NULL;
	for (; c != NULL; c = c->next) {
		if (!c->ended && !c->busy && !is_receiving(c, now))
			excess_add(&e, 1, weight(c, now), c);
	}
	c = excess_choose(&e, 0);
	if (c != NULL)
		cut(l, c);
	apr_thread_mutex_unlock(l->lock);
	return (!is_full || c != NULL);
}

/* Cuts the connections on which no request has begun for max; their callers may
 * send part of its first line now and then. */
void
callers_tick(struct callers *l, usec max, usec now)
{
	struct caller *c;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		if (!c->ended && !c->busy && now - c->since > max &&
		    !has_bytes(c))
			cut(l, c);
	}
	apr_thread_mutex_unlock(l->lock);
}
