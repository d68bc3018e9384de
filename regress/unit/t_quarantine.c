/* Tests the detection of requests that crash targets: what counts as a crash,
 * what is quarantined, and for how long. */
#include <string.h>

#include "quarantine.h"
#include "quarantine_text.h"
#include "recent.h"
#include "unit.h"

#define CONTENT 7u
/* The host that reports. */
#define HOST 5u
#define HOUR MS(3600000)

static struct quarantine q;
static struct quarantine_list l;

/* Reports for a host that sends of a content to a target broke. */
static int
broke(uint64_t digest, uint64_t target, uint64_t host, int sends, usec now)
{
	struct quarantine_break b = {digest, target, host, sends, 0, 0};

	return (quarantine_add_break(&q, &b, now));
}

/* A target crashes while it runs a content; returns 1 if that quarantines it.
 */
static int
crash(uint64_t digest, uint64_t target, usec now)
{
	int n = broke(digest, target, HOST, 1, now);

	return (quarantine_add_end(&q, target, now + MS(100)) + n);
}

/* Returns how much longer a content is quarantined. */
static usec
left(uint64_t digest, usec now)
{
	const struct quarantine_item *item;

	quarantine_list(&q, &l, now);
	item = quarantine_find(&l, digest, now);
	return (item == NULL || item->probation
		? 0
		: quarantine_item_left(item, now));
}

/* True if a content is on probation. */
static int
on_probation(uint64_t digest, usec now)
{
	const struct quarantine_item *item;

	quarantine_list(&q, &l, now);
	item = quarantine_find(&l, digest, now);
	return (item != NULL && item->probation);
}

/* A request that is repeated after each crash crashes no fourth target. */
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

/* A crash that is reported several times, also much later, counts once. */
static void
reported_twice(void)
{
	uint64_t i;

	memset(&q, 0, sizeof(q));
	for (i = 0; i < 9; i++)
		CU_ASSERT(crash(CONTENT, 1, MS(1000)) == 0);
	CU_ASSERT(crash(CONTENT, 2, MS(4000)) == 0);
	for (i = 0; i < QUARANTINE_BREAKS_MAX; i++) {
		broke(1000 + i, 1000 + i, HOST, 1, MS(5000));
		quarantine_add_end(&q, 5000 + i, MS(5000));
	}
	CU_ASSERT(crash(CONTENT, 1, MS(6000)) == 0);
	CU_ASSERT(left(CONTENT, MS(7000)) == 0);
}

/* Missing answers of targets that have not ended quarantine nothing. */
static void
missing_answers(void)
{
	uint64_t t;

	memset(&q, 0, sizeof(q));
	quarantine_add_end(&q, 999, MS(1000));
	for (t = 1; t < 30; t++)
		CU_ASSERT(broke(CONTENT, t, HOST, 1, MS(1000)) == 0);
	CU_ASSERT(left(CONTENT, MS(2000)) == 0);
	CU_ASSERT(!on_probation(CONTENT, MS(2000)));
	/* They end much later, for another reason. */
	for (t = 1; t < 30; t++)
		CU_ASSERT(quarantine_add_end(&q, t, MS(60000)) == 0);
	CU_ASSERT(!on_probation(CONTENT, MS(60000)));
}

/* A crash counts if the end of the target is reported before the send. */
static void
ended_first(void)
{
	uint64_t t;

	memset(&q, 0, sizeof(q));
	for (t = 1; t <= 3; t++) {
		quarantine_add_end(&q, t, MS(1000 * (usec)t));
		CU_ASSERT(broke(CONTENT, t, HOST, 1,
			      MS(1000 * (usec)t + 400)) == (t == 3));
	}
	CU_ASSERT(left(CONTENT, MS(4000)) > 0);
}

/* After its quarantine has ended, one crash quarantines a content again. */
static void
crash_after_quarantine(void)
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

/* Crashes an hour apart are not attributed to the same request. */
static void
far_apart(void)
{
	memset(&q, 0, sizeof(q));
	CU_ASSERT(crash(CONTENT, 1, MS(1000)) == 0);
	CU_ASSERT(crash(CONTENT, 2, MS(1000) + HOUR) == 0);
	CU_ASSERT(crash(CONTENT, 3, MS(1000) + 2 * HOUR) == 0);
}

