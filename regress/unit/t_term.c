/*
 * Control of a cell in virtual time: a simulated platform that holds one record
 * and can be down or lose an answer, and the rules of one or two hosts.
 */
#include <stdio.h>
#include <string.h>

#include "term.h"
#include "unit.h"
#include "version.h"

#define LEASE MS(700)
#define HOST_LEASE MS(1300)
#define RENEW MS(200)

/* The platform: one record, and injected faults. */
static struct {
	int down;
	int lose_answer;
	uint64_t version;
	struct control_record rec;
} store;

struct node {
	struct term t;
	int gets;
	int puts;
	uint64_t base;
	struct control_record put;
	struct member asked[8];
	int nasked;
};

static void
on_get(void *arg)
{
	((struct node *)arg)->gets++;
}

static void
on_put(void *arg, uint64_t base, const struct control_record *r)
{
	struct node *n = arg;

	n->puts++;
	n->base = base;
	n->put = *r;
}

static void
on_ask(void *arg, const struct member *m, uint64_t term)
{
	struct node *n = arg;

	if (n->nasked < 8)
		n->asked[n->nasked++] = *m;
}

static void
on_event(void *arg, const char *what)
{
}

static const struct term_callbacks out = {on_get, on_put, on_ask, on_event};

/* Initialises the process of a host. */
static void
node_init(struct node *n, const char *host, uint64_t boot)
{
	struct term_conf c = {
	    .lease = LEASE, .host_lease = HOST_LEASE, .renew = RENEW};

	memset(n, 0, sizeof(*n));
	name_copy(c.self.host, sizeof(c.self.host), host);
	c.self.boot = boot;
	term_init(&n->t, &c, &out, n, boot * 77);
}

/* The platform answers the pending calls of a host. */
static void
serve(struct node *n, usec now)
{
	if (n->gets > 0) {
		n->gets--;
		if (store.down)
			term_get_failed(&n->t, now);
		else
			term_get_done(&n->t, now, store.version != 0,
			    store.version, &store.rec);
	}
	if (n->puts > 0) {
		n->puts--;
		if (store.down) {
			term_put_done(&n->t, now, PUT_UNKNOWN, 0);
		} else if (n->base != store.version) {
			term_put_done(&n->t, now, PUT_CONFLICT, store.version);
		} else {
			store.rec = n->put;
			store.version++;
			term_put_done(&n->t, now,
			    store.lose_answer ? PUT_UNKNOWN : PUT_DONE,
			    store.version);
			store.lose_answer = 0;
		}
	}
}

/* Standby b answers the requests of a; they are lost where b is NULL. */
static void
promise(struct node *a, struct node *b, usec now)
{
	enum promise_kind yes;
	int i;

	for (i = 0; i < a->nasked; i++) {
		if (b == NULL || a->asked[i].boot != b->t.conf.self.boot)
			continue;
		yes = term_promise_request(
		    &b->t, now, a->t.rec.term, a->asked[i].boot);
		term_promise_reply(
		    &a->t, now, &b->t.conf.self, a->t.rec.term, yes, now);
	}
	a->nasked = 0;
}

/* Runs both hosts from one time to another, in steps of 10 ms. */
static void
run(struct node *a, struct node *b, usec from, usec to)
{
	usec now;

	for (now = from; now < to; now += MS(10)) {
		if (a != NULL) {
			term_tick(&a->t, now);
			serve(a, now);
		}
		if (b != NULL) {
			term_tick(&b->t, now);
			serve(b, now);
		}
		if (a != NULL && b != NULL) {
			promise(a, b, now);
			promise(b, a, now);
		}
	}
}

/* Host a controls the cell, host b is its standby, at 1 s. */
static void
start(struct node *a, struct node *b)
{
	memset(&store, 0, sizeof(store));
	node_init(a, "a", 1000);
	node_init(b, "b", 2000);
	run(a, NULL, 0, MS(500));
	term_set_standbys(&a->t, &b->t.conf.self, 1);
	run(a, b, MS(500), MS(1000));
	CU_ASSERT_EQUAL(a->t.role, TERM_HOLDER);
	CU_ASSERT_EQUAL(a->t.rec.nstandby, 1);
	CU_ASSERT(term_may_renew(&a->t, MS(1000)));
}

