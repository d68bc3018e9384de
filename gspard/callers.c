/*
 * The connections of callers.  The HTTP library closes them all at once when it
 * ends, those too on which a request has just come; here a stop ends those that
 * are idle one by one, and leaves the others their answer.
 */
#include <stdlib.h>
#include <sys/socket.h>

#include "callers.h"

struct caller {
	struct caller *next;
	struct caller **link;
	int fd;
	int busy;  /* a request is being read or answered */
	int ended; /* closed for reading, as one that was idle */
};

struct callers {
	apr_thread_mutex_t *lock;
	struct caller *first;
};

/* The list, empty, under the lock of its door; NULL without memory. */
struct callers *
callers_new(apr_thread_mutex_t *lock)
{
	struct callers *l;

	l = calloc(1, sizeof(*l));
	if (l != NULL)
		l->lock = lock;
	return (l);
}

/* Frees the list, once the library has closed all connections. */
void
callers_free(struct callers *l)
{
	free(l);
}

/* Takes in a connection that was let in. */
static void
add(struct callers *l, struct MHD_Connection *conn, void **state)
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

/* Takes out a connection before its descriptor is closed. */
static void
drop(struct callers *l, void **state)
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

/* Called by the library for each connection that comes or goes. */
void
callers_changed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode what)
{
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		add(arg, conn, state);
	else
		drop(arg, state);
}

/*
 * Notes that a request on a connection begins, or has had its answer.  True
 * where the connection was ended just before the request came: its end then
 * says nothing of whether its caller is still there.
 */
int
callers_busy(struct callers *l, struct MHD_Connection *conn, int busy)
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

/* True where bytes of a request wait to be read. */
static int
has_bytes(const struct caller *c)
{
	char b;

	return (recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

/*
 * Ends the connections that are idle.  A caller that kept one since before the
 * stop was never told to close it; what it sends now would be refused, or cut
 * when the process ends.  Closed for reading, the connection still gives the
 * library what came before, and then its end: the library closes it without
 * having read part of a request, after which any request may be sent elsewhere.
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
