/* The ring keeps the order of items; when full, it refuses and counts them. */
#include <apr_general.h>
#include <apr_thread_proc.h>

#include "clock.h"
#include "ring.h"
#include "unit.h"

#define COUNT 20000

static void
bounded(void)
{
	struct ring *r = ring_new(2);
	int a, b, c;

	CU_ASSERT_EQUAL(ring_put(r, &a), 0);
	CU_ASSERT_EQUAL(ring_put(r, &b), 0);
	CU_ASSERT_EQUAL(ring_put(r, &c), -1);
	CU_ASSERT_EQUAL(ring_refused(r), 1);
	CU_ASSERT_PTR_EQUAL(ring_get(r), &a);
	CU_ASSERT_EQUAL(ring_put(r, &c), 0);
	CU_ASSERT_PTR_EQUAL(ring_get(r), &b);
	CU_ASSERT_PTR_EQUAL(ring_get(r), &c);
	CU_ASSERT_PTR_NULL(ring_get(r));
	CU_ASSERT_PTR_NULL(ring_wait(r, MS(5)));
	ring_free(r);
}

static void *
writer(apr_thread_t *t, void *arg)
{
	struct ring *r = arg;
	intptr_t i;

	for (i = 1; i <= COUNT; i++) {
		while (ring_put(r, (void *)i) != 0)
			apr_thread_yield();
	}
	return (NULL);
}

/* No item is lost or reordered between two threads. */
static void
two_threads(void)
{
	struct ring *r = ring_new(16);
	apr_pool_t *pool;
	apr_thread_t *t;
	apr_status_t st;
	intptr_t i, bad = 0;
	void *p;

	apr_pool_create(&pool, NULL);
	apr_thread_create(&t, NULL, writer, r, pool);
	for (i = 1; i <= COUNT; i++) {
		while ((p = ring_wait(r, MS(100))) == NULL)
			;
		bad += (intptr_t)p != i;
	}
	CU_ASSERT_EQUAL(bad, 0);
	apr_thread_join(&st, t);
	apr_pool_destroy(pool);
	ring_free(r);
}

static const struct unit_test tests[] = {
    {"bounded", bounded}, {"two threads", two_threads}};

int
main(void)
{
	int res;

	apr_initialize();
	res = unit_run("ring", tests, sizeof(tests) / sizeof(tests[0]));
	apr_terminate();
	return (res);
}
