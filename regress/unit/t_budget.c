/* Tests that the retry budgets of all hosts together keep one bound. */
#include <stdlib.h>
#include <string.h>

#include "budget.h"
#include "clock.h"
#include "host_count.h"
#include "unit.h"

/* Bound: SHARE of the requests and the slack, in any window. */
#define SHARE 0.2
#define WINDOW_STEPS 1000
#define STEP MS(10)
#define STEPS 4000
#define START MS(1000000)
/* After a calm time in which budgets fill. */
#define MIDDLE (STEPS / 2)
#define HOSTS_MAX 512
/* Hosts that are added. */
#define ADDED 11

/* How often a host sets its budgets, and is told the number of hosts. */
#define UPDATE_STEPS 20
#define HEARTBEAT_STEPS 30

/* Simulated hosts, and what all of them have sent. */
struct fleet_sim {
	struct budget budgets[HOSTS_MAX];
	struct host_count counts[HOSTS_MAX];
	int n;
	double slack;
	double requests_per_step; /* of each host */
	double due[HOSTS_MAX];	  /* parts of requests that are due */
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

/* A sequence of events that is played with each number of hosts. */
struct play {
	double rate;	  /* requests a second of each host */
	int failing_from; /* the step at which all targets begin to fail */
	int more_hosts;	  /* that the fleet has at most, beyond its size */
	double least;	  /* retries for each host, at least */
	double (*slack)(int size);
	void (*at)(struct fleet_sim *, int size, int step); /* before a step */
};

/* Returns the slack of a fleet. */
static double
usual_slack(int size)
{
	return (40 + 2 * size);
}

/* Returns half a retry for each host. */
static double
little_slack(int size)
{
	return (size / 2);
}

/* Returns the slack of a fleet before its settings are reloaded. */
static double
double_slack(int size)
{
	return (2 * usual_slack(size));
}

/* Plays events with each number of hosts: the bound is kept in any window. */
static void
play_all(const struct play *p)
{
	struct fleet_sim *f;
	int i, step;

	for (i = 0; i < NSIZES; i++) {
		f = fleet_new(
		    sizes[i] + p->more_hosts, p->rate, p->slack(sizes[i]));
		for (step = 0; step < STEPS; step++) {
			p->at(f, sizes[i], step);
			play_step(f, step, step >= p->failing_from);
		}
		CU_ASSERT(worst_excess(f) <= 0);
		CU_ASSERT(all_retries(f) >= p->least * sizes[i]);
		free(f);
	}
}

/* All hosts are told their number as they start. */
static void
all_are_told(struct fleet_sim *f, int size, int step)
{
	if (step == 0)
		tell_hosts(f, 0, f->n, f->n, step);
}

/* Targets that fail every request, after a calm time in which budgets fill. */
static void
targets_fail(void)
{
	static const struct play p = {
	    10, MIDDLE, 0, 0.9 * SHARE * 10 * 20, usual_slack, all_are_told};

	play_all(&p);
}

/* Guards against hosts that each keep one retry where the slack has less than
 * one for each of them. */
static void
less_than_one_retry(void)
{
	static const struct play p = {
	    2, MIDDLE, 0, 1, little_slack, all_are_told};

	play_all(&p);
}

/* All hosts start again every 3 s. */
static void
start_again(struct fleet_sim *f, int size, int step)
{
	int i;

	for (i = 0; i < f->n; i++) {
		if (step >= MIDDLE && step % 300 == i % 7)
			start_host(f, i);
	}
	if (step % HEARTBEAT_STEPS == 0)
		tell_hosts(f, 0, f->n, f->n, step);
}

/* Guards against a budget that each start of a host's process fills again. */
static void
hosts_start_again(void)
{
	static const struct play p = {
	    10, MIDDLE, 0, 0, usual_slack, start_again};

	play_all(&p);
}

/* All hosts start, a controller tells a sixth of them that there are no more,
 * and the next one tells all. */
static void
tell_a_sixth(struct fleet_sim *f, int size, int step)
{
	int i, known = (f->n + 5) / 6;

	if (step == 0 || step == MIDDLE + 450)
		tell_hosts(f, 0, f->n, f->n, step);
	for (i = 0; i < f->n && step == MIDDLE; i++)
		start_host(f, i);
	if (step == MIDDLE + 30)
		tell_hosts(f, 0, known, known, step);
}

/* Guards against hosts that take a large part because a controller that has
 * just begun knows few of them, and is lost before it knows the others. */
static void
controller_begins(void)
{
	static const struct play p = {
	    20, MIDDLE + 400, 0, 0, usual_slack, tell_a_sixth};

	play_all(&p);
}

/* From a moment on, a third of the hosts and the others hear only each other.
 */
static void
part_hosts(struct fleet_sim *f, int size, int step)
{
	int side = f->n / 3;

	if (step < STEPS / 4) {
		tell_hosts(f, 0, f->n, f->n, step);
		return;
	}
	tell_hosts(f, 0, side, side, step);
	tell_hosts(f, side, f->n, f->n - side, step);
}

/* Guards against two sides of a partition that each divide the slack among the
 * hosts that they hear. */
static void
two_sides(void)
{
	static const struct play p = {
	    10, MIDDLE, 0, 0, usual_slack, part_hosts};

	play_all(&p);
}

/* Hosts are added, and counted a second later. */
static void
add_hosts(struct fleet_sim *f, int size, int step)
{
	int known = step < MIDDLE + 100 ? size : size + ADDED;

	f->n = step < MIDDLE ? size : size + ADDED;
	if (step % HEARTBEAT_STEPS == 0)
		tell_hosts(f, 0, known, known, step);
}

/* Guards against hosts that are added and take their part before the others
 * divide by their number. */
static void
hosts_are_added(void)
{
	static const struct play p = {
	    10, MIDDLE + 90, ADDED, 0, usual_slack, add_hosts};

	play_all(&p);
}

/* Half of the hosts leave. */
static void
half_leave(struct fleet_sim *f, int size, int step)
{
	if (step == MIDDLE + 100)
		f->n = size / 2 + 1;
	if (step % HEARTBEAT_STEPS == 0)
		tell_hosts(f, 0, f->n, f->n, step);
}

/* Guards against hosts that divide the slack by fewer as soon as others have
 * left, which have used theirs in the same window. */
static void
hosts_leave(void)
{
	static const struct play p = {
	    10, MIDDLE, 0, 0, usual_slack, half_leave};

	play_all(&p);
}

/* Two in three hosts are killed twice, while there is no controller. */
static void
kill_twice(struct fleet_sim *f, int size, int step)
{
	int i;

	all_are_told(f, size, step);
	for (i = 0; i < f->n; i++) {
		if (i % 3 > 0 && (step == MIDDLE + 200 || step == MIDDLE + 700))
			start_host(f, i);
	}
}

/* Guards against hosts that start while there is no controller, and take as
 * much as a number told later would allow. */
static void
nobody_tells(void)
{
	static const struct play p = {
	    10, MIDDLE, 0, 0, usual_slack, kill_twice};

	play_all(&p);
}

/* The slack is halved while all budgets are full. */
static void
halve_slack(struct fleet_sim *f, int size, int step)
{
	all_are_told(f, size, step);
	if (step == MIDDLE)
		f->slack = usual_slack(size);
}

/* Guards against budgets that keep what earlier settings allowed. */
static void
settings_reloaded(void)
{
	static const struct play p = {
	    1, MIDDLE + UPDATE_STEPS, 0, 0, double_slack, halve_slack};

	play_all(&p);
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
    {"hosts leave", hosts_leave},
    {"nobody tells the number", nobody_tells},
    {"settings are reloaded", settings_reloaded},
    {"little slack", less_than_one_retry},
    {"count of hosts", count_of_hosts},
};
UNIT_MAIN("budget", tests)