/* The holder ends; its standby takes over once the record has lapsed. */
static void
standby_takes_over(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	for (now = MS(1000); now < MS(3000) && b.t.role != TERM_HOLDER;
	     now += MS(10))
		run(NULL, &b, now, now + MS(10));
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	/* Only after the lease of the ended holder, and soon after. */
	CU_ASSERT(now > a.t.lease_until);
	CU_ASSERT(now < MS(2000));
	CU_ASSERT_EQUAL(b.t.rec.term, a.t.rec.term + 1);
	/* Host leases count as lapsed only after a whole host lease. */
	CU_ASSERT(!term_old_leases_lapsed(&b.t, now + MS(1200)));
	CU_ASSERT(term_old_leases_lapsed(&b.t, now + MS(1400)));
	/* The old holder, if it was only paused, may renew nothing. */
	CU_ASSERT(!term_may_renew(&a.t, now));
}

/*
 * The platform is down for minutes while both hosts are up: control goes on,
 * without a takeover.
 */
static void
outage_changes_nothing(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	store.down = 1;
	for (now = MS(1000); now < MS(181000); now += MS(100)) {
		run(&a, &b, now, now + MS(100));
		if (!term_may_renew(&a.t, now + MS(100)))
			break;
	}
	CU_ASSERT(now >= MS(181000));
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	store.down = 0;
	run(&a, &b, now, now + MS(2000));
	CU_ASSERT_EQUAL(a.t.role, TERM_HOLDER);
	CU_ASSERT(now + MS(1500) < a.t.lease_until);
}

/*
 * The platform is back and the standby reads before the holder can write: the
 * record is old, but the holder must not be taken for stuck.
 */
static void
after_an_outage_promises_go_on(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	store.down = 1;
	run(&a, &b, MS(1000), MS(9000));
	store.down = 0;
	for (now = MS(9000); now < MS(9500); now += MS(10)) {
		term_tick(&b.t, now);
		serve(&b, now);
	}
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	CU_ASSERT(term_promise_request(&b.t, now, a.t.rec.term, 2000));
}

/*
 * The platform is down and the standby does not answer: the holder stops
 * renewing by itself.
 */
static void
no_renewal_without_promise(void)
{
	struct node a, b;

	start(&a, &b);
	store.down = 1;
	run(&a, NULL, MS(1000), MS(1900));
	CU_ASSERT(!term_may_renew(&a.t, MS(1900)));
}

/*
 * A restarted standby does not know what it promised: its new process is
 * another member, and its reply does not count for the old one.
 */
static void
restarted_standby_does_not_count(void)
{
	struct node a, b, b2;

	start(&a, &b);
	node_init(&b2, "b", 2001);
	store.down = 1;
	run(&a, &b2, MS(1000), MS(2000));
	CU_ASSERT(!term_may_renew(&a.t, MS(2000)));
	CU_ASSERT_EQUAL(
	    term_promise_request(&b2.t, MS(2000), a.t.rec.term, 2000), 0);
}

/* A promise counts from when the request was sent, not from its arrival. */
static void
promise_counts_from_request(void)
{
	struct node a, b;

	start(&a, &b);
	a.t.lease_until = 0;
	a.t.npromises = 0;
	term_promise_reply(
	    &a.t, MS(5600), &b.t.conf.self, a.t.rec.term, 1, MS(5000));
	CU_ASSERT(term_may_renew(&a.t, MS(5650)));
	CU_ASSERT(!term_may_renew(&a.t, MS(5700)));
}

/*
 * The outcome of a write that changes the standbys is unknown: promises of the
 * old list are not enough, as the new one may be in force.
 */
static void
pending_change_needs_both_lists(void)
{
	struct node a, b, c;

	start(&a, &b);
	node_init(&c, "c", 3000);
	term_set_standbys(&a.t, &c.t.conf.self, 1);
	store.down = 1;
	run(&a, &b, MS(1000), MS(1900));
	CU_ASSERT(a.t.put_pending);
	CU_ASSERT(!term_may_renew(&a.t, MS(1900)));
	term_promise_reply(
	    &a.t, MS(1900), &c.t.conf.self, a.t.rec.term, 1, MS(1890));
	CU_ASSERT(term_may_renew(&a.t, MS(1900)));
}

/*
 * The takeover write took effect but its answer was lost: the host finds out by
 * reading the record.
 */
static void
lost_answer_is_read_back(void)
{
	struct node a, b;

	start(&a, &b);
	store.lose_answer = 1;
	run(NULL, &b, MS(1000), MS(3000));
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	CU_ASSERT_EQUAL(store.rec.term, b.t.rec.term);
	CU_ASSERT_STRING_EQUAL(store.rec.holder.host, "b");
}

