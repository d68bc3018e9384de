/*
 * Simulates the assignment of keys in virtual time, with targets that only know
 * their grants and a store whose replies may be lost, and checks that no two
 * targets ever hold a key at once.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "incarnation.h"
#include "keys.h"
#include "unit.h"
#include "version.h"

#define STEP MS(5)
#define TARGETS 8
#define SAMPLES 96 /* keys that are checked */
#define MESSAGES_MAX 4096
#define SLOW_CLOCK 1.0204 /* hold time by a clock that runs 2% slow */

/* A simulated target, one for each incarnation. */
struct fake {
	char id[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	int up;
	int listed;
	int leaving;
	uint64_t fence_seen[SAMPLES];
	usec held_until[SAMPLES];
};

enum message_kind {
	MESSAGE_ORDER,
	MESSAGE_ORDER_REPLY,
	MESSAGE_PUT,
	MESSAGE_PUT_REPLY,
	MESSAGE_GET
};

/* A message or reply in transit. */
struct message {
	enum message_kind kind;
	usec due;
	usec arrival; /* of an order: its hold time counts from here */
	int controller;
	struct key_order order;
	int receiver; /* index of the target that has received it, or -1 */
	int status;
	uint64_t base;
	uint64_t version;
	uint64_t write;
	char *text;
};

static struct keys ctl[2];
static int active_ctl; /* index of the controller in control, or -1 */
static struct fake fakes[TARGETS * 8];
static int nfakes;
static struct message messages[MESSAGES_MAX];
static int nmessages;
static char *stored;
static uint64_t stored_version;
static usec now;
static uint64_t seed;
static double loss; /* share of orders and replies that are lost or late */
/* Index of a target that cannot be connected to, or -1. */
static int unreachable_target = -1;
/* Share of grants that open a connection and wait there. */
static double read_late_share;
static int store_down;
static uint64_t top_fence[SAMPLES];
static usec unheld_since[SAMPLES];
static usec longest_unheld;
static int double_held, fence_violations;
static usec order_delay;       /* delay of an order to its target */
static usec put_reply_delay;   /* delay of the reply to a write */
static uint64_t stored_fence;  /* the highest fence in the store */
static int unstored_grants;    /* grants sent with a higher fence */
static int misdirected_orders; /* orders sent to another target's address */
static struct evacuations evacuations; /* of data centres "dc0" and "dc1" */
static usec cold_until[2];	       /* of the targets of each */

/* Returns a random number from 0 to 1. */
static double
chance(void)
{
	seed = seed * 6364136223846793005u + 1442695040888963407u;
	return ((double)(seed >> 11) / (double)(1ull << 53));
}

/* Returns the n-th key to check: half are close to each other, half spread. */
static uint32_t
sample(int n)
{
	return (n < SAMPLES / 2 ? 30000 + (uint32_t)n * 2
				: (uint32_t)(n - SAMPLES / 2) * 1365);
}

/* Puts a message in transit. */
static struct message *
send_message(enum message_kind kind, usec delay)
{
	struct message *m = &messages[nmessages++];

	if (nmessages == MESSAGES_MAX)
		abort();
	memset(m, 0, sizeof(*m));
	m->kind = kind;
	m->receiver = -1;
	m->due = now + delay;
	return (m);
}

static int
controller_of(const void *arg)
{
	return (arg == &ctl[0] ? 0 : 1);
}

static void
on_get(void *arg, const char *service)
{
	send_message(MESSAGE_GET, MS(4))->controller = controller_of(arg);
}

static void
on_put(void *arg, const char *service, uint64_t base, const char *json)
{
	struct message *m = send_message(MESSAGE_PUT, MS(4));

	m->controller = controller_of(arg);
	m->base = base;
	m->write = keys_write_id(arg);
	m->text = strdup(json);
	if (chance() < loss) /* it arrives seconds later, without a reply */
		m->due = now + (usec)(chance() * (double)MS(6000));
	/* The sender gives up after this time without a reply. */
	m = send_message(MESSAGE_PUT_REPLY, MS(1500));
	m->controller = controller_of(arg);
	m->status = 503;
	m->write = keys_write_id(arg);
}

/* True if the address that an order goes to is another target's. */
static int
is_reused_addr(const struct key_order *o)
{
	int i;

	for (i = 0; i < nfakes; i++) {
		if (fakes[i].up && strcmp(fakes[i].addr, o->addr) == 0 &&
		    !incarnation_same_target(fakes[i].id, o->target))
			return (1);
	}
	return (0);
}

static void
on_order(void *arg, const char *service, const struct key_order *o)
{
	struct message *m = send_message(MESSAGE_ORDER, order_delay);

	unstored_grants += !o->release && o->fence > stored_fence;
	misdirected_orders += is_reused_addr(o);
	m->controller = controller_of(arg);
	m->order = *o;
	m->arrival = m->due;
}

static void
on_event(void *arg, const char *service, const char *what)
{
}

/* Returns the incarnation of an order's target at its address, or NULL. */
static struct fake *
fake_at(const struct key_order *o)
{
	int i;

	for (i = 0; i < nfakes; i++) {
		if (fakes[i].up && strcmp(fakes[i].addr, o->addr) == 0 &&
		    incarnation_same_target(fakes[i].id, o->target))
			return (&fakes[i]);
	}
	return (NULL);
}

/* True if a target has had a key under a fence with which another target must
 * not get it under this one.  A target that restarted may get the same grant
 * again. */
static int
fence_conflicts(
    const struct fake *had, const struct fake *takes, int i, uint64_t fence)
{
	if (incarnation_same_target(had->id, takes->id))
		return (had->fence_seen[i] > fence);
	return (had->fence_seen[i] >= fence);
}

/* Handles a grant at a target; returns the HTTP status. */
static int
handle_grant(struct fake *f, const struct message *m)
{
	const struct key_order *o = &m->order;
	usec until = m->arrival + (usec)(MS(o->hold_ms) * SLOW_CLOCK);
	int i, t;

	for (i = 0; i < SAMPLES; i++) {
		if (sample(i) >= o->from && sample(i) <= o->to &&
		    f->fence_seen[i] > o->fence)
			return (409);
	}
	for (i = 0; i < SAMPLES; i++) {
		if (sample(i) < o->from || sample(i) > o->to)
			continue;
		/* The fence must exceed those under which others had the key,
		 * unless the grant has already lapsed and gives no key. */
		for (t = 0; t < nfakes && until > now; t++) {
			if (&fakes[t] != f &&
			    fence_conflicts(&fakes[t], f, i, o->fence))
				fence_violations++;
		}
		f->fence_seen[i] = o->fence;
		if (f->held_until[i] < until)
			f->held_until[i] = until;
	}
	return (200);
}

/* Handles a release at a target. */
static void
handle_release(struct fake *f, const struct key_order *o)
{
	int i;

	for (i = 0; i < SAMPLES; i++) {
		if (sample(i) >= o->from && sample(i) <= o->to)
			f->held_until[i] = 0;
	}
}

/* Returns the target that carries out an order, or NULL: the incarnation that
 * has received it, if still up, or else the one at its address now. */
static struct fake *
order_receiver(const struct message *m)
{
	if (m->receiver < 0)
		return (fake_at(&m->order));
	return (fakes[m->receiver].up ? &fakes[m->receiver] : NULL);
}

/* Delivers an order, or carries out one that was delayed, without a reply. */
static void
deliver_order(struct message *m)
{
	struct fake *f = order_receiver(m);
	struct message copy = *m, *a;
	int status = 200;

	if (f == NULL)
		return;
	if (m->due == m->arrival && chance() < loss) {
		copy.due = now + MS(2000) + (usec)(chance() * MS(10000));
		copy.receiver = (int)(f - fakes);
		messages[nmessages++] = copy;
		return;
	}
	if (m->order.release)
		handle_release(f, &m->order);
	else
		status = handle_grant(f, m);
	if (m->due != m->arrival || chance() < loss / 2)
		return;
	a = send_message(MESSAGE_ORDER_REPLY,
	    m->order.release ? MS(1) + (usec)(chance() * MS(250)) : MS(1));
	a->controller = copy.controller;
	a->order = copy.order;
	a->status = status;
}

/* Returns the highest fence that a stored object accounts for. */
static uint64_t
top_fence_in(const char *text)
{
	json_t *o = json_loads(text, 0, NULL);
	uint64_t top =
	    (uint64_t)json_integer_value(json_object_get(o, "fence"));

	json_decref(o);
	return (top);
}

/* Carries out a write to the store and sends the reply. */
static void
deliver_put(struct message *m)
{
	struct message *a;
	char *text = m->text;
	int c = m->controller, ok = stored_version == m->base && !store_down;
	uint64_t version, write = m->write;

	if (ok) {
		free(stored);
		stored = text;
		stored_version++;
		stored_fence = top_fence_in(text);
	} else
		free(text);
	version = stored_version;
	if (chance() < loss)
		return;
	a = send_message(MESSAGE_PUT_REPLY, put_reply_delay);
	a->controller = c;
	a->status = store_down ? 503 : ok ? 200 : 409;
	a->version = version;
	a->write = write;
}

/* Delivers a message to its receiver. */
static void
deliver(struct message *m)
{
	struct keys *k = &ctl[m->controller];

	switch (m->kind) {
	case MESSAGE_ORDER:
		deliver_order(m);
		break;
	case MESSAGE_ORDER_REPLY:
		keys_order_done(k, now, m->order.id, m->status, "token");
		break;
	case MESSAGE_PUT:
		deliver_put(m);
		break;
	case MESSAGE_PUT_REPLY:
		keys_put_done(k, now, m->write,
		    m->status == 200	   ? PUT_DONE
			: m->status == 409 ? PUT_CONFLICT
					   : PUT_UNKNOWN,
		    m->version);
		break;
	case MESSAGE_GET:
		if (store_down)
			keys_get_failed(k, now);
		else
			keys_get_done(k, now, stored != NULL, stored_version,
			    stored, stored == NULL ? 0 : strlen(stored));
		break;
	}
}

/* An order that is given up at some time, as the HTTP client does. */
struct open_call {
	int controller;
	uint64_t id;
	int status;
	usec until;
};
static int refused[128];
static struct open_call calls[MESSAGES_MAX];
static int ncalls;

/* Delays a grant on a new connection until the target has a slot to read it,
 * even if its sender gives up; its hold time counts from then. */
static void
delay_read(struct message *m, struct open_call *call)
{
	struct fake *f = fake_at(&m->order);

	m->receiver = f == NULL ? -1 : (int)(f - fakes);
	m->due = now + (usec)(chance() * (double)MS(1950));
	m->arrival = m->due;
	call->status = ORDER_NO_REPLY_NEW_CONN;
	call->until = now + MS(1500);
}

static void
on_order_with_timeout(void *arg, const char *service, const struct key_order *o)
{
	on_order(arg, service, o);
	calls[ncalls].controller = controller_of(arg);
	calls[ncalls].id = o->id;
	calls[ncalls].status = ORDER_NO_REPLY;
	calls[ncalls].until = now + (o->release ? MS(2500) : MS(500));
	if (!o->release && chance() < read_late_share)
		delay_read(&messages[nmessages - 1], &calls[ncalls]);
	/* The first order to a dead target goes out on a kept connection; for
	 * the next, the connection is refused.  No later incarnation reads
	 * either, as it does not have that connection. */
	if (atoi(o->target + 1) == unreachable_target) {
		nmessages--;
		calls[ncalls].status = ORDER_NOT_SENT;
		calls[ncalls].until = now + MS(300);
	} else if (fake_at(o) == NULL) {
		nmessages--;
		if (refused[atoi(o->target + 1)]++ > 0) {
			calls[ncalls].status = ORDER_NOT_SENT;
			calls[ncalls].until = now + MS(300);
		}
	}
	ncalls++;
}

static const struct keys_callbacks callbacks = {
    on_get, on_put, on_order_with_timeout, on_event};

/* Ends the orders whose time is over. */
static void
expire_calls(void)
{
	struct open_call w;
	int i;

	for (i = 0; i < ncalls; i++) {
		if (now < calls[i].until)
			continue;
		w = calls[i];
		calls[i--] = calls[--ncalls];
		keys_order_done(&ctl[w.controller], now, w.id, w.status, "");
	}
}

/* Sends a controller the current targets. */
static void
send_fleet(struct keys *k)
{
	struct fleet_target t[TARGETS * 8];
	struct fleet f = {.targets = t};
	int i;

	memset(t, 0, sizeof(t));
	f.evacuations = evacuations;
	for (i = 0; i < nfakes; i++) {
		if (!fakes[i].listed)
			continue;
		name_copy(t[f.ntargets].id, NAME_MAX_GS, fakes[i].id);
		name_copy(t[f.ntargets].addr, FLEET_ADDR, fakes[i].addr);
		t[f.ntargets].service = "s";
		t[f.ntargets].slots = 2;
		t[f.ntargets].leaving = fakes[i].leaving;
		t[f.ntargets].cold_until = cold_until[i % 2];
		t[f.ntargets].dc = i % 2 == 0 ? "dc0" : "dc1";
		f.ntargets++;
	}
	keys_set_fleet(k, &f, now);
}

static void
add_fake(void)
{
	struct fake *f = &fakes[nfakes];

	memset(f, 0, sizeof(*f));
	snprintf(f->id, sizeof(f->id), "t%d", nfakes);
	snprintf(f->addr, sizeof(f->addr), "10.0.0.%d:1", nfakes);
	f->up = 1;
	f->listed = 1;
	nfakes++;
}

/* Restarts a target under its id, at its address or another. */
static struct fake *
restart(int t, int elsewhere)
{
	struct fake *f;
	char id[NAME_MAX_GS];
	int i;

	for (i = 0; i < nfakes; i++) {
		if (!incarnation_same_target(fakes[i].id, fakes[t].id))
			continue;
		fakes[i].up = 0;
		fakes[i].listed = 0;
	}
	name_copy(id, sizeof(id), fakes[t].id);
	id[incarnation_id_length(id)] = '\0';
	add_fake();
	f = &fakes[nfakes - 1];
	incarnation_format(f->id, sizeof(f->id), id, (uint64_t)now);
	if (!elsewhere)
		name_copy(f->addr, sizeof(f->addr), fakes[t].addr);
	return (f);
}

/* Counts keys that two targets hold, and times those that none holds. */
static void
check_holders(void)
{
	int i, t, holders;

	for (i = 0; i < SAMPLES; i++) {
		holders = 0;
		for (t = 0; t < nfakes; t++)
			holders += fakes[t].up && fakes[t].held_until[i] > now;
		double_held += holders > 1;
		if (holders > 0)
			unheld_since[i] = 0;
		else if (unheld_since[i] == 0)
			unheld_since[i] = now;
		else if (now - unheld_since[i] > longest_unheld)
			longest_unheld = now - unheld_since[i];
	}
}

/* Advances virtual time by one step. */
static void
step(void)
{
	struct message m;
	int i;

	now += STEP;
	for (i = 0; i < nmessages; i++) {
		if (messages[i].due > now)
			continue;
		m = messages[i];
		messages[i--] = messages[--nmessages];
		deliver(&m);
	}
	expire_calls();
	if (active_ctl >= 0)
		keys_tick(&ctl[active_ctl], now);
	check_holders();
}

/* Runs the simulation for a time. */
static void
run(usec span)
{
	usec end = now + span;

	while (now < end)
		step();
}

/* Gives control to a controller, or to none if n is -1. */
static void
control(int n)
{
	active_ctl = n;
	if (n < 0)
		return;
	send_fleet(&ctl[n]);
	keys_begin(&ctl[n], (uint64_t)(now / STEP), now);
}

/* Starts a simulation with all keys assigned. */
static void
start(uint64_t s)
{
	struct keys_conf conf = {
	    MS(3000), MS(1000), MS(1500), MS(500), MS(3000), 0};
	int i;

	seed = s * 7919 + 1;
	now = MS(1000);
	for (i = 0; i < nmessages; i++)
		free(messages[i].text);
	nmessages = ncalls = nfakes = 0;
	free(stored);
	stored = NULL;
	stored_version = 0;
	store_down = 0;
	loss = 0;
	read_late_share = 0;
	double_held = fence_violations = unstored_grants = misdirected_orders =
	    0;
	order_delay = MS(1);
	put_reply_delay = MS(1);
	stored_fence = 0;
	memset(refused, 0, sizeof(refused));
	memset(top_fence, 0, sizeof(top_fence));
	memset(unheld_since, 0, sizeof(unheld_since));
	for (i = 0; i < 2; i++) {
		keys_free(&ctl[i]);
		keys_init(&ctl[i], "s", &conf, &callbacks, &ctl[i]);
	}
	for (i = 0; i < TARGETS; i++)
		add_fake();
	control(0);
	run(MS(1500));
	longest_unheld = 0;
}

/* Reports requests: some for a hot range of keys, others for any keys. */
static void
send_requests(int hot, int cold)
{
	uint16_t keys[256];
	int i, n = 0;

	for (i = 0; i < hot && n < 256; i++)
		keys[n++] = (uint16_t)(30000 + (int)(chance() * 100));
	for (i = 0; i < cold && n < 256; i++)
		keys[n++] = (uint16_t)(chance() * 65536);
	keys_add_load(&ctl[active_ctl], keys, n, 1, now);
}

/* Returns how many targets hold keys of the hot range. */
static int
owners_of_hot(void)
{
	int i, t, n = 0, counted[TARGETS * 8] = {0};

	for (i = 0; i < SAMPLES / 2; i++) {
		for (t = 0; t < nfakes; t++) {
			if (fakes[t].held_until[i] > now && !counted[t]) {
				counted[t] = 1;
				n++;
			}
		}
	}
	return (n);
}

/* Checks that all keys are held now, and that no key was ever held twice. */
static void
check_all_held(void)
{
	longest_unheld = 0;
	memset(unheld_since, 0, sizeof(unheld_since));
	run(MS(1000));
	CU_ASSERT_EQUAL(longest_unheld, 0);
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT_EQUAL(fence_violations, 0);
}

/* After a start every target gets keys, and all keys have an owner. */
static void
initial_assignment(void)
{
	start(1);
	run(MS(1000));
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT_EQUAL(longest_unheld, 0);
	CU_ASSERT(ctl[0].nranges >= TARGETS);
}

/*
 * A hundred adjacent keys get half of all requests, so that one target is
 * overloaded while the others idle.  Within two seconds they are spread over
 * several targets, and no key is without an owner for long.
 */
static void
hot_range(void)
{
	int i, n;

	start(2);
	for (i = 0; i < 20; i++) {
		send_requests(0, 40);
		run(MS(200));
	}
	n = owners_of_hot();
	CU_ASSERT_EQUAL(n, 1);
	for (i = 0; i < 10; i++) {
		send_requests(20, 20);
		run(MS(200));
	}
	n = owners_of_hot();
	CU_ASSERT(n >= 4);
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT(longest_unheld <= MS(400));
	/* When the load is gone the small ranges are joined again. */
	for (i = 0; i < 60; i++) {
		send_requests(0, 40);
		run(MS(200));
	}
	CU_ASSERT(ctl[0].nranges <= 8 * TARGETS);
	CU_ASSERT_EQUAL(double_held, 0);
}

/*
 * A target announces that it leaves.  Its keys are released, and their next
 * owners have them within the two seconds in which it still serves requests.
 */
static void
leaving(void)
{
	int i;

	start(3);
	fakes[2].leaving = 1;
	send_fleet(&ctl[0]);
	run(MS(1500));
	for (i = 0; i < SAMPLES; i++)
		CU_ASSERT(fakes[2].held_until[i] <= now);
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT(longest_unheld <= MS(400));
}

/* Returns how many of the checked keys the targets of a data centre hold. */
static int
held_in(int dc)
{
	int i, n, held = 0;

	for (i = dc; i < nfakes; i += 2) {
		for (n = 0; n < SAMPLES; n++)
			held += fakes[i].held_until[n] > now;
	}
	return (held);
}

/* The keys of an evacuated data centre move to others, and come back after. */
static void
evacuated_dc(void)
{
	int i;

	start(8);
	CU_ASSERT(held_in(1) > 0);
	evacuations_begin(&evacuations, "dc1", now);
	send_fleet(&ctl[0]);
	run(MS(1500));
	CU_ASSERT_EQUAL(held_in(1), 0);
	CU_ASSERT_EQUAL(held_in(0), SAMPLES);
	CU_ASSERT(longest_unheld <= MS(400));
	/* With all data centres evacuated the keys stay where they are. */
	evacuations_begin(&evacuations, "dc0", now);
	send_fleet(&ctl[0]);
	run(MS(1500));
	CU_ASSERT_EQUAL(held_in(0), SAMPLES);
	evacuations_end(&evacuations, "dc0", now);
	evacuations_end(&evacuations, "dc1", now);
	send_fleet(&ctl[0]);
	for (i = 0; i < 30; i++) {
		send_requests(0, 100);
		run(MS(200));
	}
	CU_ASSERT(held_in(1) > 0);
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT(longest_unheld <= MS(400));
	memset(&evacuations, 0, sizeof(evacuations));
}

/* Targets of a data centre that is back get no keys while they have a rate
 * limit, as most requests for these keys would be refused. */
static void
cold_after_evacuation(void)
{
	int i;

	start(8);
	keys_set_cold_start(&ctl[0], MS(3000), 1);
	evacuations_begin(&evacuations, "dc1", now);
	send_fleet(&ctl[0]);
	run(MS(1500));
	evacuations_end(&evacuations, "dc1", now);
	send_fleet(&ctl[0]);
	for (i = 0; i < 13; i++) {
		/* Nor do they get the keys of a target that leaves. */
		fakes[2].leaving = i > 4;
		send_fleet(&ctl[0]);
		send_requests(0, 100);
		run(MS(200));
		CU_ASSERT_EQUAL(held_in(1), 0);
	}
	for (i = 0; i < 30; i++) {
		send_requests(0, 100);
		run(MS(200));
	}
	CU_ASSERT(held_in(1) > SAMPLES / 8);
	memset(&evacuations, 0, sizeof(evacuations));
}

/* Targets that become cold again with a rate limit lose most of their keys. */
static void
cold_again(void)
{
	int i, had;

	start(8);
	keys_set_cold_start(&ctl[0], MS(3000), 1);
	had = held_in(1);
	cold_until[1] = now + MS(20000);
	send_fleet(&ctl[0]);
	for (i = 0; i < 25; i++) {
		send_requests(0, 100);
		run(MS(200));
	}
	CU_ASSERT(held_in(1) < had / 4);
	CU_ASSERT(longest_unheld <= MS(400));
	/* If all targets are cold the keys still have owners. */
	cold_until[0] = cold_until[1];
	send_fleet(&ctl[0]);
	run(MS(3000));
	CU_ASSERT_EQUAL(held_in(0) + held_in(1), SAMPLES);
	CU_ASSERT_EQUAL(double_held, 0);
	memset(cold_until, 0, sizeof(cold_until));
}

/*
 * A target dies.  It might only be unreachable, so its keys wait until its last
 * grant has lapsed, and not longer.
 */
static void
crash(void)
{
	start(4);
	fakes[5].up = 0;
	run(MS(6000));
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT(longest_unheld > MS(1000));
	CU_ASSERT(longest_unheld < MS(4500));
	longest_unheld = 0;
	memset(unheld_since, 0, sizeof(unheld_since));
	run(MS(2000));
	CU_ASSERT_EQUAL(longest_unheld, 0);
}

/*
 * While it is not known whether the controller reaches any target, a target
 * that no order reaches would be taken for lost, and its keys move for nothing.
 */
static void
doubted_orders(void)
{
	int i, moving;

	start(4);
	unreachable_target = 5;
	run(MS(700));
	for (i = 0; i < 35; i++) {
		keys_doubt_orders(&ctl[0], now);
		run(MS(20));
	}
	for (moving = 0, i = 0; i < ctl[0].nranges; i++)
		moving += ctl[0].ranges[i].next != NO_TARGET;
	CU_ASSERT_EQUAL(moving, 0);
	unreachable_target = -1;
	keys_settle_orders(&ctl[0], 1);
	run(MS(2000));
	CU_ASSERT_EQUAL(longest_unheld, 0);
	CU_ASSERT_EQUAL(double_held, 0);
	unreachable_target = 5;
	run(MS(6000));
	unreachable_target = -1;
	for (moving = 0, i = 0; i < SAMPLES; i++)
		moving += fakes[5].held_until[i] > now;
	CU_ASSERT_EQUAL(moving, 0);
	CU_ASSERT_EQUAL(double_held, 0);
}

/*
 * The entry of a target is gone, but it still serves, because it was cut off
 * from the store.  Its keys move only after it has released them.
 */
static void
gone_but_serving(void)
{
	start(5);
	fakes[1].leaving = 1;
	send_fleet(&ctl[0]);
	fakes[1].listed = 1;
	run(MS(3000));
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT(longest_unheld <= MS(400));
}

/*
 * Another controller takes over.  It grants all keys to the same targets with
 * higher fences before the old grants lapse, so that no key is unheld.
 */
static void
takeover(void)
{
	int i, was[SAMPLES], t;

	start(6);
	run(MS(2000));
	for (i = 0; i < SAMPLES; i++) {
		was[i] = -1;
		for (t = 0; t < nfakes; t++) {
			if (fakes[t].held_until[i] > now)
				was[i] = t;
		}
	}
	control(-1);
	run(MS(1200));
	control(1);
	run(MS(3000));
	for (i = 0; i < SAMPLES; i++)
		CU_ASSERT(fakes[was[i]].held_until[i] > now);
	CU_ASSERT_EQUAL(longest_unheld, 0);
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT_EQUAL(fence_violations, 0);
}

/*
 * The store is unavailable.  Owners keep their keys meanwhile, although moves
 * are planned that cannot be written.
 */
static void
store_unavailable(void)
{
	int i;

	start(7);
	store_down = 1;
	for (i = 0; i < 60; i++) {
		send_requests(20, 20);
		run(MS(200));
	}
	CU_ASSERT_EQUAL(longest_unheld, 0);
	CU_ASSERT_EQUAL(double_held, 0);
	store_down = 0;
	run(MS(3000));
	CU_ASSERT(owners_of_hot() >= 4);
	CU_ASSERT_EQUAL(double_held, 0);
}

/*
 * A single key with a third of all requests moves from a slow owner to the
 * fastest target.
 */
static void
hot_key(void)
{
	uint16_t keys[30];
	int i, n, was = NO_TARGET, fast = 7;

	start(8);
	for (i = 0; i < 40; i++)
		for (n = 0; n < nfakes; n++)
			keys_add_latency(&ctl[0], fakes[n].id,
			    n == fast ? 0.6 : 1.3, 5, now);
	for (i = 0; i < 25; i++) {
		for (n = 0; n < 30; n++)
			keys[n] = n < 10 ? 1000 : (uint16_t)(chance() * 65536);
		keys_add_load(&ctl[0], keys, 30, 1, now);
		run(MS(200));
	}
	for (i = 0; i < ctl[0].nranges; i++) {
		if (ctl[0].ranges[i].from <= 1000 &&
		    ctl[0].ranges[i].to >= 1000)
			was = ctl[0].ranges[i].owner;
	}
	CU_ASSERT_NOT_EQUAL_FATAL(was, NO_TARGET);
	CU_ASSERT_STRING_EQUAL(ctl[0].targets[was].id, fakes[fast].id);
	CU_ASSERT_EQUAL(double_held, 0);
}

/* A target with a rate limit gets no more load than that, and more when the
 * limit ends. */
static void
limited_target(void)
{
	const int limit = 2, each = 30, rounds = 40, last_rounds = 10;
	int i, n, t, limited_requests = 0, unlimited_requests = 0;
	uint16_t keys[30];

	start(8);
	for (i = 0; i < 2 * rounds; i++) {
		if (i < rounds)
			keys_set_rate_limit(&ctl[0], fakes[2].id, limit, now);
		for (n = 0; n < each; n++) {
			keys[n] = (uint16_t)(chance() * 65536);
			for (t = 0; t < ctl[0].nranges; t++) {
				if (ctl[0].ranges[t].from > keys[n] ||
				    ctl[0].ranges[t].to < keys[n] ||
				    ctl[0].ranges[t].owner == NO_TARGET ||
				    strcmp(ctl[0]
					       .targets[ctl[0].ranges[t].owner]
					       .id,
					fakes[2].id) != 0)
					continue;
				limited_requests +=
				    i >= rounds - last_rounds && i < rounds;
				unlimited_requests +=
				    i >= 2 * rounds - last_rounds;
			}
		}
		keys_add_load(&ctl[0], keys, each, 1, now);
		run(MS(200));
	}
	/* Each count covers two seconds; 1.5 times the limit and 5 requests
	 * more are allowed in that time. */
	CU_ASSERT(limited_requests <= 1.5 * limit * 2 + 5);
	CU_ASSERT(unlimited_requests > 2 * limited_requests);
	CU_ASSERT_EQUAL(double_held, 0);
}

/*
 * A controller has just taken over, and a hot range should be split.  The last
 * grants of the earlier controller are not known, so that a move would leave
 * keys without an owner for seconds: they stay until those grants have lapsed.
 */
static void
no_moves_after_takeover(void)
{
	int i;

	start(9);
	control(-1);
	run(MS(600));
	control(1);
	run(MS(300));
	for (i = 0; i < 10; i++) {
		send_requests(25, 15);
		run(MS(200));
	}
	CU_ASSERT_EQUAL(longest_unheld, 0);
	for (i = 0; i < 20; i++) {
		send_requests(25, 15);
		run(MS(200));
	}
	CU_ASSERT(owners_of_hot() >= 4);
	CU_ASSERT(longest_unheld < MS(500));
}

/* Causes one random fault or change. */
static void
random_fault(void)
{
	int t = (int)(chance() * nfakes);
	double x = chance();

	if (x < 0.08 && nfakes < TARGETS * 8) {
		restart(t, chance() < 0.3);
	} else if (x < 0.15 && nfakes < TARGETS * 8) {
		add_fake();
	} else if (x < 0.3) {
		fakes[t].up = 0;
	} else if (x < 0.4) {
		fakes[t].leaving = 1;
	} else if (x < 0.45) {
		fakes[t].listed = 0;
	} else if (x < 0.6) {
		loss = loss > 0 ? 0 : 0.4;
	} else if (x < 0.7) {
		store_down = !store_down;
	} else if (x < 0.85) {
		control(-1);
		run((usec)(chance() * MS(2500)));
		control(active_ctl == 0 ? 1 : (int)(chance() * 2));
	}
	if (active_ctl >= 0)
		send_fleet(&ctl[active_ctl]);
}

/*
 * Random faults in any order: targets crash, leave or lose their entry, orders
 * without a reply are carried out seconds later, writes arrive late, the store
 * is unavailable, another controller takes over.  No two targets that are up
 * ever hold the same key, and the fences of a key only rise.
 */
static void
random_schedules(void)
{
	const char *env = getenv("KEYS_SEEDS");
	int s, i, seeds = env == NULL ? 25 : atoi(env);

	for (s = 100; s < 100 + seeds; s++) {
		start((uint64_t)s);
		read_late_share = s % 2 == 0 ? 0 : 0.2;
		for (i = 0; i < 60; i++) {
			if (active_ctl >= 0)
				send_requests(15, 15);
			run(MS(100) + (usec)(chance() * MS(700)));
			if (chance() < 0.4)
				random_fault();
		}
		if (double_held + fence_violations > 0)
			printf("seed %d: %d double, %d fences\n", s,
			    double_held, fence_violations);
		CU_ASSERT_EQUAL(double_held, 0);
		CU_ASSERT_EQUAL(fence_violations, 0);
		CU_ASSERT_EQUAL(unstored_grants, 0);
	}
}

/* Makes one target unreachable for 6 s. */
static void
cut_off_one(void)
{
	int i;

	unreachable_target = (int)(chance() * TARGETS);
	for (i = 0; i < 4; i++) {
		run(MS(1500));
		send_fleet(&ctl[active_ctl]);
	}
	unreachable_target = -1;
}

/* A grant that arrives after its sender gave up causes no second holder. */
static void
grants_delayed(void)
{
	int s;

	for (s = 0; s < 40; s++) {
		start((uint64_t)s);
		run(MS(2000));
		order_delay = MS(640);
		run(MS(700) + (usec)(chance() * MS(1000)));
		order_delay = MS(1);
		cut_off_one();
		CU_ASSERT_EQUAL(double_held, 0);
		CU_ASSERT_EQUAL(unstored_grants, 0);
	}
}

/* Targets refuse grants while the store is unavailable: no grant is sent under
 * a fence that is not stored. */
static void
refused_without_store(void)
{
	int i;

	start(23);
	run(MS(2000));
	store_down = 1;
	for (i = 0; i < SAMPLES; i++) {
		if (fakes[1].held_until[i] > now)
			fakes[1].fence_seen[i] = stored_fence + 2;
	}
	run(MS(2500));
	CU_ASSERT_EQUAL(unstored_grants, 0);
	store_down = 0;
	run(MS(4000));
	check_all_held();
	CU_ASSERT_EQUAL(unstored_grants, 0);
}

/*
 * Targets are so busy that grants on new connections wait to be read, and one
 * of them becomes unreachable meanwhile.  The controller gets no reply to what
 * it reads then, and the reset that should cancel it does not arrive.  Its keys
 * move only after the last grant that it read has lapsed.
 */
static void
grants_read_late(void)
{
	int s;

	for (s = 0; s < 40; s++) {
		start((uint64_t)s);
		run(MS(2000));
		read_late_share = 0.7;
		run(MS(500) + (usec)(chance() * MS(1500)));
		/* It still reads what has arrived before. */
		cut_off_one();
		CU_ASSERT_EQUAL(double_held, 0);
	}
}

/*
 * A target leaves and is sent a release; the next owner becomes unavailable
 * before the reply, and another is planned.  If the reply is ignored then, the
 * keys stay without an owner until another controller takes over.
 */
static void
next_owner_unavailable(void)
{
	int s, t;

	for (s = 0; s < 30; s++) {
		start((uint64_t)s);
		run(MS(5000));
		longest_unheld = 0;
		fakes[0].leaving = 1;
		send_fleet(&ctl[0]);
		run(MS(20) + (usec)(chance() * MS(200)));
		/* Half of the others end, and their entries are gone. */
		for (t = 1; t <= TARGETS / 2; t++)
			fakes[t].listed = fakes[t].up = 0;
		send_fleet(&ctl[0]);
		run(MS(9000));
		CU_ASSERT(longest_unheld < MS(5000));
		CU_ASSERT_EQUAL(double_held, 0);
	}
}

/*
 * A target crashes and restarts under its id 300 ms later.  Requests for its
 * keys are refused until these have an owner again.  Nobody else can hold them,
 * so the new incarnation gets them at once.  Waiting until the grants of the
 * earlier one lapsed, it got them after 2.9 s.
 */
static void
restarted(void)
{
	int elsewhere, i;

	for (elsewhere = 0; elsewhere < 2; elsewhere++) {
		start(20);
		run(MS(3000));
		fakes[3].up = 0;
		run(MS(300));
		restart(3, elsewhere);
		send_fleet(&ctl[0]);
		run(MS(3000));
		/* At another address the controller waits for the end of an
		 * order to the earlier incarnation. */
		CU_ASSERT(longest_unheld < (elsewhere ? MS(1100) : MS(700)));
		for (i = 0; i < SAMPLES; i++)
			CU_ASSERT(fakes[3].fence_seen[i] == 0 ||
			    fakes[nfakes - 1].held_until[i] > now);
		CU_ASSERT_EQUAL(double_held, 0);
		CU_ASSERT_EQUAL(fence_violations, 0);
	}
}

/*
 * A target restarts twice while some of its keys move to others, and a grant to
 * its first incarnation may be carried out 12 s late: the moves complete, and
 * no two targets hold a key at once.
 */
static void
restarted_in_move(void)
{
	int s, i;

	for (s = 0; s < 40; s++) {
		start((uint64_t)s);
		loss = s % 2 == 0 ? 0 : 0.3;
		for (i = 0; i < 5; i++) {
			send_requests(25, 5);
			run(MS(150) + (usec)(chance() * MS(100)));
		}
		restart((int)(chance() * TARGETS), s % 3 == 0);
		run((usec)(chance() * MS(400)));
		restart(nfakes - 1, s % 5 == 0);
		send_fleet(&ctl[0]);
		run(MS(4000));
		loss = 0;
		run(MS(14000));
		check_all_held();
	}
}

/*
 * A target restarts while the store is unavailable, so that no plan can be
 * written.  Grants to its earlier incarnation still reach it at its address, so
 * that it keeps its keys.
 */
static void
restarted_without_store(void)
{
	start(21);
	run(MS(3000));
	store_down = 1;
	restart(2, 0);
	/* The controller does not learn of it, as entries are in the store. */
	run(MS(5000));
	CU_ASSERT(longest_unheld < MS(1200));
	store_down = 0;
	send_fleet(&ctl[0]);
	longest_unheld = 0;
	run(MS(3000));
	CU_ASSERT(longest_unheld < MS(400));
	CU_ASSERT_EQUAL(double_held, 0);
	CU_ASSERT_EQUAL(fence_violations, 0);
}

/* No order is sent to the address of a gone target that another one uses. */
static void
reused_address(void)
{
	start(24);
	run(MS(2000));
	fakes[2].up = 0;
	fakes[2].leaving = 1;
	add_fake();
	name_copy(fakes[TARGETS].addr, FLEET_ADDR, fakes[2].addr);
	send_fleet(&ctl[0]);
	misdirected_orders = 0;
	run(MS(6000));
	CU_ASSERT_EQUAL(misdirected_orders, 0);
	check_all_held();
}

/* Removes the entries of the targets that hold keys which `had` marks, but for
 * target 2.  True if there were any. */
static int
unlist_holders(const char *had)
{
	int i, t, any = 0;

	for (t = 0; t < nfakes; t++) {
		for (i = 0; i < SAMPLES; i++) {
			if (!had[i] || t == 2 || fakes[t].held_until[i] <= now)
				continue;
			fakes[t].listed = 0;
			any = 1;
		}
	}
	return (any);
}

/* A restarted target does not get keys back at once that were being moved, as
 * their next owner may hold them although its entry is gone. */
static void
next_owner_holds(void)
{
	char had[SAMPLES];
	int s, i;

	for (s = 0; s < 30; s++) {
		start((uint64_t)s);
		run(MS(3000));
		for (i = 0; i < SAMPLES; i++)
			had[i] = fakes[2].held_until[i] > now;
		fakes[2].leaving = 1;
		send_fleet(&ctl[0]);
		for (i = 0; i < 200 && !unlist_holders(had); i++)
			step();
		control(-1);
		restart(2, 0);
		run(MS(300));
		control(1);
		run(MS(8000));
		check_all_held();
	}
}

/* Overwrites the stored object. */
static void
overwrite_store(const char *text)
{
	free(stored);
	stored = strdup(text);
	stored_version++;
}

/*
 * Another writer makes the stored owners invalid, and then another controller
 * takes over.  Owners are not known any more: the keys are assigned again once
 * all earlier grants have lapsed, with fences above all earlier ones.
 */
static void
invalid_store(void)
{
	static const char *const texts[] = {"", "[]", "{\"ranges\":7}",
	    "{\"ranges\":[[70000,\"t1\",1,\"\",0]],\"fence\":1}",
	    "{\"ranges\":[[0,\"t1\",1,\"\",0],[0,\"t2\",1,\"\",0]],"
	    "\"fence\":1,\"hold_ms\":3000}",
	    "{\"ranges\":[[0,\"t1\",-5,\"\",0]],\"fence\":1}",
	    "{\"ranges\":[[0,\"t1\",1,\"\",0]],\"fence\":1,"
	    "\"hold_ms\":999999999999}"};
	size_t i;
	int n;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		start(30 + i);
		/* Moves raise the fences above those of the start. */
		for (n = 0; n < 15; n++) {
			send_requests(25, 5);
			run(MS(200));
		}
		overwrite_store(texts[i]);
		control(-1);
		run(MS(800));
		/* With one more target most keys get other owners. */
		add_fake();
		control(1);
		run(MS(9000));
		check_all_held();
	}
}

