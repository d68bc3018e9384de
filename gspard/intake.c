/*
 * The requests of callers while they are read, and the memory that they and
 * their answers take.
 *
 * The HTTP library closes a silent connection without an answer, and waits
 * without limit for one that sends a byte now and then.  Here the head must be
 * whole within a time, and the body must go on arriving.  Bodies and answers of
 * all calls share one limit.  Where it is exceeded, requests that are still
 * being read give way, for these have not run; then answers whose callers do
 * not read them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "excess.h"
#include "held.h"
#include "intake.h"
#include "room.h"
#include "sock.h"

/* Time that a body has after its head, and after each time that it stalls. */
#define BODY_TIMEOUT MS(6000)
/* Rate below which a body counts as stalled, in bytes a second. */
#define BODY_RATE_MIN 1024
/* Retry delay for requests that are refused for room, in milliseconds: another
 * host may have room at once. */
#define RETRY_MS 300
/* Shortest interval between two lines about requests without room. */
#define LINE_INTERVAL (10 * US_PER_SEC)

/* Who answers a call: nobody yet, the door, or this module. */
enum { READING, CLAIMED, GIVEN_UP };

struct intake {
	apr_thread_mutex_t *lock;
	const struct door_ops *ops;
	struct call *first;
	size_t yielding; /* bytes held by requests that are being read */
	/* Given up or refused for room since the last line about them, and the
	 * caller of the last. */
	unsigned nrefused;
	char last_caller[128];
	uint64_t nended; /* of C_CALLER_ENDED, told in that line */
	usec last_line;
};

/* Returns an empty list that uses the door's lock; NULL if memory is
 * exhausted. */
struct intake *
intake_new(apr_thread_mutex_t *lock, const struct door_ops *ops)
{
	struct intake *l;

	l = calloc(1, sizeof(*l));
	if (l == NULL)
		return (NULL);
	l->lock = lock;
	l->ops = ops;
	return (l);
}

/* Frees the list, but not its calls. */
void
intake_free(struct intake *l)
{
	free(l);
}

/* Records that a call holds n more bytes.  The lock is held. */
static void
hold(struct intake *l, struct call *c, size_t n)
{
	c->held += n;
	held_add(n);
	if (c->yields)
		l->yielding += n;
}

/* Records that what a call holds gives way to others no more.  The lock is
 * held. */
static void
end_yielding(struct intake *l, struct call *c)
{
	if (c->yields)
		l->yielding -= c->held;
	c->yields = 0;
}

/* Records that a call holds nothing any more.  The lock is held. */
static void
release(struct intake *l, struct call *c)
{
	end_yielding(l, c);
	held_sub(c->held);
	c->held = 0;
}

/* Adds a call whose request line has been read; its head must be whole within
 * head_time. */
