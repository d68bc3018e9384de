/* Tests that the retry budgets of all hosts together keep one bound. */
#include <stdlib.h>
#include <string.h>

#include "budget.h"
#include "clock.h"
#include "host_count.h"
#include "unit.h"

/* Bound: SHARE of the requests and SLACK, in any window. */
#define SHARE 0.2
#define SLACK(hosts) (40 + 2 * (hosts))
#define WINDOW_STEPS 1000
#define STEP MS(10)
#define STEPS 4000
#define START MS(1000000)
#define HOSTS_MAX 512

/* How often a host sets its budgets. */
#define UPDATE_STEPS 20

/* Hosts that are asked for more retries than they may send. */
struct fleet_sim {
	struct budget budgets[HOSTS_MAX];
	struct host_count counts[HOSTS_MAX];
	int n;
	double slack;
	double requests_per_step; /* of each host */
	double due[HOSTS_MAX];
	int requests[STEPS];
	int retries[STEPS];
};

static const int sizes[] = {3, 12, 65, 300, 490};
#define NSIZES ((int)(sizeof(sizes) / sizeof(sizes[0])))

/* Starts a host's process. */
static void
start_host(struct fleet_sim *f, int i)
{
	budget_init(&f->budgets[i], SHARE, 1);
	memset(&f->counts[i], 0, sizeof(f->counts[i]));
}

/* Tells the hosts [from, to) how many there are. */
static void
tell_hosts(struct fleet_sim *f, int from, int to, int hosts, int step)
{
	int i;

	for (i = from; i < to; i++)
		host_count_told(&f->counts[i], hosts, START + step * STEP);
}

/* Starts n hosts that get `rate` requests a second each. */
static struct fleet_sim *
fleet_new(int n, double rate, double slack)
{
	struct fleet_sim *f = calloc(1, sizeof(*f));
	int i;

	f->n = n;
	f->slack = slack;
	f->requests_per_step = rate * STEP / US_PER_SEC;
	for (i = 0; i < n; i++) {
		f->due[i] = i % 10 / 10.0;
		start_host(f, i);
	}
	return (f);
}

/* Plays one step: hosts get requests, and send what they may if `failing`. */
static void
play_step(struct fleet_sim *f, int step, int failing)
{
	usec now = START + step * STEP;
	int i;

	for (i = 0; i < f->n; i++) {
		if (step % UPDATE_STEPS == i % UPDATE_STEPS)
			budget_set_part(&f->budgets[i], SHARE, f->slack,
			    host_count_most(&f->counts[i], now));
		f->due[i] += f->requests_per_step;
		for (; f->due[i] >= 1; f->due[i] -= 1) {
			budget_deposit(&f->budgets[i]);
			f->requests[step]++;
		}
		while (failing && budget_withdraw(&f->budgets[i]))
			f->retries[step]++;
	}
}

/* Returns by how many retries the bound is exceeded in the worst window; less
 * than 0 if it is kept in all. */
static double
worst_excess(const struct fleet_sim *f)
{
	double over, worst = -f->slack;
	int from, i, requests, retries;

	for (from = 0; from + WINDOW_STEPS <= STEPS; from++) {
		requests = retries = 0;
		for (i = from; i < from + WINDOW_STEPS; i++) {
			requests += f->requests[i];
			retries += f->retries[i];
		}
		over = retries - SHARE * requests - f->slack;
		if (over > worst)
			worst = over;
	}
	return (worst);
}

/* Returns the retries of a fleet. */
static int
all_retries(const struct fleet_sim *f)
{
	int i, n = 0;

	for (i = 0; i < STEPS; i++)
		n += f->retries[i];
	return (n);
}

/* Targets that fail every request, after a calm time in which budgets fill. */
static void
targets_fail(void)
{
	struct fleet_sim *f;
	int i, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i], 10, SLACK(sizes[i]));
		for (step = 0; step < STEPS; step++) {
			if (step == 0)
				tell_hosts(f, 0, f->n, f->n, step);
			play_step(f, step, step >= STEPS / 2);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		CU_ASSERT(all_retries(f) >= 0.9 * SHARE * 10 * 20 * sizes[i]);
		free(f);
	}
}