/*
 * A standby whose own takeover write has an unknown outcome makes no promise.
 */
static void
no_promise_during_takeover(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	for (now = MS(1000); b.t.role != TERM_ACQUIRING && now < MS(3000);
	     now += MS(10)) {
		term_tick(&b.t, now);
		if (b.t.role != TERM_ACQUIRING)
			serve(&b, now);
	}
	CU_ASSERT_EQUAL(b.t.role, TERM_ACQUIRING);
	store.down = 1;
	serve(&b, now);
	CU_ASSERT_EQUAL(term_promise_request(&b.t, now, a.t.rec.term, 2000), 0);
}

/* Two hosts take over at once: one write succeeds, the other host follows. */
static void
two_takeovers_one_succeeds(void)
{
	struct node a, b, c;

	start(&a, &b);
	node_init(&c, "c", 3000);
	c.t.known = b.t.known = 1;
	c.t.rec = b.t.rec = store.rec;
	c.t.version = b.t.version = store.version;
	c.t.rec.standby[1] = c.t.conf.self;
	c.t.rec.nstandby = 2;
	c.t.first_seen = b.t.first_seen = MS(1000);
	c.t.last_seen = b.t.last_seen = MS(4000);
	b.t.promised_until = 0;
	term_tick(&b.t, MS(4000));
	term_tick(&c.t, MS(4000));
	serve(&b, MS(4001));
	run(&c, &b, MS(4001), MS(5000));
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	CU_ASSERT_EQUAL(c.t.role, TERM_FOLLOWER);
}

/*
 * The holder and its standbys are cut off together with the targets; a host
 * that is not listed reaches the platform and takes control. It must not count
 * leases as lapsed by time alone: the old holder still renews by promises.
 */
static void
unlisted_waits_for_withdrawal(void)
{
	struct node a, b, c;

	start(&a, &b);
	node_init(&c, "c", 3000);
	c.t.no_controller = 1;
	run(NULL, &c, MS(1000), MS(6000));
	CU_ASSERT_EQUAL(c.t.role, TERM_HOLDER);
	CU_ASSERT(!term_old_leases_lapsed(&c.t, MS(60000)));
	/* A reply of a process that is no standby changes nothing. */
	term_promise_reply(&c.t, MS(6000), &a.t.conf.self, c.t.rec.term, 0, 0);
	CU_ASSERT(!term_old_leases_lapsed(&c.t, MS(60000)));
	term_promise_reply(&c.t, MS(6000), &b.t.conf.self, c.t.rec.term, 0, 0);
	CU_ASSERT(!term_old_leases_lapsed(&c.t, MS(6000) + LEASE + HOST_LEASE));
	CU_ASSERT(term_old_leases_lapsed(&c.t, MS(6050) + LEASE + HOST_LEASE));
	/* The standby has withdrawn: no promise under the old term. */
	CU_ASSERT(term_promise_request(&b.t, MS(6000), c.t.rec.term, 2000));
	CU_ASSERT_EQUAL(
	    term_promise_request(&b.t, MS(6100), a.t.rec.term, 2000), 0);
}

/*
 * Only the holder is cut off from the platform: the standby stops promising and
 * takes over.
 */
static void
holder_cut_off_alone(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	for (now = MS(1000); now < MS(9000) && b.t.role != TERM_HOLDER;
	     now += MS(10)) {
		term_tick(&a.t, now);
		if (a.gets > 0) {
			a.gets = 0;
			term_get_failed(&a.t, now);
		}
		if (a.puts > 0) {
			a.puts = 0;
			term_put_done(&a.t, now, PUT_UNKNOWN, 0);
		}
		term_tick(&b.t, now);
		serve(&b, now);
		promise(&a, &b, now);
	}
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	CU_ASSERT(!term_may_renew(&a.t, now));
}

/*
 * A planned stop releases control; the standby takes over without waiting for
 * the lease to lapse.
 */
static void
resigning_releases_control(void)
{
	struct node a, b;
	usec now;

	start(&a, &b);
	term_resign(&a.t, MS(1000));
	for (now = MS(1000); now < MS(3000) && b.t.role != TERM_HOLDER;
	     now += MS(10))
		run(&a, &b, now, now + MS(10));
	CU_ASSERT_EQUAL(a.t.role, TERM_FOLLOWER);
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	CU_ASSERT(now < MS(1500));
	CU_ASSERT_EQUAL(term_promise_request(&a.t, now, b.t.rec.term, 1000), 0);
}

