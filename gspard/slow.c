/*
 * Requests that are being read.  The HTTP library closes a silent connection
 * without a word and waits for ever on one that sends a byte now and then.
 * Here each request has READ_MAX from its first line to its end; then its
 * caller is told so and the connection ends.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "slow.h"

#define READ_MAX MS(6000)

/* Who has the say over a call's answer. */
enum { READING, CLAIMED, TOLD };

struct slow {
	apr_thread_mutex_t *lock;
	struct call *first;
};

/* The list, empty, under the lock of its door; NULL without memory. */
struct slow *
slow_new(apr_thread_mutex_t *lock)
{
	struct slow *l;

	l = calloc(1, sizeof(*l));
	if (l != NULL)
		l->lock = lock;
	return (l);
}

/* Frees the list; the calls are the library's. */
void
slow_free(struct slow *l)
{
	free(l);
}

/* Takes in a call whose first line has come. */
void
slow_add(struct slow *l, struct call *c, usec now)
{
	c->read_by = now + READ_MAX;
	apr_thread_mutex_lock(l->lock);
	c->next = l->first;
	c->link = &l->first;
	if (c->next != NULL)
		c->next->link = &c->next;
	l->first = c;
	apr_thread_mutex_unlock(l->lock);
}

/* Takes out a call that the library is done with. */
void
slow_remove(struct slow *l, struct call *c)
{
	apr_thread_mutex_lock(l->lock);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	apr_thread_mutex_unlock(l->lock);
}

/*
 * Claims a call for its usual answer; 0 where its caller was already told that
 * it is too slow.  Without this both could be written to one connection, the
 * one amid the other.
 */
int
slow_claim(struct call *c)
{
	int was = READING;

	return (__atomic_compare_exchange_n(&c->say, &was, CLAIMED, 0,
		    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE) ||
	    was == CLAIMED);
}

/* True where nobody has answered the call yet. */
int
slow_is_reading(const struct call *c)
{
	return (__atomic_load_n(&c->say, __ATOMIC_ACQUIRE) == READING);
}

/*
 * Tells a caller and ends its connection.  The library takes no answer while a
 * request is being read, so it is written past it; the end of the connection
 * then makes the library let go.
 */
static void
tell(const struct call *c)
{
	char body[200], text[500];
	int n;

	result_json(
	    body, sizeof(body), GS_SLOW, (int)result_outcome(GS_SLOW), 0);
	n = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d Request Timeout\r\nContent-Type: application/json\r\n"
	    "Gspar-Error: %d\r\nConnection: close\r\nContent-Length: %zu\r\n"
	    "\r\n%s",
	    result_http(GS_SLOW), GS_SLOW, strlen(body), body);
	send(c->fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	shutdown(c->fd, SHUT_RDWR);
	count_add(C_CALLER_BAD, 1);
}

/* Ends the calls that take too long. */
void
slow_tick(struct slow *l, usec now)
{
	struct call *c;
	int was;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		was = READING;
		if (now >= c->read_by && c->fd >= 0 &&
		    __atomic_compare_exchange_n(&c->say, &was, TOLD, 0,
			__ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
			tell(c);
	}
	apr_thread_mutex_unlock(l->lock);
}