/* Crashes of many other contents do not evict a quarantined one. */
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

/* Another host reports that a content is quarantined for `span` longer. */
static int
add(uint64_t digest, usec span, usec now)
{
	struct quarantine_item item = {digest, now + span, 0};

	return (quarantine_add_item(&q, &item, now));
}

/* A host adopts another's quarantine with the time that is left of it. */
static void
adopted(void)
{
	memset(&q, 0, sizeof(q));
	CU_ASSERT(add(CONTENT, MS(500), MS(1000)) == 1);
	CU_ASSERT(add(CONTENT, MS(400), MS(1100)) == 0);
	CU_ASSERT(add(8, 0, MS(1000)) == 0);
	CU_ASSERT(left(CONTENT, MS(1400)) == MS(100));
	CU_ASSERT(left(CONTENT, MS(1500)) == 0);
	CU_ASSERT(add(9, 100 * HOUR, MS(1000)) == 1);
	CU_ASSERT(left(9, MS(1000)) == HOUR);
}

/* Lists of the same contents have the same checksum, in any order. */
static void
checksum(void)
{
	uint64_t n;

	memset(&q, 0, sizeof(q));
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_checksum(&l) == 0);
	add(1, MS(500), 0);
	add(2, MS(900), 0);
	quarantine_list(&q, &l, 0);
	n = quarantine_checksum(&l);
	memset(&q, 0, sizeof(q));
	add(2, MS(800), 0);
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_checksum(&l) != n);
	add(1, MS(700), 0);
	quarantine_list(&q, &l, 0);
	CU_ASSERT(quarantine_checksum(&l) == n);
}

/* The text for the store keeps the contents and the time that is left. */
static void
text(void)
{
	struct quarantine_list back;
	struct str s = {NULL, 0};

	memset(&q, 0, sizeof(q));
	add(UINT64_MAX, MS(500), MS(100));
	add(3, HOUR, MS(100));
	quarantine_list(&q, &l, MS(200));
	quarantine_write(&l, &s, MS(200));
	CU_ASSERT(quarantine_read(&s, &back, MS(9000)) == 0);
	CU_ASSERT(back.n == 2 &&
	    quarantine_checksum(&back) == quarantine_checksum(&l));
	CU_ASSERT(quarantine_item_left(&back.items[0], MS(9000)) == MS(400));
	/* An expired item is written with no time left. */
	quarantine_write(&l, &s, MS(1000));
	CU_ASSERT(quarantine_read(&s, &back, 0) == 0 && back.n == 2);
	CU_ASSERT(quarantine_find(&back, UINT64_MAX, 0) == NULL);
	str_set(&s, "{\"list\":[{\"content\":7,\"left_ms\":1}]}", 36);
	CU_ASSERT(quarantine_read(&s, &back, 0) == -1 && back.n == 0);
	str_set(&s, "{}", 2);
	CU_ASSERT(quarantine_read(&s, &back, 0) == -1 && back.n == 0);
	str_free(&s);
}

/* A recent answer is remembered, for its content only and not for long. */
static void
recent_answer(void)
{
	static struct recent r;

	CU_ASSERT(!recent_has(&r, 0, MS(100)));
	recent_add(&r, CONTENT, MS(1000));
	CU_ASSERT(recent_has(&r, CONTENT, MS(5000)));
	CU_ASSERT(!recent_has(&r, CONTENT + RECENT_MAX, MS(5000)));
	CU_ASSERT(!recent_has(&r, CONTENT, MS(60000)));
}

/* A request with many runs in flight at a target would crash others as well. */
static void
many_runs(void)
{
	memset(&q, 0, sizeof(q));
	broke(CONTENT, 1, 11, 3, MS(1000));
	broke(CONTENT, 1, 12, 1, MS(1000));
	CU_ASSERT(!on_probation(CONTENT, MS(1050)));
	CU_ASSERT(quarantine_add_end(&q, 1, MS(1100)) == 0);
	CU_ASSERT(on_probation(CONTENT, MS(1100)));
	/* A run that was sent before probation proves nothing. */
	CU_ASSERT(crash(CONTENT, 2, MS(1300)) == 0);
	CU_ASSERT(on_probation(CONTENT, MS(1500)));
	/* A crash after the grace period does. */
	CU_ASSERT(crash(CONTENT, 3, MS(5000)) == 1);
	CU_ASSERT(left(CONTENT, MS(6000)) > 0);
	CU_ASSERT(!on_probation(CONTENT, MS(6000)));
}