/* Two hosts whose holder announces the record's version. */
static void
start_announcing(struct node *a, struct node *b)
{
	start(a, b);
	a->t.conf.version_announced = 1;
	b->t.conf.version_announced = 1;
}

/*
 * A standby that hears its controller does not read the record, as reads of all
 * standbys are most of the calls of an idle fleet. Once it hears nothing it
 * takes over as soon as if it had read all the time: the last announcement
 * shows until when the version was current.
 */
static void
announcements_replace_reads(void)
{
	struct node a, b;
	usec now, lost;
	int gets = 0;

	start_announcing(&a, &b);
	for (now = MS(1000); now < MS(6000); now += MS(10)) {
		term_version_announced(&b.t, now, a.t.version);
		run(&a, NULL, now, now + MS(10));
		term_tick(&b.t, now);
		gets += b.gets;
		serve(&b, now);
	}
	CU_ASSERT(gets <= 1);
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	lost = now;
	for (; now < lost + MS(4000) && b.t.role != TERM_HOLDER;
	     now += MS(10)) {
		b.t.no_controller = now - lost > MS(400);
		term_tick(&b.t, now);
		serve(&b, now);
	}
	CU_ASSERT_EQUAL(b.t.role, TERM_HOLDER);
	CU_ASSERT(now - lost < LEASE + MS(300));
	/* Only once the old holder can no longer renew. */
	CU_ASSERT(!term_may_renew(&a.t, now));
}

/*
 * All hosts restart at once. The record names a holder and standbys of which
 * none is left to withdraw, so keys would have no owner for ever. The new
 * process at the holder's address proves that the holder has ended, and takes
 * over at once.
 */
static void
restarted_holder_takes_over_at_once(void)
{
	struct node a, b, a2;
	usec now;

	start_announcing(&a, &b);
	name_copy(a.t.conf.self.addr, sizeof(a.t.conf.self.addr), "10.0.0.1:1");
	a.t.put_pending = 0;
	store.rec.holder = a.t.conf.self;
	node_init(&a2, "a", 5000);
	name_copy(
	    a2.t.conf.self.addr, sizeof(a2.t.conf.self.addr), "10.0.0.1:1");
	a2.t.conf.version_announced = 1;
	for (now = MS(2000); now < MS(2300); now += MS(10)) {
		term_tick(&a2.t, now);
		serve(&a2, now);
	}
	CU_ASSERT_EQUAL(a2.t.role, TERM_HOLDER);
	CU_ASSERT(term_old_leases_lapsed(&a2.t, now + HOST_LEASE + MS(100)));
}

/*
 * A holder that is cut off from the store hears of another that took over. It
 * stops at once: its state is old, while its promises last longer.
 */
static void
later_term_ends_control(void)
{
	struct node a, b;

	start(&a, &b);
	store.down = 1;
	run(&a, &b, MS(1000), MS(3000));
	CU_ASSERT(term_may_renew(&a.t, MS(3000)));
	term_superseded(&a.t, MS(3000), a.t.rec.term);
	CU_ASSERT(term_may_renew(&a.t, MS(3000)));
	term_superseded(&a.t, MS(3000), a.t.rec.term + 1);
	CU_ASSERT(!term_may_renew(&a.t, MS(3000)));
	CU_ASSERT_EQUAL(a.t.role, TERM_FOLLOWER);
}

/*
 * Host a controls the cell, b is its standby; the store goes down and b shuts
 * down.
 */
static void
start_shutdown(struct node *a, struct node *b)
{
	start(a, b);
	a->t.conf.final_promise = b->t.conf.final_promise = MS(12000);
	store.down = 1;
	run(a, b, MS(1000), MS(2000));
	term_leave(&b->t, MS(2000));
	run(a, b, MS(2000), MS(4000));
}

/* The store is back for host c, which is not listed and takes control. */
static void
unlisted_takes_control(struct node *c)
{
	node_init(c, "c", 3000);
	c->t.conf.final_promise = MS(12000);
	c->t.no_controller = 1;
	store.down = 0;
	run(NULL, c, MS(4000), MS(9000));
}

