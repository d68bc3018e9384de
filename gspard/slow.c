/*
 * The read timeout of requests.  The HTTP library closes a silent connection
 * without an answer, and waits without limit for one that sends a byte now and
 * then.  Here each request must be read whole within READ_TIMEOUT of its first
 * line; else its caller gets an error and the connection is closed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "slow.h"

#define READ_TIMEOUT MS(6000)

/* Who answers a call: nobody yet, the door, or the timeout. */
enum { READING, CLAIMED, TIMED_OUT };

/* The calls whose requests are being read or answered. */
struct slow {
	apr_thread_mutex_t *lock;
	struct call *first;
};

/* Returns an empty list that uses the door's lock; NULL if memory is
 * exhausted. */
struct slow *
slow_new(apr_thread_mutex_t *lock)
{
	struct slow *l;

	l = calloc(1, sizeof(*l));
	if (l != NULL)
		l->lock = lock;
	return (l);
}

/* Frees the list, but not its calls. */
void
slow_free(struct slow *l)
{
	free(l);
}

/* Adds a call whose request line has been read. */
void
slow_add(struct slow *l, struct call *c, usec now)
{
	c->read_deadline = now + READ_TIMEOUT;
	apr_thread_mutex_lock(l->lock);
	c->next = l->first;
	c->link = &l->first;
	if (c->next != NULL)
		c->next->link = &c->next;
	l->first = c;
	apr_thread_mutex_unlock(l->lock);
}

/* Removes a call that the library has completed. */
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
 * Claims a call for its regular answer; 0 if the timeout has been answered
 * already.  Without this, both answers could be written to the connection,
 * mixed with each other.
 */
int
slow_claim(struct call *c)
{
	int was = READING;

	return (__atomic_compare_exchange_n(&c->claim, &was, CLAIMED, 0,
		    __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE) ||
	    was == CLAIMED);
}

/* True if the call is neither claimed nor timed out. */
int
slow_is_reading(const struct call *c)
{
	return (__atomic_load_n(&c->claim, __ATOMIC_ACQUIRE) == READING);
}

/*
 * Answers a call that has timed out and closes its connection.  The library
 * accepts no answer while it reads a request, so the answer is written to the
 * socket directly; the shutdown makes the library end the connection.
 */
static void
send_timeout(const struct call *c)
{
	char body[200], text[500];
	int n;

	result_json(
	    body, sizeof(body), GS_SLOW, (int)result_outcome(GS_SLOW), 0);
	n = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d Request Timeout\r\nContent-Type: application/json\r\n"
	    "Gspar-Error: %d\r\nConnection: close\r\nContent-Length: %zu\r\n"
	    "\r\n%s",
	    result_http_status(GS_SLOW), GS_SLOW, strlen(body), body);
	send(c->fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	shutdown(c->fd, SHUT_RDWR);
	count_add(C_CALLER_BAD, 1);
}

/* Times out the calls that are read for too long. */
void
slow_tick(struct slow *l, usec now)
{
	struct call *c;
	int was;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		was = READING;
		if (now >= c->read_deadline && c->fd >= 0 &&
		    __atomic_compare_exchange_n(&c->claim, &was, TIMED_OUT, 0,
			__ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE))
			send_timeout(c);
	}
	apr_thread_mutex_unlock(l->lock);
}
