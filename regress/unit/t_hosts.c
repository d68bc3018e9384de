/* The table of hosts: grows with the fleet, finds each, loses none. */
#include <stdio.h>
#include <string.h>

#include "hosts.h"
#include "unit.h"

/* The fastest of several tries counts, as other programs may be running. */
#define TRIES 5
#define MANY 2000

/* Returns the name of a host, in a buffer that the next call overwrites. */
static const char *
name_of(int i)
{
	static char name[32];

	snprintf(name, sizeof(name), "front-hal-%c-%d", 'a' + i % 5, i);
	return (name);
}

/* Adds hosts from..to-1. */
static void
add_hosts(struct hosts *t, int from, int to)
{
	struct host_entry *h;
	int i;

	for (i = from; i < to; i++) {
		if ((h = hosts_add(t, name_of(i))) != NULL)
			h->max_hosts = i;
	}
}

/* Returns how many of the hosts from..to-1 are found as they were added. */
static int
count_found(const struct hosts *t, int from, int to)
{
	const struct host_entry *h;
	int i, n = 0;

	for (i = from; i < to; i++) {
		h = hosts_find(t, name_of(i));
		n += h != NULL && h->max_hosts == i;
	}
	return (n);
}

/* Guards against hosts beyond the size of a table that get no heartbeats. */
static void
no_host_is_left_out(void)
{
	struct hosts t;

	memset(&t, 0, sizeof(t));
	CU_ASSERT_PTR_NULL(hosts_find(&t, "front"));
	add_hosts(&t, 0, MANY);
	CU_ASSERT_EQUAL(t.n, MANY);
	CU_ASSERT_EQUAL(count_found(&t, 0, MANY), MANY);
	hosts_free(&t);
	CU_ASSERT_EQUAL(t.n, 0);
}

/* Hosts are removed in any order, and others take their positions. */
static void
removal(void)
{
	struct hosts t;
	int i;

	memset(&t, 0, sizeof(t));
	add_hosts(&t, 0, MANY);
	for (i = 0; i < MANY; i += 2)
		hosts_remove(&t, (int)(hosts_find(&t, name_of(i)) - t.list));
	CU_ASSERT_EQUAL(t.n, MANY / 2);
	for (i = 0; i < MANY; i++)
		CU_ASSERT_EQUAL(count_found(&t, i, i + 1), i % 2);
	add_hosts(&t, MANY, MANY + 10);
	CU_ASSERT_EQUAL(count_found(&t, MANY, MANY + 10), 10);
	hosts_free(&t);
}

/* Returns the least time in which each of n hosts is found ten times. */
static usec
time_of(int n)
{
	struct hosts t;
	usec from, best = 0;
	int i, try, found = 0;

	memset(&t, 0, sizeof(t));
	add_hosts(&t, 0, n);
	for (try = 0; try < TRIES; try++) {
		from = clock_mono();
		for (i = 0; i < 10; i++)
			found += count_found(&t, 0, n);
		from = clock_mono() - from;
		best = try == 0 || from < best ? from : best;
	}
	CU_ASSERT_EQUAL(found, TRIES * 10 * n);
	hosts_free(&t);
	return (best);
}

/* Each report of a host is looked up: with ten times the hosts, reports of all
 * may take 15 times as long; look-ups in a list take 100 times. */
static void
linear_time(void)
{
	usec few = time_of(MANY / 10), many = time_of(MANY);

	printf("%d hosts %lld us, %d hosts %lld us\n", MANY / 10,
	    (long long)few, MANY, (long long)many);
	CU_ASSERT(many <= 15 * few);
}

static const struct unit_test tests[] = {
    {"no host is left out", no_host_is_left_out},
    {"removal", removal},
    {"linear time", linear_time},
};
UNIT_MAIN("hosts", tests)
