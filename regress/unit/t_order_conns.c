/*
 * Whose answer came to an order: targets answer some a second time, echo ids or
 * do not, and name tokens that differ or do not.
 */
#include <string.h>

#include "order_conns.h"
#include "unit.h"

#define ORDERS 5
#define QUEUE_MAX 16
#define ADDR 7
#define CONNS_FOREIGN 70
#define MANY_RELEASES 200

struct answer {
	int order; /* that it answers */
	uint64_t token;
};

/* How a target answers. */
struct habit {
	int echoes;	   /* ids of orders */
	int tokens_differ; /* those of two releases */
	int no_tokens;
};

/* One connection after the other to a target; a new one is opened where an
 * answer was not the order's own. */
struct play {
	struct order_conns conns;
	const struct habit *habit;
	int port;
	int used; /* something was sent on the connection */
	struct answer due[QUEUE_MAX];
	int ndue;
	struct answer sent[ORDERS]; /* on the connection, without copies */
	int nsent;
	int own;
	int wrong; /* releases taken for answered by other orders' answers */
};

/* Opens another connection. */
static void
reconnect(struct play *p)
{
	p->port++;
	p->used = p->ndue = p->nsent = 0;
}

/* The target answers an order, after it may have sent one of its earlier
 * answers on the connection again: the one so many before the last. */
static void
serve(struct play *p, int order, int release, int again)
{
	struct answer own = {order, 0};

	if (release && !p->habit->no_tokens)
		own.token = p->habit->tokens_differ ? 100 + (uint64_t)order : 1;
	if (again > 0 && again <= p->nsent)
		p->due[p->ndue++] = p->sent[p->nsent - again];
	p->due[p->ndue++] = own;
	p->sent[p->nsent++] = own;
}

/* Sends an order and reads what comes; returns true if that was its own. */
static int
order(struct play *p, int number, int release, int again)
{
	struct order_answer a;
	struct answer got;

	serve(p, number, release, again);
	got = p->due[0];
	memmove(p->due, p->due + 1, sizeof(got) * (size_t)--p->ndue);
	memset(&a, 0, sizeof(a));
	a.addr = ADDR;
	a.port = p->port;
	a.new_conn = !p->used;
	a.id = !p->habit->echoes  ? ANSWER_ID_NONE
	    : got.order == number ? ANSWER_ID_OWN
				  : ANSWER_ID_OTHER;
	a.release = release;
	a.token = got.token;
	p->used = 1;
	if (!order_answer_is_own(&p->conns, &a)) {
		reconnect(p);
		return (0);
	}
	p->own++;
	p->wrong += release && got.order != number;
	return (1);
}

/* Plays one order of grants and releases, and of what is answered again; a
 * release is sent again until it is answered. */
static void
play(struct play *p, long choices)
{
	int i, n, release, again;

	for (i = 0; i < ORDERS; i++) {
		release = (int)(choices % 2);
		again = (int)(choices / 2 % 4);
		choices /= 8;
		if (order(p, i, release, again) || !release)
			continue;
		for (n = 0; n < 2 && !order(p, i, release, 0); n++)
			;
		CU_ASSERT_TRUE(n < 2);
	}
	order_conns_free(&p->conns);
}

/* Keys are taken for released by the second answer to another order, or a
 * release is never taken for answered. */
static void
every_order(void)
{
	static const struct habit habits[] = {
	    {1, 1, 0}, {1, 0, 0}, {1, 0, 1}, {0, 1, 0}, {0, 0, 0}, {0, 0, 1}};
	struct play p;
	size_t h;
	long i, own;
	int wrong;

	for (h = 0; h < sizeof(habits) / sizeof(habits[0]); h++) {
		own = wrong = 0;
		for (i = 0; i < 8 * 8 * 8 * 8 * 8; i++) {
			memset(&p, 0, sizeof(p));
			p.habit = &habits[h];
			p.port = 1;
			play(&p, i);
			own += p.own;
			wrong += p.wrong;
		}
		CU_ASSERT_EQUAL(wrong, 0);
		CU_ASSERT_TRUE(own >= i);
	}
}

/* Answers a release on a kept connection with a token. */
static int
released(struct order_conns *l, uint64_t addr, int port, uint64_t token)
{
	struct order_answer a = {
	    .addr = addr, .port = port, .release = 1, .token = token};

	return (order_answer_is_own(l, &a));
}

/* Opens a connection by a grant. */
static void
granted(struct order_conns *l, uint64_t addr, int port)
{
	struct order_answer a = {.addr = addr, .port = port, .new_conn = 1};

	CU_ASSERT_TRUE(order_answer_is_own(l, &a));
}

/* What came on one connection is taken to have come on another, or the release
 * on a connection waits for those on others. */
static void
several_conns(void)
{
	struct order_conns l = {0};
	int i;

	granted(&l, ADDR, 1);
	granted(&l, ADDR, 2);
	for (i = 0; i < CONNS_FOREIGN; i++)
		granted(&l, ADDR + 1 + (uint64_t)i, 1);
	CU_ASSERT_TRUE(released(&l, ADDR, 1, 5));
	CU_ASSERT_FALSE(released(&l, ADDR, 1, 5));
	CU_ASSERT_TRUE(released(&l, ADDR, 2, 5));
	CU_ASSERT_TRUE(released(&l, ADDR + CONNS_FOREIGN, 1, 5));
	/* Another connection from the same port. */
	granted(&l, ADDR, 1);
	CU_ASSERT_TRUE(released(&l, ADDR, 1, 5));
	order_conns_free(&l);
}

/* Releases that are many on one connection are taken for not answered. */
static void
many_releases(void)
{
	struct order_conns l = {0};
	int i;

	granted(&l, ADDR, 1);
	for (i = 0; i < MANY_RELEASES; i++)
		CU_ASSERT_TRUE(released(&l, ADDR, 1, 1 + (uint64_t)i));
	for (i = 0; i < MANY_RELEASES; i++)
		CU_ASSERT_FALSE(released(&l, ADDR, 1, 1 + (uint64_t)i));
	order_conns_free(&l);
}

/* What is no longer remembered is taken for certain. */
static void
forgotten(void)
{
	struct order_conns l = {0};
	int i;

	CU_ASSERT_FALSE(released(&l, ADDR, 1, 5));
	granted(&l, ADDR, 1);
	for (i = 0; i < ORDER_TOKENS_MAX; i++)
		CU_ASSERT_TRUE(released(&l, ADDR, 1, 10 + (uint64_t)i));
	CU_ASSERT_TRUE(released(&l, ADDR, 1, 5));
	CU_ASSERT_FALSE(released(&l, ADDR, 1, 6));
	granted(&l, ADDR, 2);
	for (i = 0; i < ORDER_CONNS_MAX; i++)
		granted(&l, 1000 + (uint64_t)i, 1);
	CU_ASSERT_FALSE(released(&l, ADDR, 2, 5));
	order_conns_free(&l);
}

static const struct unit_test tests[] = {{"every order", every_order},
    {"several connections", several_conns}, {"many releases", many_releases},
    {"forgotten", forgotten}};

UNIT_MAIN("order_conns", tests)
