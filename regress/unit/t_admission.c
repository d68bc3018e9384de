/* Tests who is admitted to targets, and plays loads beyond what they serve. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "unit.h"

/* A target turns away what exceeds its slots and this queue. */
#define QUEUE 8
#define TARGETS_MAX 8
#define REQUESTS_MAX 40000
/* One way between hosts, and from a host to a target. */
#define WAY MS(3)

static struct admission adm;

/* Sets up `n` targets of so many slots. */
static void
set_targets(int n, int slots)
{
	char id[16];
	int i, t;

	admission_init(&adm);
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "i-%d", i);
		t = admission_target(&adm, id, slots);
		adm.targets[t].open = adm.targets[t].shared = 1;
	}
}

/* Returns an ask with the usual times of a request of 120 ms. */
static struct admission_ask
make_ask(uint64_t id, int target, int rank, usec now)
{
	struct admission_ask q = {
	    .host = 1 + id % 79,
	    .id = id,
	    .target = target,
	    .avoid = ADMISSION_ANY,
	    .rank = rank,
	    .arrived = now,
	    .aim_at = now + MS(500),
	    .deadline = now + MS(1500),
	    .work = MS(120),
	};

	return (q);
}

/* Asks for a permit; returns the verdict. */
static enum admission_verdict
try(const struct admission_ask *q, usec now)
{
	struct admission_reply r;

	admission_ask(&adm, q, now, &r);
	CU_ASSERT(r.id == q->id && r.host == q->host);
	return (r.verdict);
}

/* Ends the permit of an ask with a success. */
static void
end(uint64_t id, usec now)
{
	struct dest_answer a = {DEST_ANSWERED, MS(120), MS(120), {0}};

	admission_end(&adm, 1 + id % 79, id, now, &a);
}

/* Permits end at the limit, whichever hosts ask, and are given out again. */
static void
limit(void)
{
	struct admission_ask q;
	struct admission_reply r;
	uint64_t id;

	set_targets(1, 2);
	for (id = 1; id <= 3; id++) {
		q = make_ask(id, 0, 1, 0);
		CU_ASSERT(try(&q, 0) == ADMISSION_GRANTED);
	}
	q = make_ask(4, 0, 1, 0);
	CU_ASSERT(try(&q, 0) == ADMISSION_WAITS);
	CU_ASSERT(admission_next(&adm, MS(10), &r) == 0);
	end(2, MS(100));
	CU_ASSERT(admission_next(&adm, MS(100), &r) == 1);
	CU_ASSERT(r.verdict == ADMISSION_GRANTED && r.id == 4);
	CU_ASSERT(admission_next(&adm, MS(100), &r) == 0);
}

/* Guards against a second permit for an ask whose first answer was lost. */
static void
asked_again(void)
{
	struct admission_ask q = make_ask(1, 0, 1, 0);

	set_targets(1, 2);
	CU_ASSERT(try(&q, 0) == ADMISSION_GRANTED);
	CU_ASSERT(try(&q, MS(300)) == ADMISSION_GRANTED);
	CU_ASSERT(adm.npermits == 1);
}

/* Guards against permits that are held for ever by a host that was lost. */
static void
lost_holder(void)
{
	struct admission_ask q;
	struct admission_reply r;
	uint64_t id;

	set_targets(1, 2);
	for (id = 1; id <= 4; id++) {
		q = make_ask(id, 0, 1, 0);
		q.deadline = MS(id < 4 ? 800 : 3000);
		try(&q, 0);
	}
	CU_ASSERT(admission_next(&adm, MS(700), &r) == 0);
	CU_ASSERT(admission_next(&adm, MS(950), &r) == 1);
	CU_ASSERT(r.verdict == ADMISSION_GRANTED && r.id == 4);
}

/* Guards against a host that is cut off from a target, whose reports would make
 * the others back off from it. */
static void
failures_of_one_host(void)
{
	struct dest_answer a = {.end = DEST_UNREACHED};
	struct dest_answer unused = {.end = DEST_NOT_SENT};
	struct admission_ask q;
	usec now = 0;
	int i;

	set_targets(1, 2);
	/* The first counts, as it may be the target. */
	for (i = 0; i < 6; i++, now += MS(200)) {
		q = make_ask(79 * (uint64_t)(i + 1), 0, 1, now);
		CU_ASSERT(try(&q, now) == ADMISSION_GRANTED);
		admission_end(&adm, q.host, q.id, now, &a);
		q.host = 200;
		CU_ASSERT((try(&q, now) == ADMISSION_GRANTED) == (i > 0));
		admission_end(&adm, q.host, q.id, now, &unused);
		a.end = i % 2 == 0 ? DEST_BROKEN : DEST_UNREACHED;
	}
}