/*
 * The store is away, and a standby shuts down. If its promise ended with it,
 * the holder would let all keys lapse though nobody could take control. As the
 * standby never takes control again, its final promise outlives it.
 */
static void
final_promise_outlives_standby(void)
{
	struct node a, b;

	start_shutdown(&a, &b);
	run(&a, NULL, MS(4000), MS(15000));
	CU_ASSERT(term_may_renew(&a.t, MS(15000)));
	run(&a, NULL, MS(15000), MS(17000));
	CU_ASSERT(!term_may_renew(&a.t, MS(17000)));
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
}

/*
 * The same, and the store is back for a host that is not listed, but not for
 * the holder, which relies on the final promise. The standby's new process
 * proves that the old one has ended, but not what it promised last: the new
 * holder waits until that promise is over.
 */
static void
final_promise_is_waited_for(void)
{
	struct node a, b, c;
	struct member b2;
	usec now;

	start_shutdown(&a, &b);
	name_copy(store.rec.standby[0].addr, sizeof(b2.addr), "10.0.0.2:1");
	unlisted_takes_control(&c);
	CU_ASSERT_EQUAL(c.t.role, TERM_HOLDER);
	b2 = b.t.conf.self;
	b2.boot = 2001;
	name_copy(b2.addr, sizeof(b2.addr), "10.0.0.2:1");
	term_process_seen(&c.t, MS(9000), &b2);
	for (now = MS(4000); now < MS(30000); now += MS(10)) {
		term_tick(&a.t, now);
		a.gets = a.puts = a.nasked = 0;
		CU_ASSERT(!term_may_renew(&a.t, now) ||
		    !term_old_leases_lapsed(&c.t, now));
	}
	CU_ASSERT(term_old_leases_lapsed(&c.t, MS(30000)));
	/* Its reply to the new holder is no withdrawal either. */
	start_shutdown(&a, &b);
	unlisted_takes_control(&c);
	term_promise_reply(&c.t, MS(9000), &b.t.conf.self, c.t.rec.term,
	    term_promise_request(&b.t, MS(9000), c.t.rec.term, 2000), MS(9000));
	CU_ASSERT(!term_old_leases_lapsed(&c.t, MS(9000) + MS(12000)));
}

/*
 * The new holder does not wait for an earlier one that reports that it follows
 * it.
 */
static void
earlier_holder_follows(void)
{
	struct node a, b, c;
	struct member other;

	start_shutdown(&a, &b);
	unlisted_takes_control(&c);
	CU_ASSERT_EQUAL(c.t.role, TERM_HOLDER);
	other = a.t.conf.self;
	other.boot++;
	term_holder_follows(&c.t, MS(9000), &other, c.t.rec.term);
	term_holder_follows(&c.t, MS(9000), &a.t.conf.self, c.t.rec.term - 1);
	CU_ASSERT(
	    !term_old_leases_lapsed(&c.t, MS(9000) + HOST_LEASE + MS(200)));
	term_superseded(&a.t, MS(9000), c.t.rec.term);
	CU_ASSERT(!term_may_renew(&a.t, MS(9000)));
	term_holder_follows(&c.t, MS(9000), &a.t.conf.self, c.t.rec.term);
	CU_ASSERT(!term_old_leases_lapsed(&c.t, MS(9000) + HOST_LEASE));
	CU_ASSERT(
	    term_old_leases_lapsed(&c.t, MS(9000) + HOST_LEASE + MS(200)));
	/* A repeated report postpones nothing. */
	term_holder_follows(&c.t, MS(10000), &a.t.conf.self, c.t.rec.term);
	CU_ASSERT(
	    term_old_leases_lapsed(&c.t, MS(9000) + HOST_LEASE + MS(200)));
}

/* A process of the same host name at another address proves nothing. */
static void
same_name_elsewhere_proves_nothing(void)
{
	struct node a, b, a2;
	usec now;

	start_announcing(&a, &b);
	store.rec.holder = a.t.conf.self;
	name_copy(
	    store.rec.holder.addr, sizeof(store.rec.holder.addr), "10.0.0.1:1");
	node_init(&a2, "a", 5000);
	name_copy(
	    a2.t.conf.self.addr, sizeof(a2.t.conf.self.addr), "10.0.0.9:1");
	a2.t.conf.version_announced = 1;
	for (now = MS(2000); now < MS(2000) + LEASE; now += MS(10)) {
		term_tick(&a2.t, now);
		serve(&a2, now);
	}
	CU_ASSERT_EQUAL(a2.t.role, TERM_FOLLOWER);
}