/* The store states its first era to both controllers. */
static void
start_in_era(uint64_t s)
{
	int i;

	start(s);
	stored_version = version_make(1, stored_version);
	for (i = 0; i < 2; i++)
		keys_store_era(&ctl[i], now, 1);
	/* The controller's next write is based on a version of that era. */
	ctl[0].version = stored_version;
	run(MS(2000));
}

/* Has keys move, and then the store come back from a copy older than that. */
static void
restore_after_moves(void)
{
	char *copy;
	uint64_t revision;
	int n;

	copy = strdup(stored);
	revision = version_revision(stored_version);
	for (n = 0; n < 15; n++) {
		send_requests(25, 5);
		run(MS(200));
	}
	fakes[2].leaving = 1;
	send_fleet(&ctl[0]);
	run(MS(1000));
	CU_ASSERT(top_fence_in(stored) > top_fence_in(copy));
	free(stored);
	stored = copy;
	stored_version = version_make(2, revision);
	stored_fence = top_fence_in(stored);
}

/*
 * Guards against a controller that gives up the owners it knows because the
 * store has lost them.  Its successor then reads what it has written again.
 */
static void
restored_store(void)
{
	int i;

	for (i = 0; i < 10; i++) {
		start_in_era(100 + (uint64_t)i);
		loss = i < 5 ? 0 : 0.1;
		restore_after_moves();
		longest_unheld = 0;
		keys_store_era(&ctl[0], now, 2);
		keys_store_era(&ctl[1], now, 2);
		run(MS(3000));
		CU_ASSERT_EQUAL(double_held, 0);
		CU_ASSERT_EQUAL(fence_violations, 0);
		/* As long as a move takes. */
		CU_ASSERT(i >= 5 || longest_unheld <= MS(400));
		loss = 0;
		run(MS(3000));
		CU_ASSERT(ctl[0].claimed);
		CU_ASSERT(version_era(ctl[0].version) == 2);
		control(-1);
		run(MS(1200));
		control(1);
		run(MS(3000));
		CU_ASSERT(!ctl[1].stale);
		check_all_held();
		if (i < 5)
			CU_ASSERT_EQUAL(unstored_grants, 0);
	}
}