/* A run on probation that crashes its target is proof at once. */
static void
ran_on_probation(void)
{
	struct quarantine_break b = {CONTENT, 2, 11, 1, 1, 0};

	memset(&q, 0, sizeof(q));
	broke(CONTENT, 1, 11, 3, MS(1000));
	quarantine_add_end(&q, 1, MS(1100));
	CU_ASSERT(quarantine_add_break(&q, &b, MS(1200)) == 0);
	CU_ASSERT(quarantine_add_end(&q, 2, MS(1300)) == 1);
	CU_ASSERT(left(CONTENT, MS(1300)) > 0);
}

/* Several targets crash at about the same time, and no host had an answer. */
static void
crashes_at_once(void)
{
	uint64_t t;

	memset(&q, 0, sizeof(q));
	for (t = 1; t <= 3; t++)
		CU_ASSERT(crash(CONTENT, t, MS(1000)) == 0);
	CU_ASSERT(quarantine_confirm_due(&q, MS(1200)) == 0);
	CU_ASSERT(quarantine_confirm_due(&q, MS(2000)) == 1);
	CU_ASSERT(left(CONTENT, MS(2000)) > 0);
	/* A content that is answered meanwhile is cleared. */
	for (t = 1; t <= 3; t++)
		crash(CONTENT + 1, 10 + t, MS(5000));
	quarantine_clear(&q, CONTENT + 1, MS(5400));
	CU_ASSERT(quarantine_confirm_due(&q, MS(6000)) == 0);
}

/* Reports hold totals: a repeated report does not count, one more send does. */
static void
more_sends(void)
{
	memset(&q, 0, sizeof(q));
	quarantine_add_end(&q, 1, MS(1000));
	broke(CONTENT, 1, 11, 1, MS(1100));
	broke(CONTENT, 1, 11, 1, MS(1300));
	CU_ASSERT(!on_probation(CONTENT, MS(1400)));
	broke(CONTENT, 1, 11, 2, MS(1500));
	CU_ASSERT(on_probation(CONTENT, MS(1600)));
	/* An older report that arrives late subtracts nothing. */
	memset(&q, 0, sizeof(q));
	broke(CONTENT, 1, 11, 2, MS(1000));
	broke(CONTENT, 1, 11, 1, MS(1100));
	quarantine_add_end(&q, 1, MS(1200));
	CU_ASSERT(on_probation(CONTENT, MS(1200)));
	memset(&q, 0, sizeof(q));
	quarantine_add_own_break(&q, CONTENT, 1, 0, MS(1000));
	quarantine_add_own_break(&q, CONTENT, 1, 0, MS(1000));
	quarantine_add_end(&q, 1, MS(1100));
	CU_ASSERT(on_probation(CONTENT, MS(1100)));
}

/* Guards against quarantine of a content that is in flight all the time, for
 * crashes that it did not cause. */
static void
not_the_cause(void)
{
	struct quarantine_item received = {CONTENT, MS(60000), 1};
	usec now;

	memset(&q, 0, sizeof(q));
	for (now = MS(1000); now < MS(40000); now += MS(3000)) {
		broke(CONTENT, (uint64_t)now, 11, 4, now);
		CU_ASSERT(quarantine_add_end(&q, (uint64_t)now, now) == 0);
		quarantine_clear(&q, CONTENT, now + MS(400));
		CU_ASSERT(!on_probation(CONTENT, now + MS(400)));
		/* A host that lacks the update reports its old list. */
		CU_ASSERT(
		    quarantine_add_item(&q, &received, now + MS(500)) == 0);
	}
	CU_ASSERT(left(CONTENT, MS(41000)) == 0);
	/* An answer does not end a quarantine. */
	add(CONTENT, HOUR, MS(60000));
	quarantine_clear(&q, CONTENT, MS(60100));
	CU_ASSERT(left(CONTENT, MS(60200)) > 0);
	/* Nor does it clear the content of the next crash after it. */
	memset(&q, 0, sizeof(q));
	add(CONTENT, MS(500), MS(60000));
	quarantine_clear(&q, CONTENT, MS(60400));
	CU_ASSERT(crash(CONTENT, 9, MS(60700)) == 1);
}