/* Guards against a budget that each start of a host's process fills again. */
static void
hosts_start_again(void)
{
	struct fleet_sim *f;
	int i, n, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i], 10, SLACK(sizes[i]));
		for (step = 0; step < STEPS; step++) {
			for (n = 0; n < f->n; n++) {
				if (step >= STEPS / 2 && step % 300 == n % 7)
					start_host(f, n);
			}
			if (step % 30 == 0)
				tell_hosts(f, 0, f->n, f->n, step);
			play_step(f, step, step >= STEPS / 2);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		free(f);
	}
}

/* Guards against hosts that take a large part because a controller that has
 * just begun knows few of them: it tells a sixth of them, and is lost before it
 * knows the others. */
static void
controller_begins(void)
{
	struct fleet_sim *f;
	int i, n, known, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i], 20, SLACK(sizes[i]));
		known = (f->n + 5) / 6;
		for (step = 0; step < STEPS; step++) {
			if (step == 0 || step == STEPS / 2 + 450)
				tell_hosts(f, 0, f->n, f->n, step);
			for (n = 0; n < f->n && step == STEPS / 2; n++)
				start_host(f, n);
			if (step == STEPS / 2 + 30)
				tell_hosts(f, 0, known, known, step);
			play_step(f, step, step >= STEPS / 2 + 400);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		free(f);
	}
}

/* Guards against two sides of a partition that each divide the slack among the
 * hosts that they hear. */
static void
two_sides(void)
{
	struct fleet_sim *f;
	int i, side, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i], 10, SLACK(sizes[i]));
		side = f->n / 3;
		for (step = 0; step < STEPS; step++) {
			if (step < STEPS / 4)
				tell_hosts(f, 0, f->n, f->n, step);
			else {
				tell_hosts(f, 0, side, side, step);
				tell_hosts(f, side, f->n, f->n - side, step);
			}
			play_step(f, step, step >= STEPS / 2);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		free(f);
	}
}

/* Guards against hosts that are added and take their part before the others
 * divide by their number: 11, which are counted a second later. */
static void
hosts_are_added(void)
{
	struct fleet_sim *f;
	int i, n, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i] + 11, 10, SLACK(sizes[i]));
		f->n = sizes[i];
		for (step = 0; step < STEPS; step++) {
			if (step == STEPS / 2)
				f->n = sizes[i] + 11;
			n = step < STEPS / 2 + 100 ? sizes[i] : f->n;
			if (step % 30 == 0)
				tell_hosts(f, 0, n, n, step);
			play_step(f, step, step >= STEPS / 2 + 90);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		free(f);
	}
}

/* Guards against hosts that each keep one retry where the slack has less than
 * one for each of them. */
static void
little_slack(void)
{
	struct fleet_sim *f;
	int i, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(sizes[i], 2, sizes[i] / 2);
		tell_hosts(f, 0, f->n, f->n, 0);
		for (step = 0; step < STEPS; step++)
			play_step(f, step, step >= STEPS / 2);
		CU_ASSERT(worst_excess(f) <= 0);
		CU_ASSERT(all_retries(f) >= sizes[i]);
		free(f);
	}
}

/* The largest number counts for five to ten minutes after a smaller one was
 * told, the present one for as long as no other is told. */
static void
count_of_hosts(void)
{
	struct host_count c;

	memset(&c, 0, sizeof(c));
	CU_ASSERT_EQUAL(host_count_most(&c, START), 0);
	host_count_told(&c, 65, START);
	CU_ASSERT_EQUAL(host_count_most(&c, START + MS(4900)), 0);
	CU_ASSERT_EQUAL(host_count_most(&c, START + MS(5000)), 65);
	host_count_told(&c, 12, START + MS(299000));
	CU_ASSERT_EQUAL(host_count_most(&c, START + MS(599000)), 65);
	CU_ASSERT_EQUAL(host_count_most(&c, START + MS(899000)), 12);
	CU_ASSERT_EQUAL(host_count_most(&c, START + MS(6000000)), 12);
}

static const struct unit_test tests[] = {
    {"targets fail", targets_fail},
    {"hosts start again", hosts_start_again},
    {"controller begins", controller_begins},
    {"two sides of a partition", two_sides},
    {"hosts are added", hosts_are_added},
    {"little slack", little_slack},
    {"count of hosts", count_of_hosts},
};
UNIT_MAIN("budget", tests)