/* Guards against a controller that takes owners from before the store came
 * back from an old copy for the present ones. */
static void
takeover_of_restored_store(void)
{
	int i;

	for (i = 0; i < 20; i++) {
		start_in_era(200 + (uint64_t)i);
		loss = i < 10 ? 0 : 0.1;
		restore_after_moves();
		control(-1);
		run(MS(1200) + (usec)(chance() * MS(500)));
		keys_store_era(&ctl[1], now, 2);
		control(1);
		run(MS(1000));
		CU_ASSERT(ctl[1].stale);
		CU_ASSERT_EQUAL(double_held, 0);
		loss = 0;
		run(MS(8000));
		check_all_held();
	}
}

/* Guards against overwriting the owners of a controller that has claimed them
 * since the store came back from an old copy. */
static void
superseded_in_restored_store(void)
{
	start_in_era(300);
	restore_after_moves();
	overwrite_store("{\"term\":999999,\"era\":2,\"write\":1,\"fence\":9,"
			"\"hold_ms\":3000,\"ranges\":[[0,\"t1\",9,\"\",0]]}");
	keys_store_era(&ctl[0], now, 2);
	run(MS(20));
	CU_ASSERT(!ctl[0].claimed);
	CU_ASSERT_PTR_NOT_NULL(strstr(stored, "999999"));
}

