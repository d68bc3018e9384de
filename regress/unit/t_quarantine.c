/* Requests that crash targets: what counts, what is quarantined, for how long.
 */
#include <string.h>

#include "quarantine.h"
#include "quarantine_text.h"
#include "recent.h"
#include "unit.h"

#define CONTENT 7u
#define HOUR MS(3600000)

static struct quarantine q;
static struct quarantine_list l;

/* A target crashes under a content: 1 where that quarantines it. */
static int
crash(uint64_t digest, uint64_t target, usec now)
{
	int broke = quarantine_broke(&q, digest, target, now);

	return (quarantine_ended(&q, target, now + MS(100)) + broke);
}

/* For how much longer a content is quarantined. */
static usec
left(uint64_t digest, usec now)
{
	quarantine_list(&q, &l, now);
	return (quarantine_left(&l, digest, now));
}

/* A request that comes again after each crash ends no fourth target. */
static void
third_crash(void)
{
	memset(&q, 0, sizeof(q));
	CU_ASSERT(crash(CONTENT, 1, MS(1000)) == 0);
	CU_ASSERT(crash(CONTENT, 2, MS(4000)) == 0);
	CU_ASSERT(left(CONTENT, MS(6000)) == 0);
	CU_ASSERT(crash(CONTENT, 3, MS(7000)) == 1);
	CU_ASSERT(left(CONTENT, MS(8000)) > 0);
	CU_ASSERT(crash(CONTENT, 4, MS(9000)) == 0);
	CU_ASSERT(left(CONTENT, MS(9000)) <= HOUR);
	CU_ASSERT(left(CONTENT + 1, MS(8000)) == 0);
}

/* One crash that several hosts report, also long after, counts once. */
static void
told_twice(void)
{
	uint64_t i;

	memset(&q, 0, sizeof(q));
	for (i = 0; i < 9; i++)
		CU_ASSERT(crash(CONTENT, 1, MS(1000)) == 0);
	CU_ASSERT(crash(CONTENT, 2, MS(4000)) == 0);
	for (i = 0; i < QUARANTINE_BREAKS; i++) {
		quarantine_broke(&q, 1000 + i, 1000 + i, MS(5000));
		quarantine_ended(&q, 5000 + i, MS(5000));
	}
	CU_ASSERT(crash(CONTENT, 1, MS(6000)) == 0);
	CU_ASSERT(left(CONTENT, MS(7000)) == 0);
}

/* Targets that lose answers and live on quarantine nothing. */
static void
answers_lost(void)
{
	uint64_t t;

	memset(&q, 0, sizeof(q));
	quarantine_ended(&q, 999, MS(1000));
	for (t = 1; t < 30; t++)
		CU_ASSERT(quarantine_broke(&q, CONTENT, t, MS(1000)) == 0);
	CU_ASSERT(left(CONTENT, MS(2000)) == 0);
	/* One of them ends much later, for another reason. */
	for (t = 1; t < 30; t++)
		CU_ASSERT(quarantine_ended(&q, t, MS(60000)) == 0);
}

/* A crash counts where its target is found ended before the send is told. */
static void
ended_first(void)
{
	uint64_t t;

	memset(&q, 0, sizeof(q));
	for (t = 1; t <= 3; t++) {
		quarantine_ended(&q, t, MS(1000));
		CU_ASSERT(
		    quarantine_broke(&q, CONTENT, t, MS(1400)) == (t == 3));
	}
	CU_ASSERT(left(CONTENT, MS(2000)) > 0);
}

/* A content that is tried again after its time needs one crash more. */
static void
one_more(void)
{
	usec later = MS(7000) + HOUR + MS(1000);

	memset(&q, 0, sizeof(q));
	crash(CONTENT, 1, MS(1000));
	crash(CONTENT, 2, MS(4000));
	crash(CONTENT, 3, MS(7000));
	CU_ASSERT(left(CONTENT, later) == 0);
	CU_ASSERT(crash(CONTENT, 4, later) == 1);
	CU_ASSERT(left(CONTENT, later + MS(1000)) > 0);
}

/* Crashes an hour apart are not taken for one request's. */
static void
far_apart(void)
{
	memset(&q, 0, sizeof(q));
	CU_ASSERT(crash(CONTENT, 1, MS(1000)) == 0);
	CU_ASSERT(crash(CONTENT, 2, MS(1000) + HOUR) == 0);
	CU_ASSERT(crash(CONTENT, 3, MS(1000) + 2 * HOUR) == 0);
}