void
intake_add(struct intake *l, struct call *c, usec head_time, usec now)
{
	c->intake = l;
	c->since = now;
	c->read_deadline = now + head_time;
	c->yields = 1;
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
intake_remove(struct intake *l, struct call *c)
{
	apr_thread_mutex_lock(l->lock);
	release(l, c);
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	apr_thread_mutex_unlock(l->lock);
}

/* Takes a call that is being read for one who answers it; true if that
 * succeeds. */
static int
take(struct call *c, int by)
{
	int was = READING;

	return (__atomic_compare_exchange_n(
	    &c->claim, &was, by, 0, __ATOMIC_ACQ_REL, __ATOMIC_ACQUIRE));
}

/*
 * Claims a call for its regular answer; 0 if it has been given up.  Without
 * this, both answers could be written to the connection, mixed with each other.
 */
int
intake_claim(struct call *c)
{
	return (take(c, CLAIMED) ||
	    __atomic_load_n(&c->claim, __ATOMIC_ACQUIRE) == CLAIMED);
}

/* True if the call is neither claimed nor given up. */
int
intake_is_reading(const struct call *c)
{
	return (__atomic_load_n(&c->claim, __ATOMIC_ACQUIRE) == READING);
}

/*
 * Answers a call and ends its connection.  The library accepts no answer while
 * it reads a request, so the answer is written to the socket directly.
 */
static void
send_error(const struct intake *l, const struct call *c, int code)
{
	uint32_t ms = result_retryable(code) ? RETRY_MS : 0;
	char body[300], retry[24], text[700];
	int n;

	result_json(body, sizeof(body), code, (int)result_outcome(code), ms);
	l->ops->retry_text(retry, sizeof(retry), ms);
	n = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Gspar-Error: %d\r\n%s%s%sConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    result_http_status(code),
	    code == GS_SLOW ? "Request Timeout" : "Service Unavailable", code,
	    ms > 0 ? "Retry-After: " : "", ms > 0 ? retry : "",
	    ms > 0 ? "\r\n" : "", strlen(body), body);
	send(c->fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	shutdown(c->fd, SHUT_WR);
}

/* Counts a request of a caller that is refused or given up for room, for the
 * next line about them.  The lock is held. */
static void
note_refused(struct intake *l, const char *caller)
{
	count_add(C_NO_ROOM, 1);
	l->nrefused++;
	name_copy(l->last_caller, sizeof(l->last_caller), caller);
}

/* Notes that the door is to refuse a call for room; returns GS_NO_ROOM.  The
 * lock is held. */
static int
refuse(struct intake *l, struct call *c)
{
	note_refused(l, c->caller);
	c->answer.retry_ms = RETRY_MS;
	return (GS_NO_ROOM);
}

/* Gives up a call that is being read.  The lock is held. */
static void
give_up(struct intake *l, struct call *c, int code, usec now)
{
	if (!take(c, GIVEN_UP))
		return;
	/* The caller is known once the head has been recorded. */
	if (code == GS_NO_ROOM)
		note_refused(l, c->held > 0 ? c->caller : "");
	else
		count_add(C_CALLER_BAD, 1);
	release(l, c);
	str_free(&c->body);
	c->body_size = 0;
	send_error(l, c, code);
	delivery_begin(&c->delivery, sock_unsent(c->fd), now);
	c->ends = 1;
}

/* True if a call's answer has waited for its caller for long. */
static int
is_unread(const struct call *c, usec now)
{
	return (
	    c->answered_at != 0 && delivery_may_be_cut(c->answered_at, now));
}

/* Ends the connection of a call that was given up. */
static void
end_connection(struct call *c)
{
	c->ends = 0;
	if (!delivery_is_complete(sock_unsent(c->fd)))
		count_add(C_UNDELIVERED, 1);
	shutdown(c->fd, SHUT_RDWR);
}

/* Cuts an answer that its caller does not read.  The lock is held. */
static void
cut_answer(struct intake *l, struct call *c)
{
	release(l, c);
	c->answered_at = 0;
	count_add(C_ANSWER_UNREAD, 1);
	shutdown(c->fd, SHUT_RDWR);
}

/* Adds a call of a size to those of which one gives way, if it may. */
static void
add_candidate(struct excess *e, struct call *c, size_t size, usec now)
{
	usec since;

	if (intake_is_reading(c) ||
	    (c->ends && delivery_may_be_cut(c->delivery.since, now)))
		since = c->since;
	else if (is_unread(c, now))
		since = c->answered_at;
	else
		return;
	if (c->fd >= 0)
		excess_add(e, size, room_weight(size, now - since), c);
}

/* Gives up the request that was chosen, cuts its answer, or ends its
 * connection.  Returns false if none was.  The lock is held. */
static int
end_chosen(struct intake *l, const struct excess *e, usec now)
{
	struct call *c = excess_choose(e, 0);

	if (c == NULL)
		return (0);
	if (c->answered_at != 0)
		cut_answer(l, c);
	else if (c->ends)
		end_connection(c);
	else
		give_up(l, c, GS_NO_ROOM, now);
	return (1);
}

/* Ends one call to free memory: a request that is being read if there is any,
 * else an unread answer.  Returns false if there is neither, or memory is not
 * short.  The lock is held. */
static int
free_memory(struct intake *l, usec now)
{
	struct excess reading = {0, 0, NULL}, unread = {0, 0, NULL};
	struct call *c;

	for (c = l->first; c != NULL; c = c->next) {
		if (held_is_over(c->held))
			add_candidate(c->answered_at == 0 ? &reading : &unread,
			    c, c->held, now);
	}
	return (end_chosen(l, &reading, now) || end_chosen(l, &unread, now));
}

/* Gives calls up until all that is held fits.  The lock is held. */
static void
make_room(struct intake *l, usec now)
{
	while (held_is_over(SIZE_MAX) && free_memory(l, now))
		;
}

/* The same for other users of memory; false if it is still short for large
 * contents. */
int
intake_make_room(struct intake *l, usec now)
{
	apr_thread_mutex_lock(l->lock);
	make_room(l, now);
	apr_thread_mutex_unlock(l->lock);
	return (!held_is_over(SIZE_MAX));
}

/* Gives up the request that has been read for longest, cuts the answer that has
 * been unread for longest, or ends the connection of a request that was given
 * up, as connections are short; false if there is none of these. */
int
intake_yield(struct intake *l, usec now)
{
	struct excess e = {0, 0, NULL};
	struct call *c;
	int ended;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next)
		add_candidate(&e, c, 1, now);
	ended = end_chosen(l, &e, now);
	apr_thread_mutex_unlock(l->lock);
	return (ended);
}

