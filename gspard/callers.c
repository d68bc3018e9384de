/*
 * The connections of callers.  When the HTTP library stops, it closes all of
 * them at once, also those on which a request has just arrived.  So an orderly
 * stop ends the idle ones here, and leaves the others open until their requests
 * are answered.
 */
#include <stdlib.h>
#include <sys/socket.h>

#include "callers.h"

/* A connection of a caller. */
struct caller {
	struct caller *next;
	struct caller **link;
	int fd;
	int busy;  /* a request is being read or answered */
	int ended; /* shut down for reading while it was idle */
};

struct callers {
	apr_thread_mutex_t *lock;
	struct caller *first;
};

/* Returns an empty list that uses the door's lock; NULL if memory is
 * exhausted. */
struct callers *
callers_new(apr_thread_mutex_t *lock)
{
	struct callers *l;

	l = calloc(1, sizeof(*l));
	if (l != NULL)
		l->lock = lock;
	return (l);
}

/* Frees the list, after the library has closed all connections. */
void
callers_free(struct callers *l)
{
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
	apr_thread_mutex_lock(l->lock);
	c->next = l->first;
	c->link = &l->first;
	if (c->next != NULL)
		c->next->link = &c->next;
	l->first = c;
	apr_thread_mutex_unlock(l->lock);
	*state = c;
}

/* Removes a connection before its descriptor is closed. */
static void
conn_remove(struct callers *l, void **state)
{
	struct caller *c = *state;

	if (c == NULL)
		return;
	*state = NULL;
	apr_thread_mutex_lock(l->lock);
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

/*
 * Records that a request on a connection begins or has been answered.  True
 * if callers_end_idle() has ended the connection just before the request
 * arrived: an end of file on it then doesn't mean that the caller has left.
 */
int
callers_set_busy(struct callers *l, struct MHD_Connection *conn, int busy)
{
	const union MHD_ConnectionInfo *info;
	struct caller *c;
	int ended;

	info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	c = info == NULL ? NULL : info->socket_context;
	if (c == NULL)
		return (0);
	apr_thread_mutex_lock(l->lock);
	c->busy = busy;
	ended = c->ended;
	apr_thread_mutex_unlock(l->lock);
	return (ended);
}

/* True if bytes of a request are waiting to be read. */
static int
has_bytes(const struct caller *c)
{
	char b;

	return (recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

/*
 * Ends the idle connections.  A caller that has kept one open since before the
 * stop was never asked to close it, and its next request would be refused, or
 * cut off when the process exits.  After a shutdown for reading, the library
 * still reads what has arrived and then the end of file, and closes the
 * connection without having read part of a request.  So the caller may safely
 * send any request to another host.
 */
void
callers_end_idle(struct callers *l)
{
	struct caller *c;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		if (c->ended || c->busy || has_bytes(c))
			continue;
		c->ended = 1;
		shutdown(c->fd, SHUT_RD);
	}
	apr_thread_mutex_unlock(l->lock);
}
