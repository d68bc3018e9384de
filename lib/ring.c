#include <stdlib.h>

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>

#include "ring.h"

struct ring {
	apr_pool_t *pool;
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *not_empty;
	void **slots;
	unsigned size;
	unsigned head;
	unsigned count;
	uint64_t refused;
	ring_wake_fn wake;
	void *wake_arg;
};

/* Creates a ring of size slots.  Returns NULL without memory. */
struct ring *
ring_new(unsigned size)
{
	struct ring *r;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return (NULL);
	r = apr_pcalloc(pool, sizeof(*r));
	r->pool = pool;
	r->size = size;
	r->slots = apr_pcalloc(pool, size * sizeof(void *));
	if (apr_thread_mutex_create(&r->lock, APR_THREAD_MUTEX_DEFAULT, pool) !=
		APR_SUCCESS ||
	    apr_thread_cond_create(&r->not_empty, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return (NULL);
	}
	return (r);
}

/* Frees the ring.  The caller must have removed all items before. */
void
ring_free(struct ring *r)
{
	if (r != NULL)
		apr_pool_destroy(r->pool);
}

/* Sets how to wake the reader; NULL if it sleeps in ring_wait. */
void
ring_set_wake(struct ring *r, ring_wake_fn wake, void *arg)
{
	apr_thread_mutex_lock(r->lock);
	r->wake = wake;
	r->wake_arg = arg;
	apr_thread_mutex_unlock(r->lock);
}

/*
 * Appends p.  Returns 0, or -1 if the ring is full.  The caller must handle
 * that: a request that is dropped silently would never be answered.
 */
int
ring_put(struct ring *r, void *p)
{
	ring_wake_fn wake;
	int was_empty;

	apr_thread_mutex_lock(r->lock);
	if (r->count == r->size) {
		r->refused++;
		apr_thread_mutex_unlock(r->lock);
		return (-1);
	}
	was_empty = r->count == 0;
	r->slots[(r->head + r->count) % r->size] = p;
	r->count++;
	wake = r->wake;
	if (was_empty && wake == NULL)
		apr_thread_cond_signal(r->not_empty);
	apr_thread_mutex_unlock(r->lock);
	if (was_empty && wake != NULL)
		wake(r->wake_arg);
	return (0);
}

/* Removes the oldest item, with the lock held.  Returns NULL if empty. */
static void *
remove_oldest(struct ring *r)
{
	void *p;

	if (r->count == 0)
		return (NULL);
	p = r->slots[r->head];
	r->head = (r->head + 1) % r->size;
	r->count--;
	return (p);
}

/* Removes the oldest item without waiting.  Returns NULL if empty. */
void *
ring_get(struct ring *r)
{
	void *p;

	apr_thread_mutex_lock(r->lock);
	p = remove_oldest(r);
	apr_thread_mutex_unlock(r->lock);
	return (p);
}

/* Removes the oldest item, waiting for at most wait_us microseconds.  Returns
 * NULL if there is none; it may also return early. */
void *
ring_wait(struct ring *r, int64_t wait_us)
{
	void *p;

	apr_thread_mutex_lock(r->lock);
	if (r->count == 0 && wait_us > 0)
		apr_thread_cond_timedwait(r->not_empty, r->lock, wait_us);
	p = remove_oldest(r);
	apr_thread_mutex_unlock(r->lock);
	return (p);
}

/* Returns how often ring_put failed. */
uint64_t
ring_refused(struct ring *r)
{
	uint64_t n;

	apr_thread_mutex_lock(r->lock);
	n = r->refused;
	apr_thread_mutex_unlock(r->lock);
	return (n);
}