/* Returns the stored object as if another term's controller had written it. */
static char *
as_other_term(void)
{
	const char *rest = strstr(stored, "\"write\"");
	size_t n = strlen(stored) + 64;
	char *text = malloc(n);

	CU_ASSERT_PTR_NOT_NULL_FATAL(rest);
	snprintf(text, n, "{\"term\":1,%s", rest == NULL ? "" : rest);
	return (text);
}

/* A write by another controller is not taken for this controller's own. */
static void
other_writer(void)
{
	char *text;
	int i;

	for (i = 0; i < 20; i++) {
		start(60 + (uint64_t)i);
		run(MS(2000));
		text = as_other_term();
		overwrite_store(text);
		free(text);
		loss = i % 2 == 0 ? 0 : 0.3;
		fakes[2].leaving = 1;
		send_fleet(&ctl[0]);
		run(MS(4000));
		loss = 0;
		run(MS(8000));
		check_all_held();
		CU_ASSERT_EQUAL(unstored_grants, 0);
	}
}

/* The reply to a write of an earlier term does not confirm the claim. */
static void
reply_to_earlier_term(void)
{
	start(80);
	run(MS(2000));
	put_reply_delay = MS(900);
	fakes[2].leaving = 1;
	send_fleet(&ctl[0]);
	run(MS(300));
	keys_end(&ctl[0]);
	control(-1);
	run(MS(50));
	control(0);
	/* The owners are read, and the claim does not reach the store. */
	run(MS(10));
	store_down = 1;
	run(MS(1500));
	CU_ASSERT_EQUAL(unstored_grants, 0);
	store_down = 0;
	put_reply_delay = MS(1);
	run(MS(9000));
	check_all_held();
	CU_ASSERT_EQUAL(unstored_grants, 0);
}

