/*
 * Whose answer came: a target that answers requests, and answers some a second
 * time, where the next answer on the connection is due.  Every order of its
 * answers is played, and what the sender concludes is compared with what ran.
 */
#include <string.h>

#include "answers.h"
#include "unit.h"

#define REQUESTS 2
#define ATTEMPTS_MAX 3
#define CONNS 2
#define QUEUE_MAX 16
#define ADDR 7
/* Orders of answers: for each attempt a connection, what the target does, and
 * whether it sends an earlier answer again. */
#define ORDERS (12 * 12 * 12 * 12 * 12 * 12)

struct answer {
	int id; /* 0 if it names no request */
	int request;
	int not_run;
};

/* A connection: the answers that are due on it, and the last one sent. */
struct conn {
	int port; /* 0 if it is closed */
	int used;
	struct answer due[QUEUE_MAX];
	int ndue;
	struct answer last;
};

struct play {
	long choices;
	struct conn conns[CONNS];
	int last_port;
	int ran[REQUESTS];
	int delivered; /* answers of runs */
	int wrong;     /* conclusions that do not hold */
};

/* Takes the next choice of n. */
static int
choose(struct play *p, int n)
{
	int v = (int)(p->choices % n);

	p->choices /= n;
	return (v);
}

/* The target gets a request: it may send its last answer on the connection a
 * second time, with its id or without, then it runs or refuses. */
static void
serve(struct play *p, struct conn *c, int request)
{
	struct answer own = {request + 1, request, choose(p, 2)};
	int again = choose(p, 3);

	if (c->last.id != 0 && again > 0) {
		c->due[c->ndue] = c->last;
		if (again == 2)
			c->due[c->ndue].id = 0;
		c->ndue++;
	}
	p->ran[request] += !own.not_run;
	c->due[c->ndue++] = own;
	c->last = own;
}

/* Returns what the sender knows of an answer. */
static struct answer_facts
facts(const struct play *p, const struct conn *c, const struct answer *a,
    const struct sends *s, int request)
{
	struct answer_facts f = {
	    .id = a->id == 0	       ? ANSWER_ID_NONE
		: a->id == request + 1 ? ANSWER_ID_OWN
				       : ANSWER_ID_OTHER,
	    .not_run = a->not_run,
	    .is_stated = a->not_run,
	    .new_conn = !c->used,
	    .resent = c->used && sends_include(s, ADDR, c->port),
	    .has_id = 1,
	};

	return (f);
}

/* Makes one attempt on one of the connections; returns true if the request was
 * refused. */
static int
attempt(struct play *p, int request, struct sends *s)
{
	struct conn *c = &p->conns[choose(p, CONNS)];
	struct answer_facts f;
	struct answer a;

	if (c->port == 0)
		c->port = ++p->last_port;
	serve(p, c, request);
	a = c->due[0];
	memmove(c->due, c->due + 1, sizeof(a) * (size_t)--c->ndue);
	f = facts(p, c, &a, s, request);
	if (!answer_is_own(&f)) {
		memset(c, 0, sizeof(*c));
		return (0);
	}
	c->used = 1;
	sends_add(s, ADDR, c->port);
	p->delivered += !a.not_run;
	p->wrong += a.request != request;
	return (a.not_run);
}

/* Plays one order of answers: each request is sent again while it is refused.
 */
static void
play(struct play *p)
{
	struct sends s;
	int i, n, refused;

	for (i = 0; i < REQUESTS; i++) {
		memset(&s, 0, sizeof(s));
		refused = 1;
		for (n = 0; n < ATTEMPTS_MAX && refused; n++)
			refused = attempt(p, i, &s);
		p->wrong += p->ran[i] > 1 || (refused && p->ran[i] > 0);
	}
}

/* Plays every order; returns how many answers of runs were delivered. */
static long
play_all(void)
{
	struct play p;
	long i, delivered = 0, wrong = 0;

	for (i = 0; i < ORDERS; i++) {
		memset(&p, 0, sizeof(p));
		p.choices = i;
		play(&p);
		delivered += p.delivered;
		wrong += p.wrong > 0;
	}
	CU_ASSERT_EQUAL(wrong, 0);
	return (delivered);
}

/* A second answer is taken for a request's own: it runs twice, is refused
 * though it ran, or gets another's answer. */
static void
every_order(void)
{
	CU_ASSERT_TRUE(play_all() > ORDERS);
}

/* More sends than are remembered count as none. */
static void
many_sends(void)
{
	struct sends s = {0};
	int i;

	for (i = 0; i < SENDS_MAX; i++)
		sends_add(&s, ADDR, i);
	CU_ASSERT_TRUE(sends_include(&s, ADDR, 0));
	CU_ASSERT_FALSE(sends_include(&s, ADDR, SENDS_MAX));
	CU_ASSERT_FALSE(sends_include(&s, ADDR + 1, 0));
	sends_add(&s, ADDR, SENDS_MAX);
	CU_ASSERT_TRUE(sends_include(&s, ADDR, SENDS_MAX));
}

/* A caller is told that its request did not run while an attempt is in flight,
 * after one that was refused. */
static void
in_flight(void)
{
	struct sends s = {0};
	int i;

	CU_ASSERT_FALSE(sends_may_have_run(&s));
	for (i = 0; i < 2 * SENDS_MAX; i++) {
		sends_add(&s, ADDR, i);
		CU_ASSERT_TRUE(sends_may_have_run(&s));
		sends_refused(&s);
		CU_ASSERT_FALSE(sends_may_have_run(&s));
	}
	sends_add(&s, ADDR, 0);
	sends_add(&s, ADDR, 1);
	sends_refused(&s);
	CU_ASSERT_TRUE(sends_may_have_run(&s));
}

/* A run is taken for refused: its answer is signed, says so by its status
 * alone, or bytes without an id came before it on a new connection. */
static void
uncertain_refusals(void)
{
	const struct answer_facts certain = {.id = ANSWER_ID_OWN,
	    .not_run = 1,
	    .is_stated = 1,
	    .new_conn = 1,
	    .has_id = 1};
	struct answer_facts f = certain;

	CU_ASSERT_TRUE(answer_is_own(&f));
	f.is_signed = 1;
	CU_ASSERT_FALSE(answer_is_own(&f));
	f = certain;
	f.is_stated = 0;
	CU_ASSERT_FALSE(answer_is_own(&f));
	f = certain;
	f.id = ANSWER_ID_NONE;
	CU_ASSERT_FALSE(answer_is_own(&f));
	f = certain;
	f.new_conn = 0;
	CU_ASSERT_TRUE(answer_is_own(&f));
	f.resent = 1;
	CU_ASSERT_FALSE(answer_is_own(&f));
}

/* A request without an id gets no answer, though nothing was sent before it on
 * its connection. */
static void
without_id(void)
{
	struct answer_facts f = {.id = ANSWER_ID_NONE, .new_conn = 1};

	f.is_signed = 1;
	CU_ASSERT_TRUE(answer_is_own(&f));
	f.is_signed = 0;
	f.not_run = f.is_stated = 1;
	CU_ASSERT_TRUE(answer_is_own(&f));
	f.new_conn = 0;
	CU_ASSERT_FALSE(answer_is_own(&f));
}

static const struct unit_test tests[] = {{"every order", every_order},
    {"many sends", many_sends}, {"in flight", in_flight},
    {"uncertain refusals", uncertain_refusals}, {"without id", without_id}};

UNIT_MAIN("answers", tests)
