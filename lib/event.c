#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <apr_pools.h>
#include <apr_thread_mutex.h>

#include "count.h"
#include "event.h"
#include "str.h"

static struct event ring[EVENT_MAX];
static uint64_t next_seq = 1;
static apr_pool_t *pool;
static apr_thread_mutex_t *lock;

/* Initializes the log; call before starting threads.  Returns 0, or -1. */
int
event_init(void)
{
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return (-1);
	if (apr_thread_mutex_create(&lock, APR_THREAD_MUTEX_DEFAULT, pool) !=
	    APR_SUCCESS)
		return (-1);
	return (0);
}

/*
 * Records an event and returns its sequence number, which later events may give
 * as their cause; a cause of 0 means none.  When the ring is full the oldest
 * event is overwritten; readers see the gap in the numbers.
 */
uint64_t
event_add(const char *part, uint64_t cause, const char *fmt, ...)
{
	struct event *e;
	uint64_t seq;
	va_list ap;

	if (lock == NULL)
		return (0);
	apr_thread_mutex_lock(lock);
	seq = next_seq++;
	e = &ring[seq % EVENT_MAX];
	e->seq = seq;
	e->cause = cause;
	e->mono = clock_mono();
	e->wall = clock_wall();
	name_copy(e->part, sizeof(e->part), part);
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	apr_thread_mutex_unlock(lock);
	count_add(C_EVENTS, 1);
	return (seq);
}

/* Calls fn for each event in the ring from number `from` on; returns the number
 * of the next event. */
uint64_t
event_foreach(uint64_t from, event_fn fn, void *arg)
{
	uint64_t s, end;

	apr_thread_mutex_lock(lock);
	end = next_seq;
	s = end > EVENT_MAX ? end - EVENT_MAX : 1;
	if (from > s)
		s = from;
	for (; s < end; s++)
		fn(&ring[s % EVENT_MAX], arg);
	apr_thread_mutex_unlock(lock);
	return (end);
}