/* The more urgent go first, and those that can be in time before all others. */
static void
order(void)
{
	struct admission_ask q;
	struct admission_reply r;
	uint64_t id;

	set_targets(1, 2);
	for (id = 1; id <= 6; id++) {
		q = make_ask(id, 0, id == 6 ? 0 : 2, 0);
		if (id == 4)
			q.aim_at = MS(50);
		try(&q, 0);
	}
	end(1, MS(10));
	end(2, MS(10));
	end(3, MS(10));
	CU_ASSERT(admission_next(&adm, MS(10), &r) == 1 && r.id == 6);
	CU_ASSERT(admission_next(&adm, MS(10), &r) == 1 && r.id == 5);
	CU_ASSERT(admission_next(&adm, MS(10), &r) == 1 && r.id == 4);
}

/* Guards against a kind that is never served while more urgent ones press. */
static void
floor_of_ranks(void)
{
	struct admission_ask q;
	struct admission_reply r;
	uint64_t id;
	int i, less = 0;

	set_targets(1, 2);
	for (id = 1; id <= 60; id++) {
		q = make_ask(id, 0, id <= 30 ? 2 : 0, 0);
		q.aim_at = q.deadline = MS(60000);
		try(&q, 0);
	}
	for (i = 0, id = 1; i < 20; i++) {
		end(id, MS(10));
		CU_ASSERT(admission_next(&adm, MS(10), &r) == 1);
		id = r.id;
		less += id <= 30;
	}
	CU_ASSERT(less >= 4 && less <= 6);
}

/* Guards against a request that waits for its deadline because the only target
 * is the one that has turned it away. */
static void
avoided(void)
{
	struct admission_ask q = make_ask(1, ADMISSION_ANY, 1, 0);
	struct admission_reply r;

	set_targets(2, 2);
	q.avoid = 0;
	admission_ask(&adm, &q, 0, &r);
	CU_ASSERT(r.verdict == ADMISSION_GRANTED && r.target == 1);
	set_targets(1, 2);
	CU_ASSERT(try(&q, 0) == ADMISSION_GRANTED);
}

/* Guards against waiting for targets that have been closed. */
static void
closed(void)
{
	struct admission_ask q = make_ask(1, ADMISSION_ANY, 1, 0);

	set_targets(2, 2);
	admission_sweep(&adm);
	CU_ASSERT(try(&q, 0) == ADMISSION_UNKNOWN);
}

/* A request in a load that is played. */
struct request {
	struct admission_ask ask;
	usec sent; /* at the target's queue; 0 if not sent */
	usec starts;
	usec work;
	usec done;
	int target;
	int refused;
	usec refused_at;
};

static struct request requests[REQUESTS_MAX];
static int nrequests;

/* What callers got. */
struct outcome {
	int asked;
	int in_time;
	int late;
	int refused;
	int refused_slowly; /* later than a tenth of the objective */
	int turned_away;    /* by a full target */
	int hopeless;	    /* sent though their time could not suffice */
};

static double
uniform(void)
{
	static uint64_t x = 88172645463325252u;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	return ((double)(x >> 11) / (double)(1ull << 53));
}

/* Takes a permit: the request reaches its target and waits for a slot. */
static void
run(struct request *q, int target, usec now, usec (*slots)[2], int *inside,
    const double *speed, struct outcome *o)
{
	int s = slots[target][0] <= slots[target][1] ? 0 : 1;

	q->target = target;
	q->sent = now + WAY;
	if (inside[target] >= 2 + QUEUE) {
		o->turned_away++;
		q->done = q->sent;
		return;
	}
	inside[target]++;
	q->starts = slots[target][s] > q->sent ? slots[target][s] : q->sent;
	q->done = q->starts + (usec)((double)q->work * speed[target]);
	slots[target][s] = q->done;
	if (now + q->work / 2 > q->ask.deadline)
		o->hopeless++;
}

/* Counts the outcome of a request whose answer has come. */
static void
count(struct request *q, struct outcome *o)
{
	if (q->done > q->ask.deadline)
		return;
	if (q->done + WAY <= q->ask.aim_at)
		o->in_time++;
	else
		o->late++;
}

/*
 * Plays 20 s in which targets of two slots are asked for `load` times what they
 * serve, and returns what callers got of requests of a rank.  One request in
 * `urgent` is of rank 0, the others of rank 2.
 */