/* After a takeover moves wait for grants that busy targets may yet read. */
static void
takeover_from_busy(void)
{
	int s;

	for (s = 0; s < 40; s++) {
		start((uint64_t)s);
		run(MS(2000));
		read_late_share = 1;
		run(MS(1000) + (usec)(chance() * MS(1000)));
		read_late_share = 0;
		control(-1);
		run(MS(1200));
		fakes[3].leaving = 1;
		control(1);
		run(MS(8000));
		check_all_held();
	}
}

static const struct unit_test tests[] = {
    {"restart", restarted},
    {"restart during a move", restarted_in_move},
    {"restart while the store is unavailable", restarted_without_store},
    {"invalid owners in the store", invalid_store},
    {"next owner unavailable during a release", next_owner_unavailable},
    {"reused address", reused_address},
    {"restart while the next owner holds the keys", next_owner_holds},
    {"restored store", restored_store},
    {"takeover of a restored store", takeover_of_restored_store},
    {"superseded in a restored store", superseded_in_restored_store},
    {"write by another controller", other_writer},
    {"reply to a write of an earlier term", reply_to_earlier_term},
    {"takeover from busy targets", takeover_from_busy},
    {"grants read late", grants_read_late},
    {"grants delayed by the network", grants_delayed},
    {"grants refused while the store is unavailable", refused_without_store},
    {"initial assignment", initial_assignment},
    {"hot range", hot_range},
    {"leaving", leaving},
    {"evacuated data centre", evacuated_dc},
    {"cold after an evacuation", cold_after_evacuation},
    {"cold again", cold_again},
    {"crash", crash},
    {"doubted orders", doubted_orders},
    {"gone but alive", gone_but_serving},
    {"takeover", takeover},
    {"store unavailable", store_unavailable},
    {"hot key", hot_key},
    {"limited target", limited_target},
    {"no moves after a takeover", no_moves_after_takeover},
    {"random schedules", random_schedules},
};
UNIT_MAIN("keys", tests)
