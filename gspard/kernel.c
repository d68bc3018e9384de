#include <string.h>

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "gspard.h"

#define MAX_SERVICES 16
#define MAX_DONE 16

struct kernel {
	apr_pool_t *pool;
	const struct conf *conf;
	uint64_t boot;
	struct service services[MAX_SERVICES];
	apr_thread_t *threads[MAX_SERVICES];
	int n;
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *done;
	const char *ended[MAX_DONE];
	int nended;
};

/* A number that no other process of the system has: names this process. */
static uint64_t
random_boot(void)
{
	uint64_t b = 0;

	apr_generate_random_bytes((unsigned char *)&b, sizeof(b));
	return (b >> 1 | 1);
}

/* A kernel without services, or NULL. */
struct kernel *
kernel_new(const struct conf *conf)
{
	struct kernel *k;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return (NULL);
	k = apr_pcalloc(pool, sizeof(*k));
	k->pool = pool;
	k->conf = conf;
	k->boot = random_boot();
	if (apr_thread_mutex_create(&k->lock, APR_THREAD_MUTEX_DEFAULT, pool) !=
		APR_SUCCESS ||
	    apr_thread_cond_create(&k->done, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return (NULL);
	}
	return (k);
}

/* Frees the kernel; its services have been quit. */
void
kernel_free(struct kernel *k)
{
	if (k != NULL)
		apr_pool_destroy(k->pool);
}

/* Adds a service; 0, or -1. */
int
kernel_add(struct kernel *k, const struct service_ops *ops)
{
	struct service *s;

	if (k->n == MAX_SERVICES)
		return (-1);
	s = &k->services[k->n];
	s->ops = ops;
	s->kernel = k;
	s->in = ring_new(ops->ring_size);
	if (s->in == NULL)
		return (-1);
	k->n++;
	return (0);
}

/* A service by name, or NULL. */
struct service *
kernel_find(struct kernel *k, const char *name)
{
	int i;

	for (i = 0; i < k->n; i++) {
		if (strcmp(k->services[i].ops->name, name) == 0)
			return (&k->services[i]);
	}
	return (NULL);
}

/* The body of each service's thread. */
static void *
thread_main(apr_thread_t *t, void *arg)
{
	struct service *s = arg;

	s->ops->run(s);
	return (NULL);
}

/* Opens all services, then starts their threads; 0, or -1. */
int
kernel_start(struct kernel *k)
{
	struct service *s;
	int i;

	for (i = 0; i < k->n; i++) {
		s = &k->services[i];
		if (s->ops->open(s) != 0) {
			log_line(LOG_ERR, "kernel", "%s does not start",
			    s->ops->name);
			return (-1);
		}
		s->running = 1;
	}
	for (i = 0; i < k->n; i++) {
		if (apr_thread_create(&k->threads[i], NULL, thread_main,
			&k->services[i], k->pool) != APR_SUCCESS)
			return (-1);
	}
	return (0);
}

/* Ends all threads, last added first, and closes their services. */
void
kernel_quit(struct kernel *k)
{
	struct service *s;
	struct msg *m;
	apr_status_t st;
	int i;

	for (i = k->n - 1; i >= 0; i--) {
		s = &k->services[i];
		if (k->threads[i] != NULL) {
			while (kernel_send(k, s->ops->name, msg_new(MSG_QUIT)))
				apr_sleep(1000);
			apr_thread_join(&st, k->threads[i]);
		}
	}
	for (i = k->n - 1; i >= 0; i--) {
		s = &k->services[i];
		while ((m = ring_get(s->in)) != NULL)
			msg_free(m);
		if (s->running)
			s->ops->close(s);
		while ((m = ring_get(s->in)) != NULL)
			msg_free(m);
	}
	for (i = k->n - 1; i >= 0; i--)
		ring_free(k->services[i].in);
}

/* The settings in force; what is read from them may change later. */
const struct conf *
kernel_conf(const struct kernel *k)
{
	return (__atomic_load_n(&k->conf, __ATOMIC_ACQUIRE));
}

/* Puts settings in force; the earlier ones must stay, some still read them. */
void
kernel_set_conf(struct kernel *k, const struct conf *conf)
{
	__atomic_store_n(&k->conf, conf, __ATOMIC_RELEASE);
}

/* The number that names this process among all. */
uint64_t
kernel_boot(const struct kernel *k)
{
	return (k->boot);
}

/*
 * Sends a message to a service by name; 0, or -1 where its ring is full, and
 * then the message is the caller's still.
 */
int
kernel_send(struct kernel *k, const char *to, struct msg *m)
{
	struct service *s = kernel_find(k, to);

	if (s == NULL || m == NULL)
		return (-1);
	if (ring_put(s->in, m) == 0)
		return (0);
	count_add(C_RING_FULL, 1);
	return (-1);
}

/* Tells whoever stops the daemon that a step is done. */
void
kernel_done(struct kernel *k, const char *what)
{
	apr_thread_mutex_lock(k->lock);
	if (k->nended < MAX_DONE)
		k->ended[k->nended++] = what;
	apr_thread_cond_broadcast(k->done);
	apr_thread_mutex_unlock(k->lock);
}

/* True where the step is among those done; lock held. */
static int
is_done(const struct kernel *k, const char *what)
{
	int i;

	for (i = 0; i < k->nended; i++) {
		if (strcmp(k->ended[i], what) == 0)
			return (1);
	}
	return (0);
}

/* Waits for a step, ms milliseconds at most; 0, or -1 where it is not done. */
int
kernel_wait(struct kernel *k, const char *what, int ms)
{
	usec until = clock_mono() + MS(ms);
	int ok;

	apr_thread_mutex_lock(k->lock);
	while (!(ok = is_done(k, what)) && clock_mono() < until)
		apr_thread_cond_timedwait(k->done, k->lock, MS(20));
	apr_thread_mutex_unlock(k->lock);
	return (ok ? 0 : -1);
}