/* Crashes under many other contents end no quarantine. */
static void
table_full(void)
{
	uint64_t i;

	memset(&q, 0, sizeof(q));
	crash(CONTENT, 1, MS(1000));
	crash(CONTENT, 2, MS(2000));
	crash(CONTENT, 3, MS(3000));
	for (i = 0; i < 500; i++)
		crash(1000 + i, 1000 + i, MS(4000 + (usec)i));
	CU_ASSERT(left(CONTENT, MS(9000)) > 0);
}

/* A host takes over what another quarantined, for as long as there. */
static void
taken_over(void)
{
	memset(&q, 0, sizeof(q));
	CU_ASSERT(quarantine_add(&q, CONTENT, MS(500), MS(1000)) == 1);
	CU_ASSERT(quarantine_add(&q, CONTENT, MS(400), MS(1100)) == 0);
	CU_ASSERT(quarantine_add(&q, 8, 0, MS(1000)) == 0);
	CU_ASSERT(left(CONTENT, MS(1400)) == MS(100));
	CU_ASSERT(left(CONTENT, MS(1500)) == 0);
	CU_ASSERT(quarantine_add(&q, 9, 100 * HOUR, MS(1000)) == 1);
	CU_ASSERT(left(9, MS(1000)) == HOUR);
}

/* Lists of the same contents have the same number, in any order. */
static void
number(void)
{
	uint64_t n;

	memset(&q, 0, sizeof(q));
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_number(&l) == 0);
	quarantine_add(&q, 1, MS(500), 0);
	quarantine_add(&q, 2, MS(900), 0);
	quarantine_list(&q, &l, 0);
	n = quarantine_number(&l);
	memset(&q, 0, sizeof(q));
	quarantine_add(&q, 2, MS(800), 0);
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_number(&l) != n);
	quarantine_add(&q, 1, MS(700), 0);
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_number(&l) == n);
}

/* The store's text keeps contents and what is left of their time. */
static void
text(void)
{
	struct quarantine_list back;
	struct str s = {NULL, 0};

	memset(&q, 0, sizeof(q));
	quarantine_add(&q, UINT64_MAX, MS(500), MS(100));
	quarantine_add(&q, 3, HOUR, MS(100));
	quarantine_list(&q, &l, MS(200));
	quarantine_write(&l, &s, MS(200));
	CU_ASSERT(quarantine_read(&s, &back, MS(9000)) == 0);
	CU_ASSERT(
	    back.n == 2 && quarantine_number(&back) == quarantine_number(&l));
	CU_ASSERT(quarantine_left(&back, UINT64_MAX, MS(9000)) == MS(400));
	/* One whose time has run out since is told with none left. */
	quarantine_write(&l, &s, MS(1000));
	CU_ASSERT(quarantine_read(&s, &back, 0) == 0 && back.n == 2);
	CU_ASSERT(quarantine_left(&back, UINT64_MAX, 0) == 0);
	str_set(&s, "{\"list\":[{\"content\":7,\"left_ms\":1}]}", 36);
	CU_ASSERT(quarantine_read(&s, &back, 0) == -1 && back.n == 0);
	str_set(&s, "{}", 2);
	CU_ASSERT(quarantine_read(&s, &back, 0) == -1 && back.n == 0);
	str_free(&s);
}

/* A content that is answered all the time is not blamed for crashes. */
static void
answered(void)
{
	static struct recent r;

	CU_ASSERT(!recent_was_answered(&r, 0, MS(100)));
	recent_answered(&r, CONTENT, MS(1000));
	CU_ASSERT(recent_was_answered(&r, CONTENT, MS(5000)));
	CU_ASSERT(!recent_was_answered(&r, CONTENT + RECENT_KEPT, MS(5000)));
	CU_ASSERT(!recent_was_answered(&r, CONTENT, MS(60000)));
}

static const struct unit_test tests[] = {
    {"third crash", third_crash},
    {"told twice", told_twice},
    {"answers lost", answers_lost},
    {"ended first", ended_first},
    {"one more", one_more},
    {"far apart", far_apart},
    {"table full", table_full},
    {"taken over", taken_over},
    {"number", number},
    {"text", text},
    {"answered", answered},
};
UNIT_MAIN("quarantine", tests)