/*
 * A whole fleet starts for the first time. Each host finds no record; if all
 * read again at the same interval, all write it at once, the store refuses what
 * exceeds its rate, and the host whose write succeeded learns of it late.
 */
static void
first_start_of_many(void)
{
	static struct node n[76];
	int i, puts = 0, gets = 0, holders = 0;
	usec now;

	memset(&store, 0, sizeof(store));
	for (i = 0; i < 76; i++) {
		char name[16];

		snprintf(name, sizeof(name), "h%d", i);
		node_init(&n[i], name, 1000003u * 7919u * (unsigned)(i + 1));
		n[i].t.conf.version_announced = 1;
	}
	/*
	 * All hosts send, then the store answers all, a few milliseconds later.
	 */
	for (now = MS(1000); now < MS(1000) + RENEW + MS(400); now += MS(3)) {
		for (i = 0; i < 76; i++) {
			term_tick(&n[i].t, now);
			puts += n[i].puts;
			gets += n[i].gets;
		}
		for (i = 0; i < 76; i++)
			serve(&n[i], now);
	}
	for (i = 0; i < 76; i++)
		holders += n[i].t.role == TERM_HOLDER;
	CU_ASSERT_EQUAL(holders, 1);
	CU_ASSERT(puts <= 10);
	CU_ASSERT(gets <= 2 * 76 + 20);
}

/* The store states its first era, and the holder writes it. */
static void
start_in_era(struct node *a, struct node *b)
{
	start(a, b);
	term_store_era(&a->t, MS(1000), 1);
	term_store_era(&b->t, MS(1000), 1);
	run(a, b, MS(1000), MS(2000));
	CU_ASSERT_EQUAL(store.rec.era, 1);
}

/* The store goes back to an earlier record. */
static void
restore(const struct control_record *r, uint64_t version)
{
	store.rec = *r;
	store.version = version_make(2, version);
}

/* Guards against a holder that gives up control because the store has lost its
 * record and its lease. */
static void
holder_goes_on_after_restore(void)
{
	struct node a, b;
	struct control_record copy;
	uint64_t version;
	usec now;

	start_in_era(&a, &b);
	copy = store.rec;
	version = store.version;
	run(&a, &b, MS(2000), MS(4000));
	restore(&copy, version);
	term_store_era(&a.t, MS(4000), 2);
	term_store_era(&b.t, MS(4000), 2);
	for (now = MS(4000); now < MS(9000); now += MS(100)) {
		run(&a, &b, now, now + MS(100));
		CU_ASSERT(term_may_renew(&a.t, now + MS(100)));
	}
	CU_ASSERT_EQUAL(a.t.role, TERM_HOLDER);
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	CU_ASSERT_EQUAL(store.rec.era, 2);
	CU_ASSERT_EQUAL(store.rec.holder.boot, 1000);
}

/*
 * Guards against taking control at once from a record from before the store
 * came back from an old copy: here it names the host's own earlier process, but
 * another has controlled since.
 */
static void
stale_record_is_not_taken_at_once(void)
{
	struct node a, b, a2;
	usec now;

	start_in_era(&a, &b);
	name_copy(a.t.conf.self.addr, sizeof(a.t.conf.self.addr), "10.0.0.1:1");
	a.t.put_pending = 0;
	store.rec.holder = a.t.conf.self;
	restore(&store.rec, store.version);
	node_init(&a2, "a", 5000);
	name_copy(
	    a2.t.conf.self.addr, sizeof(a2.t.conf.self.addr), "10.0.0.1:1");
	a2.t.conf.version_announced = 1;
	term_store_era(&a2.t, MS(2000), 2);
	term_heard(&a2.t, 7);
	/* The holder is heard, and cannot write. */
	for (now = MS(2000); now < MS(4000); now += MS(10)) {
		term_holder_late(&a2.t, now);
		run(NULL, &a2, now, now + MS(10));
	}
	CU_ASSERT_EQUAL(a2.t.role, TERM_FOLLOWER);
	CU_ASSERT(a2.t.stale && now - a2.t.first_seen > 2 * LEASE);
	node_init(&a2, "a", 5000);
	name_copy(
	    a2.t.conf.self.addr, sizeof(a2.t.conf.self.addr), "10.0.0.1:1");
	term_store_era(&a2.t, MS(4000), 2);
	term_heard(&a2.t, 7);
	/* No holder is heard. */
	a2.t.no_controller = 1;
	for (now = MS(4000); now < MS(9000) && a2.t.role != TERM_HOLDER;
	     now += MS(10))
		run(NULL, &a2, now, now + MS(10));
	CU_ASSERT_EQUAL(a2.t.role, TERM_HOLDER);
	CU_ASSERT(now > MS(4000) + LEASE);
	/* Above each term that the store may have lost. */
	CU_ASSERT(a2.t.rec.term > 100);
	CU_ASSERT(!term_old_leases_lapsed(&a2.t, now + RENEW / 2 + HOST_LEASE));
	CU_ASSERT(
	    term_old_leases_lapsed(&a2.t, now + RENEW + HOST_LEASE + MS(50)));
}

