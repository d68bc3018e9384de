/*
 * Tests tickets: a request runs at most once, and a ticket whose use is not
 * known is refused as unknown.
 */
#include <stdio.h>
#include <string.h>

#include "once.h"
#include "unit.h"

static int dropped;

static void
drop(void *p)
{
	dropped++;
}

/* The first request runs; a repeat joins the run or replays its answer. */
static void
runs_joins_replays(void)
{
	struct once o;
	char t[TICKET_TEXT];
	uint64_t n;
	void *v = NULL;
	int run = 1, ended = 2;

	once_init(&o, 7, 8, drop);
	once_ticket(&o, t);
	CU_ASSERT_EQUAL(once_check(&o, t, &n, &v), ONCE_RUN);
	once_begin(&o, n, &run);
	CU_ASSERT_EQUAL(once_check(&o, t, &n, &v), ONCE_JOIN);
	CU_ASSERT_PTR_EQUAL(v, &run);
	once_finish(&o, n, &ended);
	CU_ASSERT_EQUAL(once_check(&o, t, &n, &v), ONCE_REPLAY);
	CU_ASSERT_PTR_EQUAL(v, &ended);
	once_free(&o);
	CU_ASSERT_EQUAL(dropped, 1);
}

/* The ticket of a request that did not run may be used again. */
static void
unused_again_after_no_run(void)
{
	struct once o;
	char t[TICKET_TEXT];
	uint64_t n;
	void *v;

	once_init(&o, 7, 8, NULL);
	once_ticket(&o, t);
	once_check(&o, t, &n, &v);
	once_begin(&o, n, NULL);
	once_reset(&o, n);
	CU_ASSERT_EQUAL(once_check(&o, t, &n, &v), ONCE_RUN);
	once_free(&o);
}

/*
 * The table was lost with its host.  The next one cannot know whether a ticket
 * of the old one was used, and must not run its request again.
 */
static void
ticket_of_another_table(void)
{
	struct once a, b;
	char t[TICKET_TEXT];
	uint64_t n;
	void *v;

	once_init(&a, 7, 8, NULL);
	once_init(&b, 8, 8, NULL);
	once_ticket(&a, t);
	once_ticket(&b, (char[TICKET_TEXT]){0});
	CU_ASSERT_EQUAL(once_check(&b, t, &n, &v), ONCE_UNKNOWN);
	once_free(&a);
	once_free(&b);
}

/* The request of an evicted ticket is not run again either. */
static void
evicted_is_unknown(void)
{
	struct once o;
	char t[20][TICKET_TEXT];
	uint64_t n;
	void *v;
	int i;

	once_init(&o, 7, 8, NULL);
	for (i = 0; i < 20; i++) {
		once_ticket(&o, t[i]);
		CU_ASSERT_EQUAL(once_check(&o, t[i], &n, &v), ONCE_RUN);
		once_begin(&o, n, NULL);
		once_finish(&o, n, NULL);
	}
	for (i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(once_check(&o, t[i], &n, &v),
		    i < 12 ? ONCE_UNKNOWN : ONCE_REPLAY);
	once_free(&o);
}

/* A running request is never evicted: a new one for its entry is refused. */
static void
running_is_never_evicted(void)
{
	struct once o;
	char t[9][TICKET_TEXT];
	uint64_t n;
	void *v;
	int i;

	once_init(&o, 7, 8, NULL);
	for (i = 0; i < 9; i++)
		once_ticket(&o, t[i]);
	once_check(&o, t[0], &n, &v);
	once_begin(&o, n, NULL);
	CU_ASSERT_EQUAL(once_check(&o, t[8], &n, &v), ONCE_FULL);
	CU_ASSERT_EQUAL(once_check(&o, t[0], &n, &v), ONCE_JOIN);
	once_free(&o);
}

/* Malformed tickets and tickets that were never issued are recognized. */
static void
bad_tickets(void)
{
	static const char *const bad[] = {"", "abc", "gs1-", "gs1-zz-1",
	    "gs1-0000000000000007-1x", "gs1-0000000000000007-99"};
	struct once o;
	uint64_t n;
	void *v;
	size_t i;

	once_init(&o, 7, 8, NULL);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(once_check(&o, bad[i], &n, &v), ONCE_INVALID);
	once_free(&o);
}

static const struct unit_test tests[] = {
    {"runs, joins, replays", runs_joins_replays},
    {"unused again after no run", unused_again_after_no_run},
    {"ticket of another table", ticket_of_another_table},
    {"evicted is unknown", evicted_is_unknown},
    {"running is never evicted", running_is_never_evicted},
    {"bad tickets", bad_tickets},
};
UNIT_MAIN("once", tests)
