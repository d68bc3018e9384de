/* Tests the choice of hosts by rendezvous hashing. */
#include <stdio.h>
#include <string.h>

#include "rendezvous.h"
#include "unit.h"

#define HOSTS 79
#define KEYS_TRIED 2000

static struct rendezvous_host hosts[HOSTS];

/* Sets up hosts of three data centres. */
static void
set_hosts(void)
{
	uint64_t x = 1;
	int i;

	memset(hosts, 0, sizeof(hosts));
	for (i = 0; i < HOSTS; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "h%d", i);
		snprintf(hosts[i].dc, sizeof(hosts[i].dc), "dc%d", i % 3);
		x = x * 6364136223846793005u + 1442695040888963407u;
		hosts[i].digest = x;
	}
}

/* Returns which host of a data centre's best ten is chosen for a key. */
static int
choose(uint64_t key, usec now)
{
	int top[10], n = rendezvous_top(hosts, HOSTS, "dc1", 7, top, 10);

	CU_ASSERT(n == 10);
	return (rendezvous_pick(hosts, top, n, key, now));
}

/* Only hosts of the data centre are chosen, each once, the best first. */
static void
top_hosts(void)
{
	int all[HOSTS], few[3], n, i, k;

	set_hosts();
	n = rendezvous_top(hosts, HOSTS, "dc1", 7, all, HOSTS);
	CU_ASSERT(n == 26);
	for (i = 0; i < n; i++) {
		CU_ASSERT_STRING_EQUAL(hosts[all[i]].dc, "dc1");
		for (k = 0; k < i; k++)
			CU_ASSERT(all[i] != all[k]);
	}
	CU_ASSERT(rendezvous_top(hosts, HOSTS, "dc1", 7, few, 3) == 3);
	CU_ASSERT(memcmp(few, all, sizeof(few)) == 0);
	CU_ASSERT(rendezvous_top(hosts, HOSTS, "dc9", 7, few, 3) == 0);
}

/* Keys are spread over the hosts: none has twice its part. */
static void
spread(void)
{
	int count[HOSTS] = {0}, i;
	uint64_t key;

	set_hosts();
	for (key = 1; key <= KEYS_TRIED; key++)
		count[choose(key, 0)]++;
	for (i = 0; i < HOSTS; i++)
		CU_ASSERT(count[i] < 2 * KEYS_TRIED / 10);
}

/* Guards against a lost host that changes the choice for keys of others: they
 * would be admitted to by two hosts. */
static void
lost_host(void)
{
	int before[KEYS_TRIED], gone, after;
	uint64_t key;

	set_hosts();
	for (key = 0; key < KEYS_TRIED; key++)
		before[key] = choose(key + 1, 0);
	gone = before[0];
	rendezvous_silent(&hosts[gone], 0);
	for (key = 0; key < KEYS_TRIED; key++) {
		after = choose(key + 1, MS(100));
		CU_ASSERT(before[key] == gone ? after != gone && after >= 0
					      : after == before[key]);
	}
	/* It is tried again, later each time, until it replies. */
	CU_ASSERT(choose(1, MS(1000)) == gone);
	rendezvous_silent(&hosts[gone], MS(1000));
	CU_ASSERT(choose(1, MS(2500)) != gone);
	rendezvous_heard(&hosts[gone]);
	CU_ASSERT(choose(1, MS(2500)) == gone);
}

/* Guards against waiting for a host where none replies. */
static void
all_silent(void)
{
	int i;

	set_hosts();
	for (i = 0; i < HOSTS; i++)
		rendezvous_silent(&hosts[i], 0);
	CU_ASSERT(choose(1, MS(10)) == -1);
}

static const struct unit_test tests[] = {
    {"top hosts", top_hosts},
    {"spread", spread},
    {"lost host", lost_host},
    {"all silent", all_silent},
};

UNIT_MAIN("rendezvous", tests)
