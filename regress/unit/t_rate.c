/* Tests a rate limit that holds for all hosts together. */
#include <stdlib.h>

#include "rate.h"
#include "unit.h"

#define HOSTS_MAX 490
#define SENDS_MAX 20000
/* Bound: TIMES the rate in any SPAN, and MORE requests. */
#define SPAN MS(4000)
#define TIMES 1.5
#define MORE 5

static usec sends[SENDS_MAX];
static int nsends;

/* Returns the highest number of requests in any span of this length. */
static int
most_in(usec span)
{
	int i, n = 0, from = 0;

	for (i = 0; i < nsends; i++) {
		while (sends[i] - sends[from] >= span)
			from++;
		if (i - from + 1 > n)
			n = i - from + 1;
	}
	return (n);
}

/* The clocks of hosts differ by up to this. */
#define CLOCKS_DIFFER MS(50)

/* Simulates hosts that learn of a limit and send as often as it allows: all of
 * the time, or with a pause after which all of them start at once. */
static void
simulate(int hosts, double limit, usec quiet_from, usec quiet_until)
{
	static struct rate r[HOSTS_MAX];
	struct rate_turns t = {hosts, 0, 0};
	usec now;
	int i;

	nsends = 0;
	for (i = 0; i < hosts; i++) {
		rate_init(&r[i]);
		t.rank = i;
		t.epoch = MS(-1796000000123) + i * 7919 % CLOCKS_DIFFER;
		rate_set(&r[i], limit, &t, MS(i % 500));
	}
	for (now = MS(500); now < MS(60000); now += MS(20)) {
		if (now >= quiet_from && now < quiet_until)
			continue;
		for (i = 0; i < hosts && nsends < SENDS_MAX; i++) {
			if (!rate_allows(&r[i], now))
				continue;
			rate_sent(&r[i], now);
			sends[nsends++] = now;
		}
	}
}

/* All hosts together keep the rate, also when all start after a pause. */
static void
all_hosts_together(void)
{
	static const int hosts[] = {1, 3, 8, 12, 81, 295};
	static const double limits[] = {0.5, 1, 2.1, 2.4, 3.3, 4, 10, 60};
	size_t h, l;
	int round;

	for (h = 0; h < sizeof(hosts) / sizeof(hosts[0]); h++) {
		for (l = 0; l < sizeof(limits) / sizeof(limits[0]); l++) {
			for (round = 0; round < 2; round++) {
				simulate(hosts[h], limits[l], MS(20000),
				    MS(round % 2 == 0 ? 20000 : 40000));
				CU_ASSERT(most_in(SPAN) <=
				    TIMES * limits[l] * SPAN / US_PER_SEC +
					MORE);
			}
		}
	}
}

/* Bound for cold targets: COLD_TIMES the rate in any second, and COLD_MORE
 * requests. */
#define COLD_TIMES 1.5
#define COLD_MORE 8

/* Guards against more requests in one second than a cold target can handle. */
static void
cold_second(void)
{
	static const int hosts[] = {8, 12, 90, 295, 490};
	static const double rates[] = {1, 2.3, 5.8, 6};
	size_t h, r;
	int round;

	for (h = 0; h < sizeof(hosts) / sizeof(hosts[0]); h++) {
		for (r = 0; r < sizeof(rates) / sizeof(rates[0]); r++) {
			for (round = 0; round < 2; round++) {
				simulate(hosts[h], rates[r], MS(20000),
				    MS(round % 2 == 0 ? 20000 : 40000));
				CU_ASSERT(most_in(US_PER_SEC) <=
				    COLD_TIMES * rates[r] + COLD_MORE);
			}
		}
	}
}

/* Under steady demand most of the limit is used. */
static void
used(void)
{
	simulate(8, 4, 0, 0);
	CU_ASSERT(nsends > 4 * 59 * 0.9);
	simulate(295, 10, 0, 0);
	CU_ASSERT(nsends > 10 * 59 * 0.8);
}

/* A limit can be removed at once; set again it begins with no turn saved. */
static void
ends(void)
{
	struct rate_turns t = {10, 5, MS(1000)};
	struct rate r;

	rate_init(&r);
	CU_ASSERT(rate_allows(&r, MS(1)) && rate_wait(&r, 9, MS(1)) == 0);
	rate_set(&r, 1, &t, MS(1000));
	CU_ASSERT(!rate_allows(&r, MS(5900)) && rate_allows(&r, MS(6000)));
	rate_set(&r, -1, &t, MS(2000));
	CU_ASSERT(rate_allows(&r, MS(2000)));
	rate_sent(&r, MS(2000));
	CU_ASSERT(rate_allows(&r, MS(2000)));
	rate_set(&r, 1, &t, MS(90000));
	CU_ASSERT(!rate_allows(&r, MS(95900)) && rate_allows(&r, MS(96000)));
}

/* The wait for a turn includes the requests before it. */
static void
waits(void)
{
	struct rate_turns t = {4, 0, MS(1000)};
	struct rate r;

	rate_init(&r);
	rate_set(&r, 2, &t, MS(1000));
	CU_ASSERT(rate_wait(&r, 0, MS(1000)) == 0);
	CU_ASSERT(rate_wait(&r, 2, MS(1000)) == MS(4000));
	rate_sent(&r, MS(1000));
	CU_ASSERT(rate_wait(&r, 0, MS(1500)) == MS(1500));
}

/* A limit that changes with each answer neither adds turns nor delays them
 * forever. */
static void
changes(void)
{
	struct rate_turns t = {8, 3, MS(-1796000000123)};
	struct rate r;
	usec now;
	int n = 0;

	rate_init(&r);
	for (now = MS(1000); now < MS(101000); now += MS(10)) {
		rate_set(&r, 4 - (double)(now / MS(10) % 7) / 10, &t, now);
		if (!rate_allows(&r, now))
			continue;
		rate_sent(&r, now);
		n++;
	}
	CU_ASSERT(n <= 51 && n > 20);
}

/* A target with a limit of 0 still gets a request now and then. */
static void
none(void)
{
	struct rate_turns t = {2, 1, 0};
	struct rate r;

	rate_init(&r);
	rate_set(&r, 0, &t, MS(1000));
	CU_ASSERT(!rate_allows(&r, MS(1000)));
	CU_ASSERT(rate_wait(&r, 0, MS(1000)) <= MS(30000));
	/* The number of hosts is not known yet. */
	t.hosts = 0;
	rate_set(&r, 4, &t, MS(1000));
	CU_ASSERT(rate_wait(&r, 0, MS(1000)) <= MS(250));
}

static const struct unit_test tests[] = {
    {"all hosts together", all_hosts_together},
    {"cold second", cold_second},
    {"used", used},
    {"ends", ends},
    {"waits", waits},
    {"changes", changes},
    {"none", none},
};
UNIT_MAIN("rate", tests)