/* Records the head of a request.  Returns GS_OK, or GS_NO_ROOM if a body of the
 * length that it states cannot be taken now. */
int
intake_head(struct intake *l, struct call *c, usec now)
{
	size_t want = (size_t)l->ops->copies * c->body_length;
	int res = GS_OK;

	apr_thread_mutex_lock(l->lock);
	c->read_deadline = now + BODY_TIMEOUT;
	if (want > 0 && !held_admits(want, l->yielding))
		res = refuse(l, c);
	else if (intake_is_reading(c)) {
		hold(l, c, sizeof(*c) + c->headers.n);
		make_room(l, now);
	}
	apr_thread_mutex_unlock(l->lock);
	return (res);
}

/*
 * Appends a piece of a body.  Each byte gains time at BODY_RATE_MIN, up to
 * BODY_TIMEOUT from now.  Returns 0, or -1 if memory is exhausted; a piece of a
 * request that has been given up is discarded.
 */
int
intake_body(struct intake *l, struct call *c, const char *p, size_t n, usec now)
{
	int res = 0;

	apr_thread_mutex_lock(l->lock);
	if (intake_is_reading(c)) {
		res = str_append(&c->body, &c->body_size, p, n);
		c->read_deadline += (usec)n * US_PER_SEC / BODY_RATE_MIN;
		if (c->read_deadline > now + BODY_TIMEOUT)
			c->read_deadline = now + BODY_TIMEOUT;
		hold(l, c, n);
		make_room(l, now);
	}
	apr_thread_mutex_unlock(l->lock);
	return (res);
}

/*
 * Claims a request that has been read whole.  Returns GS_OK, GS_NO_ROOM if it
 * cannot be held until it is answered, or -1 if it has been given up.
 */
int
intake_accept(struct intake *l, struct call *c, usec now)
{
	size_t copies = (size_t)(l->ops->copies - 1) * c->body.n;
	int res = GS_OK;

	apr_thread_mutex_lock(l->lock);
	if (!intake_is_reading(c))
		res = -1;
	else if (c->body.n > 0 && !held_admits(copies + c->held, l->yielding))
		res = refuse(l, c);
	else {
		end_yielding(l, c);
		take(c, CLAIMED);
		hold(l, c, copies);
		make_room(l, now);
	}
	apr_thread_mutex_unlock(l->lock);
	return (res);
}

/* Records that a call's answer is complete: its request is needed no more. */
void
intake_answered(struct intake *l, struct call *c, usec now)
{
	apr_thread_mutex_lock(l->lock);
	release(l, c);
	str_free(&c->body);
	c->answered_at = now;
	hold(l, c, sizeof(*c) + c->answer.body.n + c->answer.headers.n);
	apr_thread_mutex_unlock(l->lock);
}

/* Logs how many requests and connections had no room, now and then. */
static void
log_refused(struct intake *l, usec now)
{
	uint64_t nended = count_get(C_CALLER_ENDED) - l->nended;

	if ((l->nrefused == 0 && nended == 0) ||
	    (l->last_line != 0 && now - l->last_line < LINE_INTERVAL))
		return;
	log_line(LOG_WARNING, "door",
	    "%u requests refused or given up for room, the last of '%s'; %llu "
	    "connections without a request closed; %zu bytes held.",
	    l->nrefused, l->last_caller, (unsigned long long)nended,
	    held_now());
	l->nrefused = 0;
	l->nended += nended;
	l->last_line = now;
}

/* Gives up requests that arrive too slowly, and ends the connections of those
 * that were given up before. */
void
intake_tick(struct intake *l, usec now)
{
	struct call *c;

	apr_thread_mutex_lock(l->lock);
	for (c = l->first; c != NULL; c = c->next) {
		if (now >= c->read_deadline)
			give_up(l, c, GS_SLOW, now);
		if (c->ends &&
		    delivery_check(&c->delivery, sock_unsent(c->fd), now) !=
			DELIVERY_PENDING)
			end_connection(c);
	}
	log_refused(l, now);
	apr_thread_mutex_unlock(l->lock);
}
