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

/* A controller and what it has sent to its hosts. */
struct sent {
	struct hosts t;
	int whole;
	int differences;
};

/* Sends a heartbeat; each host gets what it is sent, unless `lost`. */
static void
send_heartbeat(struct sent *s, int lost, usec now)
{
	uint64_t base = hosts_list_renew(&s->t, now);
	enum list_update update;
	struct host_entry *h;
	int i;

	s->whole = s->differences = 0;
	for (i = 0; i < s->t.n; i++) {
		h = &s->t.list[i];
		update = hosts_list_update(&s->t, h, base, now);
		if (update == LIST_NONE)
			continue;
		s->whole += update == LIST_WHOLE;
		s->differences += update == LIST_DIFFERENCE;
		hosts_list_sent_to(&s->t, h, update, now);
		if (!lost && (update == LIST_WHOLE || h->list_reported == base))
			h->list_reported = s->t.digest;
	}
	hosts_list_sent(&s->t);
}

/* A report from a host with an address. */
static void
report(struct sent *s, int i, uint64_t boot, const char *addr)
{
	struct host_entry *h = hosts_find(&s->t, name_of(i));
	struct member m;
	int is_new = h == NULL;

	memset(&m, 0, sizeof(m));
	name_copy(m.host, sizeof(m.host), name_of(i));
	name_copy(m.addr, sizeof(m.addr), addr);
	m.boot = boot;
	if (is_new)
		h = hosts_add(&s->t, m.host);
	if (host_update(h, &m, "hal-a", "") || is_new) {
		h->changed = 1;
		s->t.changed = 1;
	}
	h->has_reported = 1;
}

/* A controller whose n hosts all have its list. */
static struct sent
in_step(int n)
{
	struct sent s;
	int i;

	memset(&s, 0, sizeof(s));
	hosts_list_begin(&s.t);
	for (i = 0; i < n; i++)
		report(&s, i, 1, "10.0.0.1:7200");
	send_heartbeat(&s, 0, MS(300));
	CU_ASSERT_EQUAL(s.whole, n);
	send_heartbeat(&s, 0, MS(600));
	CU_ASSERT_EQUAL(s.whole + s.differences, 0);
	return (s);
}

/* Guards against a list that goes to all hosts whenever one host comes. */
static void
changes_are_differences(void)
{
	struct sent s = in_step(MANY);

	report(&s, MANY, 1, "10.0.0.2:7200");
	send_heartbeat(&s, 0, MS(900));
	CU_ASSERT_EQUAL(s.differences, MANY);
	CU_ASSERT_EQUAL(s.whole, 1);
	report(&s, 7, 1, "10.0.0.3:7200");
	send_heartbeat(&s, 0, MS(1200));
	CU_ASSERT_EQUAL(s.differences, MANY + 1);
	hosts_remove(&s.t, 3);
	CU_ASSERT_EQUAL(s.t.ngone, 1);
	send_heartbeat(&s, 0, MS(1500));
	CU_ASSERT_EQUAL(s.differences, MANY);
	CU_ASSERT_EQUAL(s.whole, 0);
	hosts_free(&s.t);
}

/* Guards against a list that goes to all hosts whenever one starts again. */
static void
restarts_are_not_told(void)
{
	struct sent s = in_step(MANY);

	report(&s, 5, 2, "10.0.0.1:7200");
	send_heartbeat(&s, 0, MS(900));
	CU_ASSERT_EQUAL(s.differences, 0);
	/* To the new process, which has none. */
	CU_ASSERT_EQUAL(s.whole, 1);
	hosts_free(&s.t);
}

/* A host that lacks a difference is sent the whole list, while others come. */
static void
lost_difference(void)
{
	struct sent s = in_step(20);
	struct host_entry *h;
	int i, whole = 0;

	for (i = 0; i < 20; i++) {
		report(&s, 100 + i, 1, "10.0.0.2:7200");
		send_heartbeat(&s, 0, MS(900) + i * MS(300));
		if (i == 0) {
			h = hosts_find(&s.t, name_of(4));
			h->list_reported = 77;
		}
		whole += s.whole;
	}
	CU_ASSERT_EQUAL(whole, 20 + 1);
	h = hosts_find(&s.t, name_of(4));
	CU_ASSERT_EQUAL(h->list_reported, s.t.digest);
	hosts_free(&s.t);
}

/* Guards against a new controller that sends its list to all hosts although
 * they have the same one. */
static void
new_controller(void)
{
	struct sent s = in_step(MANY);
	uint64_t digest = s.t.digest;
	int i;

	/* It has not heard from any host yet. */
	for (i = 0; i < s.t.n; i++)
		s.t.list[i].list_sent = s.t.list[i].list_reported = 0;
	hosts_list_begin(&s.t);
	send_heartbeat(&s, 0, MS(9000));
	CU_ASSERT_EQUAL(s.whole + s.differences, 0);
	CU_ASSERT_EQUAL(s.t.digest, digest);
	for (i = 0; i < MANY; i++) {
		report(&s, i, 1, "10.0.0.1:7200");
		s.t.list[i].list_reported = digest;
	}
	send_heartbeat(&s, 0, MS(9300));
	CU_ASSERT_EQUAL(s.whole + s.differences, 0);
	hosts_free(&s.t);
}

static const struct unit_test tests[] = {
    {"no host is left out", no_host_is_left_out},
    {"removal", removal},
    {"linear time", linear_time},
    {"changes are differences", changes_are_differences},
    {"restarts are not told", restarts_are_not_told},
    {"lost difference", lost_difference},
    {"new controller", new_controller},
};
UNIT_MAIN("hosts", tests)
