#include <limits.h>
#include <string.h>
#include <sys/resource.h>

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "gspard.h"

#define SERVICES_MAX 16
#define STEPS_MAX 16
/* Assumed if the operating system does not tell its limit. */
#define DESCRIPTORS_DEFAULT 1024

struct kernel {
	apr_pool_t *pool;
	const struct conf *conf;
	uint64_t boot;
	struct service services[SERVICES_MAX];
	apr_thread_t *threads[SERVICES_MAX];
	int n;
	apr_thread_mutex_t *lock;
	apr_thread_cond_t *step_done;
	const char *finished[STEPS_MAX];
	int nfinished;
};

/* A random non-zero number that identifies this process among all hosts. */
static uint64_t
random_boot(void)
{
	uint64_t b = 0;

	apr_generate_random_bytes((unsigned char *)&b, sizeof(b));
	return (b >> 1 | 1);
}

/* Returns a kernel without services, or NULL. */
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
	    apr_thread_cond_create(&k->step_done, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return (NULL);
	}
	return (k);
}

/* Frees the kernel, after kernel_quit(). */
void
kernel_free(struct kernel *k)
{
	if (k != NULL)
		apr_pool_destroy(k->pool);
}

/* Adds a service; 0, or -1 on error. */
int
kernel_add(struct kernel *k, const struct service_ops *ops)
{
	struct service *s;

	if (k->n == SERVICES_MAX)
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

/* Returns the service with a name, or NULL. */
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

/* The entry point of each service's thread. */
static void *
thread_main(apr_thread_t *t, void *arg)
{
	struct service *s = arg;

	s->ops->run(s);
	return (NULL);
}

/* Opens all services, then starts their threads; 0, or -1 on error. */
int
kernel_start(struct kernel *k)
{
	struct service *s;
	int i;

	for (i = 0; i < k->n; i++) {
		s = &k->services[i];
		if (s->ops->open(s) != 0) {
			log_line(LOG_ERR, "kernel", "Cannot start service %s.",
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

/* Ends all threads, last added first, and closes and frees their services. */
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

/* Returns the current settings; they may be replaced at any time. */
const struct conf *
kernel_conf(const struct kernel *k)
{
	return (__atomic_load_n(&k->conf, __ATOMIC_ACQUIRE));
}

/* Replaces the settings; the old ones stay allocated, threads may use them. */
void
kernel_set_conf(struct kernel *k, const struct conf *conf)
{
	__atomic_store_n(&k->conf, conf, __ATOMIC_RELEASE);
}

/* Returns the number that identifies this process among all hosts. */
uint64_t
kernel_boot(const struct kernel *k)
{
	return (k->boot);
}

/* Returns how many descriptors this process may have open. */
long
kernel_descriptors(const struct kernel *k)
{
	long set = kernel_conf(k)->descriptors;
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) != 0 || r.rlim_cur > LONG_MAX)
		return (set > 0 ? set : DESCRIPTORS_DEFAULT);
	return (set > 0 && set < (long)r.rlim_cur ? set : (long)r.rlim_cur);
}

/*
 * Sends a message to a service by name.  Returns 0, or -1 if there is no such
 * service or its ring is full; then the caller still owns the message.
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

/* Reports a finished step of the stop to kernel_wait_step(). */
void
kernel_step_done(struct kernel *k, const char *what)
{
	apr_thread_mutex_lock(k->lock);
	if (k->nfinished < STEPS_MAX)
		k->finished[k->nfinished++] = what;
	apr_thread_cond_broadcast(k->step_done);
	apr_thread_mutex_unlock(k->lock);
}

/* True if a step is finished; the lock is held. */
static int
is_finished(const struct kernel *k, const char *what)
{
	int i;

	for (i = 0; i < k->nfinished; i++) {
		if (strcmp(k->finished[i], what) == 0)
			return (1);
	}
	return (0);
}

/* Waits for a step, at most ms milliseconds; 0, or -1 if it is not finished. */
int
kernel_wait_step(struct kernel *k, const char *what, int ms)
{
	usec until = clock_mono() + MS(ms);
	int ok;

	apr_thread_mutex_lock(k->lock);
	while (!(ok = is_finished(k, what)) && clock_mono() < until)
		apr_thread_cond_timedwait(k->step_done, k->lock, MS(20));
	apr_thread_mutex_unlock(k->lock);
	return (ok ? 0 : -1);
}
