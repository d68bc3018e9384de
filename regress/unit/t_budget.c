/* Tests that the retry budgets of all hosts together keep one bound. */
#include <stdlib.h>
#include <string.h>

#include "budget.h"
#include "clock.h"
#include "unit.h"

/* Bound: SHARE of the requests and SLACK_BASE + SLACK_PER_HOST for each host,
 * in any WINDOW. */
#define SHARE 0.2
#define SLACK_BASE 40
#define SLACK_PER_HOST 2
#define WINDOW_STEPS 1000
#define STEP MS(10)
#define STEPS 4000
#define HOSTS_MAX 512

/* Hosts that are asked for more retries than they may send. */
struct fleet_sim {
	struct budget budgets[HOSTS_MAX];
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
	budget_init(&f->budgets[i], SHARE, f->slack / f->n);
}

/* Starts n hosts that get `rate` requests a second each. */
static struct fleet_sim *
fleet_new(int n, double rate)
{
	struct fleet_sim *f = calloc(1, sizeof(*f));
	int i;

	f->n = n;
	f->slack = SLACK_BASE + SLACK_PER_HOST * n;
	f->requests_per_step = rate * STEP / US_PER_SEC;
	for (i = 0; i < n; i++)
		start_host(f, i);
	return (f);
}

/* Plays one step: hosts get requests, and send what they may if `failing`. */
static void
play_step(struct fleet_sim *f, int step, int failing)
{
	int i;

	for (i = 0; i < f->n; i++) {
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
		f = fleet_new(sizes[i], 10);
		for (step = 0; step < STEPS; step++)
			play_step(f, step, step >= STEPS / 2);
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
		f = fleet_new(sizes[i], 10);
		for (step = 0; step < STEPS; step++) {
			for (n = 0; n < f->n; n++) {
				if (step >= STEPS / 2 && step % 300 == n % 7)
					start_host(f, n);
			}
			play_step(f, step, step >= STEPS / 2);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		free(f);
	}
}

static const struct unit_test tests[] = {
    {"targets fail", targets_fail},
    {"hosts start again", hosts_start_again},
};
UNIT_MAIN("budget", tests)