/* Without another crash, probation ends after a time. */
static void
probation_ends(void)
{
	memset(&q, 0, sizeof(q));
	broke(CONTENT, 1, 11, 4, MS(1000));
	quarantine_add_end(&q, 1, MS(1000));
	CU_ASSERT(on_probation(CONTENT, MS(30000)));
	CU_ASSERT(!on_probation(CONTENT, MS(62000)));
	/* One more crash quarantines it. */
	CU_ASSERT(crash(CONTENT, 2, MS(70000)) == 1);
}

/* Probation follows the controller's list; a quarantine outlasts it. */
static void
probation_adopted(void)
{
	struct quarantine_list received = {.n = 1};

	memset(&q, 0, sizeof(q));
	received.items[0].digest = CONTENT;
	received.items[0].until = MS(60000);
	received.items[0].probation = 1;
	quarantine_adopt(&q, &received, MS(1000));
	CU_ASSERT(on_probation(CONTENT, MS(1000)));
	CU_ASSERT(quarantine_checksum(&l) == quarantine_checksum(&received));
	quarantine_confirmed(&l, &received);
	CU_ASSERT(received.n == 0);
	quarantine_adopt(&q, &received, MS(2000));
	CU_ASSERT(!on_probation(CONTENT, MS(2000)));
	/* A quarantine is adopted, and kept when the list drops it. */
	received.n = 1;
	received.items[0].probation = 0;
	quarantine_adopt(&q, &received, MS(3000));
	received.n = 0;
	quarantine_adopt(&q, &received, MS(4000));
	CU_ASSERT(left(CONTENT, MS(4000)) > 0);
	quarantine_list(&q, &l, MS(4000));
	quarantine_confirmed(&l, &received);
	CU_ASSERT(received.n == 1);
}

/* Exactly one of many hosts runs a content on probation. */
static void
one_host(void)
{
	uint64_t digest;
	int rank, n;

	for (digest = 1; digest < 1000; digest += 37) {
		for (rank = 0, n = 0; rank < 90; rank++)
			n += quarantine_runs_here(digest, rank, 90);
		CU_ASSERT(n == 1);
	}
	CU_ASSERT(!quarantine_runs_here(7, 0, 0));
}

/* Ten thousand contents in flight at crashing targets do not overflow the list
 * or evict a quarantined content. */
static void
many_contents(void)
{
	uint64_t i;

	memset(&q, 0, sizeof(q));
	crash(CONTENT, 1, MS(1000));
	crash(CONTENT, 2, MS(4000));
	crash(CONTENT, 3, MS(7000));
	for (i = 0; i < 10000; i++)
		crash(1000 + i, 1000 + i / 10, MS(8000 + (usec)i));
	CU_ASSERT(left(CONTENT, MS(20000)) > 0);
	quarantine_list(&q, &l, MS(20000));
	CU_ASSERT(l.n <= QUARANTINE_ENTRIES_MAX);
}

static const struct unit_test tests[] = {
    {"many runs", many_runs},
    {"ran on probation", ran_on_probation},
    {"crashes at once", crashes_at_once},
    {"more sends", more_sends},
    {"not the cause", not_the_cause},
    {"probation ends", probation_ends},
    {"probation adopted", probation_adopted},
    {"one host", one_host},
    {"many contents", many_contents},
    {"third crash", third_crash},
    {"reported twice", reported_twice},
    {"missing answers", missing_answers},
    {"ended first", ended_first},
    {"crash after quarantine", crash_after_quarantine},
    {"far apart", far_apart},
    {"table full", table_full},
    {"adopted", adopted},
    {"checksum", checksum},
    {"text", text},
    {"recent answer", recent_answer},
};
UNIT_MAIN("quarantine", tests)