/* Guards against a holder that writes over the record of another that has taken
 * control since the store came back from an old copy. */
static void
superseded_after_restore(void)
{
	struct node a, b;
	struct control_record other;

	start_in_era(&a, &b);
	other = store.rec;
	other.term += 1000;
	other.era = 2;
	other.holder = b.t.conf.self;
	restore(&other, store.version);
	term_store_era(&a.t, MS(2000), 2);
	run(&a, NULL, MS(2000), MS(2300));
	CU_ASSERT_EQUAL(a.t.role, TERM_FOLLOWER);
	CU_ASSERT_EQUAL(store.rec.holder.boot, 2000);
}

/* Guards against a host that was taking control and takes the write of before
 * for done, or its refusal for another's. */
static void
takeover_ends_with_restore(void)
{
	struct node a, b;
	usec now;

	start_in_era(&a, &b);
	for (now = MS(2000); now < MS(9000) && b.t.role != TERM_ACQUIRING;
	     now += MS(10)) {
		serve(&b, now);
		term_tick(&b.t, now);
	}
	CU_ASSERT_EQUAL(b.t.role, TERM_ACQUIRING);
	term_store_era(&b.t, now, 2);
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	term_put_done(&b.t, now, PUT_DONE, 99);
	CU_ASSERT_EQUAL(b.t.role, TERM_FOLLOWER);
	CU_ASSERT(!b.t.known);
}

/* Guards against a promise to a holder whose successor was heard. */
static void
no_promise_after_hearing_a_later_term(void)
{
	struct node a, b;

	start(&a, &b);
	CU_ASSERT(term_promise_request(&b.t, MS(1000), a.t.rec.term, 2000));
	term_heard(&b.t, a.t.rec.term + 1);
	CU_ASSERT_EQUAL(
	    term_promise_request(&b.t, MS(1100), a.t.rec.term, 2000),
	    PROMISE_NONE);
}

static const struct unit_test tests[] = {
    {"first start of many", first_start_of_many},
    {"standby takes over", standby_takes_over},
    {"outage changes nothing", outage_changes_nothing},
    {"after an outage promises go on", after_an_outage_promises_go_on},
    {"no renewal without platform and promise", no_renewal_without_promise},
    {"restarted standby does not count", restarted_standby_does_not_count},
    {"promise counts from its request", promise_counts_from_request},
    {"pending change needs both lists", pending_change_needs_both_lists},
    {"lost answer is read back", lost_answer_is_read_back},
    {"no promise during own takeover", no_promise_during_takeover},
    {"two takeovers, one succeeds", two_takeovers_one_succeeds},
    {"unlisted host waits for withdrawal", unlisted_waits_for_withdrawal},
    {"holder cut off alone", holder_cut_off_alone},
    {"resigning releases control", resigning_releases_control},
    {"standby reads only without announcements", announcements_replace_reads},
    {"restarted holder takes over at once",
	restarted_holder_takes_over_at_once},
    {"later term ends control", later_term_ends_control},
    {"final promise outlives its standby", final_promise_outlives_standby},
    {"new holder waits for final promise", final_promise_is_waited_for},
    {"earlier holder follows", earlier_holder_follows},
    {"holder goes on after a restore", holder_goes_on_after_restore},
    {"stale record is not taken at once", stale_record_is_not_taken_at_once},
    {"superseded after a restore", superseded_after_restore},
    {"takeover ends with a restore", takeover_ends_with_restore},
    {"no promise after hearing a later term",
	no_promise_after_hearing_a_later_term},
    {"same host at another address", same_name_elsewhere_proves_nothing},
};
UNIT_MAIN("term", tests)