static struct outcome
play(int targets, double load, int urgent, int rank, int keyed)
{
	static const double speed[TARGETS_MAX] = {
	    0.5, 1, 1, 1.5, 0.7, 0.7, 1.6, 1};
	usec slots[TARGETS_MAX][2] = {{0}}, next = 0, now;
	int inside[TARGETS_MAX] = {0}, i, first = 0;
	struct outcome o[2] = {{0}};
	struct admission_reply r;
	struct dest_answer a = {DEST_ANSWERED, 0, MS(120), {0}};
	double rate = 0, part;
	struct request *q;

	set_targets(targets, 2);
	for (i = 0; i < targets; i++)
		rate += 2 / (0.12 * speed[i]);
	rate *= load;
	nrequests = 0;
	for (now = 1; now < MS(20000); now += MS(1)) {
		for (i = first; i < nrequests; i++) {
			q = &requests[i];
			if (q->sent == 0 || q->done == 0 || q->done + WAY > now)
				continue;
			inside[q->target] -= q->starts != 0;
			count(q, &o[q->ask.rank > 0]);
			a.took = q->done + WAY - q->sent;
			a.load.reported = 1;
			a.load.running =
			    inside[q->target] < 2 ? inside[q->target] : 2;
			a.load.waiting = inside[q->target] - a.load.running;
			admission_end(&adm, q->ask.host, q->ask.id, now, &a);
			q->done = 0;
		}
		while (first < nrequests && requests[first].done == 0 &&
		    (requests[first].sent != 0 || requests[first].refused))
			first++;
		while (next <= now && now < MS(18000)) {
			q = &requests[nrequests++];
			memset(q, 0, sizeof(*q));
			q->work = (usec)(-log(1 - uniform()) * 60000) + MS(60);
			/* Keys are placed by the speed of their targets. */
			part = uniform() * rate / load;
			for (i = 0; (part -= 2 / (0.12 * speed[i])) > 0 &&
			     i < targets - 1;)
				i++;
			q->ask = make_ask((uint64_t)nrequests,
			    keyed ? i : ADMISSION_ANY,
			    urgent > 0 && nrequests % urgent == 0 ? 0 : 2, now);
			o[q->ask.rank > 0].asked++;
			next += (usec)(-log(1 - uniform()) * 1e6 / rate);
			admission_ask(&adm, &q->ask, now, &r);
			if (r.verdict == ADMISSION_GRANTED)
				run(q, r.target, now, slots, inside, speed,
				    &o[q->ask.rank > 0]);
			else if (r.verdict != ADMISSION_WAITS) {
				q->refused = 1;
				o[q->ask.rank > 0].refused++;
			}
		}
		while (admission_next(&adm, now, &r)) {
			q = &requests[r.id - 1];
			if (r.verdict == ADMISSION_GRANTED) {
				run(q, r.target, now, slots, inside, speed,
				    &o[q->ask.rank > 0]);
				continue;
			}
			q->refused = 1;
			o[q->ask.rank > 0].refused++;
			o[q->ask.rank > 0].refused_slowly +=
			    now - q->ask.arrived > MS(50);
		}
	}
	return (o[rank > 0]);
}

/* Prints an outcome where a check of it fails. */
static int
told(const char *what, const struct outcome *o, int ok)
{
	if (!ok)
		printf("\n%s: asked %d, in time %d, late %d, refused %d "
		       "(%d slowly), turned away %d, hopeless %d\n",
		    what, o->asked, o->in_time, o->late, o->refused,
		    o->refused_slowly, o->turned_away, o->hopeless);
	return (ok);
}

/* Load: eight targets of any speed at 0.7 to 2.5 times what they serve.  No
 * target turns anybody away, nobody is sent whose time cannot suffice, and as
 * many are served in time as at 1.0. */
static void
overload(void)
{
	static const double loads[] = {0.7, 1, 1.5, 2.5, 4};
	struct outcome o;
	char what[32];
	int i, keyed, at_one = 0;

	for (keyed = 0; keyed < 2; keyed++) {
		for (i = 0; i < 5; i++) {
			o = play(8, loads[i], 0, 2, keyed);
			snprintf(what, sizeof(what), "load %.1f%s", loads[i],
			    keyed ? ", keyed" : "");
			CU_ASSERT(told(what, &o, o.turned_away == 0));
			CU_ASSERT(told(what, &o, o.hopeless == 0));
			/* The owner of a key may be full for a moment. */
			if (loads[i] < 1 && !keyed)
				CU_ASSERT(
				    told(what, &o, o.refused * 100 <= o.asked));
			if (loads[i] == 1)
				at_one = o.in_time;
			if (loads[i] > 1)
				CU_ASSERT(
				    told(what, &o, o.in_time >= 0.95 * at_one));
			CU_ASSERT(told(
			    what, &o, o.refused_slowly * 20 <= o.refused + 20));
		}
	}
}

/* Load: twice what the targets serve, a tenth of it urgent.  The urgent are
 * served as if they were alone. */
static void
urgent_under_overload(void)
{
	struct outcome o = play(8, 2, 10, 0, 0);

	CU_ASSERT(told("urgent", &o, o.in_time >= 0.99 * o.asked));
	o = play(8, 2, 10, 0, 1);
	CU_ASSERT(
	    told("urgent, keyed", &o, o.in_time + o.late >= 0.99 * o.asked));
}

static const struct unit_test tests[] = {
    {"limit", limit},
    {"asked again", asked_again},
    {"lost holder", lost_holder},
    {"failures of one host", failures_of_one_host},
    {"order", order},
    {"floor of ranks", floor_of_ranks},
    {"avoided", avoided},
    {"closed", closed},
    {"overload", overload},
    {"urgent under overload", urgent_under_overload},
};

UNIT_MAIN("admission", tests)
