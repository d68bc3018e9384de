/* Who controls: the record in the store, promises, standbys, giving back. */
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "hearing.h"
#include "keeper.h"
#include "record.h"
#include "standby.h"

#define RECORD_PATH KIND_CONTROL "/main"
/* A host not heard for so long can be no standby. */
#define STANDBY_HEARD MS(1200)
/* What control adds to a lease of its own; hosts hold none from it. */
#define HANDOVER MS(100)
/*
 * The promise of a standby that stops lasts so long beyond its last words.
 * Outages of the store and planned stops come together: with 8 s of the one
 * and a stop of up to 5 s, and the start that follows, a controller goes on.
 * Longer, and a fleet whose controller is gone for good and both of whose
 * standbys were killed would wait longer before keys are granted again.
 */
#define LEFT_PROMISE MS(12000)
/* A new controller is not heard of by all at once. */
#define DEAF_AFTER MS(2000)
/* One that gave control back because it heard too few leaves it to others for
 * so long; a cut between data centres lasts for seconds. */
#define YIELD_FOR MS(4000)
/* How long moves of keys may take to end before control is given back. */
#define QUIET_WITHIN MS(900)
/* Between looks who should stand by: hosts report each 200 ms. */
#define STANDBYS_EVERY MS(100)
/* Between looks of a standby whether the store answers it. */
#define WITNESS_EVERY MS(1000)

/* Asks the store for the control record. */
static void
get_record(void *arg)
{
	struct keeper *k = arg;
	struct store *st = store_new(STORE_GET, "control", RECORD_PATH);

	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), "term");
	store_send(k->s->kernel, st);
}

/* Writes the control record where its version is still base. */
static void
put_record(void *arg, uint64_t base, const struct control_record *r)
{
	struct keeper *k = arg;
	struct store *st = store_new(STORE_PUT, "control", RECORD_PATH);

	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), "term");
	st->base = base;
	st->gen = r->write_id;
	record_write(r, &st->body);
	store_send(k->s->kernel, st);
}

/* Asks a standby for its promise. */
static void
ask_promise(void *arg, const struct member *m, uint64_t term)
{
	struct keeper *k = arg;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__PromiseAsk ask = GSPAR__PROMISE_ASK__INIT;

	ask.term = term;
	ask.seq = ++k->promise_seq;
	ask.boot = m->boot;
	ask.late = term_renewal_late(&k->term, clock_mono());
	k->asked_at[ask.seq % ASKED_KEPT] = clock_mono();
	f.body_case = GSPAR__FRAME__BODY_PROMISE_ASK;
	f.promise_ask = &ask;
	send_frame(k->s->kernel, m->host, 0, &f);
}

/* Logs what happened to control. */
static void
term_event(void *arg, const char *what)
{
	struct keeper *k = arg;

	log_line(LOG_NOTICE, "control", "Term %llu: %s.",
	    (unsigned long long)k->term.rec.term, what);
	event_add("control", 0, "%s", what);
}

static const struct term_callbacks term_callbacks = {
    get_record, put_record, ask_promise, term_event};

/* Prepares the rules of who controls. */
void
keeper_term_open(struct keeper *k)
{
	const struct conf *conf = kernel_conf(k->s->kernel);
	struct term_conf tc;

	memset(&tc, 0, sizeof(tc));
	name_copy(tc.self.host, sizeof(tc.self.host), conf->host);
	name_copy(tc.self.addr, sizeof(tc.self.addr), conf->reached);
	tc.self.boot = kernel_boot(k->s->kernel);
	tc.lease = MS(conf->control_lease_ms);
	tc.renew = MS(conf->renew_ms);
	tc.host_lease = HANDOVER;
	tc.version_announced = 1;
	tc.final_promise = LEFT_PROMISE;
	tc.bootstrap_delay = bootstrap_delay(keeper_bears(k));
	term_init(&k->term, &tc, &term_callbacks, k, tc.self.boot);
}

/* True where a host can be standby. */
static int
can_stand_by(const struct keeper *k, const struct keeper_host *h, usec now)
{
	return (!h->stopping && now - h->heard < STANDBY_HEARD &&
	    strcmp(h->who.host, keeper_self(k)) != 0);
}

/* True where a process stands by by the record. */
static int
stands_by(const struct keeper *k, const struct member *m)
{
	const struct control_record *r = &k->term.rec;
	int i;

	for (i = 0; i < r->nstandby; i++) {
		if (r->standby[i].boot == m->boot &&
		    strcmp(r->standby[i].host, m->host) == 0)
			return (1);
	}
	return (0);
}

/* True where this host stands by. */
int
keeper_stands_by(const struct keeper *k)
{
	return (!k->stopping && stands_by(k, &k->term.conf.self));
}

/* The hosts that can be standbys; how many. */
static int
candidates(const struct keeper *k, struct candidate *c, usec now)
{
	const struct keeper_host *h;
	int i, n = 0;

	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		if (!can_stand_by(k, h, now))
			continue;
		c[n].who = h->who;
		name_copy(c[n].dc, sizeof(c[n].dc), h->dc);
		c[n].bears = h->bears;
		c[n].is_standby = stands_by(k, &h->who);
		c[n].store = h->store;
		n++;
	}
	return (n);
}

/* Names the standbys, among the hosts that are heard. */
void
keeper_name_standbys(struct keeper *k, usec now)
{
	struct candidate c[KEEPER_HOSTS];
	struct member want[STANDBYS_MAX];
	int n;

	if (now < k->next_standbys)
		return;
	k->next_standbys = now + STANDBYS_EVERY;
	n = candidates(k, c, now);
	n = standbys_pick(c, n, kernel_conf(k->s->kernel)->dc, want);
	term_set_standbys(&k->term, want, n);
}

/*
 * Gives control back where most hosts are not heard any more, and leaves it to
 * others for a while.  This host counts as one that is heard.
 */
void
keeper_yield_if_deaf(struct keeper *k, usec now)
{
	usec heard[KEEPER_HOSTS + 1];
	int i, n = 0;

	if (!k->acting) {
		k->acting_since = now;
		if (k->yielded && now >= k->eligible_at && !k->stopping) {
			k->yielded = 0;
			term_rejoin(&k->term);
		}
		return;
	}
	for (i = 0; i < k->nhosts; i++) {
		if (!k->hosts[i].stopping)
			heard[n++] = k->hosts[i].heard;
	}
	if (k->yielded || k->resigned || now - k->acting_since < DEAF_AFTER ||
	    hears_enough(heard, n, now))
		return;
	log_line(LOG_WARNING, "control",
	    "Most of %d hosts are not heard, control is given back.", n);
	k->yielded = 1;
	k->eligible_at = now + YIELD_FOR;
	term_resign(&k->term, now);
}

/*
 * Reads the control record.  One that another has written, and that makes no
 * sense, names no controller: control is free, under a term after the last that
 * was heard.  Refused, it would stand for ever, for nobody may write over what
 * he could not read.
 */
static void
read_record(struct keeper *k, const struct store *st, struct control_record *r)
{
	if (record_read(&st->body, r) == 0)
		return;
	log_line(LOG_ERR, "control",
	    "The control record makes no sense, version %llu: free.",
	    (unsigned long long)st->version);
	memset(r, 0, sizeof(*r));
	r->term = k->controller_term;
}

/*
 * True where a stopping controller goes on with control.  While the store is
 * away nobody can take it: given up, no key is renewed, and all are without
 * owner 3 s later until the store is back.
 */
static int
must_stay(const struct keeper *k, usec now)
{
	return (k->acting && k->stopping && now < k->leave_by &&
	    term_renewal_late(&k->term, now) && term_may_renew(&k->term, now));
}

/* Resigns, for good where the host stops. */
static void
resign(struct keeper *k, usec now)
{
	k->resigned = 1;
	k->had_control = k->acting;
	if (k->stopping)
		term_leave(&k->term, now);
	else
		term_resign(&k->term, now);
}

/*
 * Gives control back in good order, once moves of keys have ended and are
 * written: whoever takes control then need not wait for owners before and after
 * a move.
 */
void
keeper_give_back(struct keeper *k, usec now)
{
	int i, quiet = 1;

	for (i = 0; i < k->nkeys; i++) {
		keys_begin_handover(k->keys[i]);
		quiet &= keys_handover_ready(k->keys[i]);
	}
	if (!k->resigned && (quiet || now - k->giving_since > QUIET_WITHIN) &&
	    !must_stay(k, now))
		resign(k, now);
	/*
	 * Others need not wait until they miss the signs of life.  Said by a
	 * host that did not control, it would take their controller from them:
	 * each planned stop made all others ask the store, 225 calls of a fleet
	 * of 76 hosts, and report to nobody until the next sign of life.
	 */
	if (k->had_control && k->term.role == TERM_FOLLOWER)
		spread_farewell(k, now);
}

/* Hosts that this one could control. */
int
keeper_bears(const struct keeper *k)
{
	const struct conf *conf = kernel_conf(k->s->kernel);

	return (host_capacity(conf->cores, conf->link_mbps));
}

/* Gives control to a standby that bears the fleet, where this host does not. */
void
keeper_yield_to_larger(struct keeper *k, usec now)
{
	struct candidate c[KEEPER_HOSTS];
	int n;

	if (k->stopping)
		return;
	if (k->giving_since != 0) {
		keeper_give_back(k, now);
		if (k->term.role == TERM_HOLDER)
			return;
		k->giving_since = 0;
		k->resigned = 0;
		k->had_control = 0;
		k->yielded = 1;
		k->eligible_at = now + YIELD_FOR;
		return;
	}
	if (!k->acting || k->yielded || now - k->acting_since < DEAF_AFTER ||
	    !strained(keeper_bears(k), k->nhosts))
		return;
	n = candidates(k, c, now);
	if (!larger_standby_ready(c, n, keeper_bears(k), k->nhosts))
		return;
	log_line(LOG_NOTICE, "control",
	    "This host bears %d of %d hosts, control goes to a larger one.",
	    keeper_bears(k), k->nhosts);
	k->giving_since = now;
}

/*
 * Looks whether the store answers this host, while it stands by for a
 * controller that should give control to a larger one.  Else hosts that are
 * told by a controller do not ask the store, and could not say.
 */
void
keeper_witness(struct keeper *k, usec now)
{
	struct member self = k->term.conf.self;

	if (!k->strained || k->acting || now < k->next_witness ||
	    !stands_by(k, &self) || strained(keeper_bears(k), k->nhosts))
		return;
	k->next_witness = now + WITNESS_EVERY;
	get_record(k);
}

/* Takes the outcome of a call about the control record. */
void
keeper_record_stored(struct keeper *k, const struct store *st, usec now)
{
	struct control_record r;

	if (st->result == STORE_DONE)
		k->store_seen = now;
	if (st->op == STORE_PUT) {
		if (st->gen == k->term.put_rec.write_id)
			term_put_done(
			    &k->term, now, keeper_put_result(st), st->version);
	} else if (st->result == STORE_ABSENT)
		term_get_done(&k->term, now, 0, 0, NULL);
	else if (st->result == STORE_DONE) {
		read_record(k, st, &r);
		term_get_done(&k->term, now, 1, st->version, &r);
	} else
		term_get_failed(&k->term, now);
}

/* Answers a controller that asks for this host's promise. */
void
keeper_promise_ask(struct keeper *k, const struct msg *m, usec now)
{
	const Gspar__PromiseAsk *ask = m->frame->promise_ask;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Promise p = GSPAR__PROMISE__INIT;
	enum promise_kind kind;

	p.term = ask->term;
	p.seq = ask->seq;
	p.boot = kernel_boot(k->s->kernel);
	if (ask->late)
		term_holder_late(&k->term, now);
	kind = term_promise_request(&k->term, now, ask->term, ask->boot);
	p.yes = kind != PROMISE_NONE;
	p.left = kind == PROMISE_FINAL;
	f.body_case = GSPAR__FRAME__BODY_PROMISE;
	f.promise = &p;
	send_frame(k->s->kernel, m->host, m->conn, &f);
}

/* What a standby's answer promises. */
static enum promise_kind
promise_told(const Gspar__Promise *p)
{
	if (!p->yes)
		return (PROMISE_NONE);
	return (p->left ? PROMISE_FINAL : PROMISE_LEASE);
}

/* Takes a standby's answer. */
void
keeper_promise(struct keeper *k, const struct msg *m, usec now)
{
	const Gspar__Promise *p = m->frame->promise;
	struct member who;

	if (k->promise_seq - p->seq >= ASKED_KEPT)
		return;
	memset(&who, 0, sizeof(who));
	name_copy(who.host, sizeof(who.host), m->host);
	who.boot = p->boot;
	term_promise_reply(&k->term, now, &who, p->term, promise_told(p),
	    k->asked_at[p->seq % ASKED_KEPT]);
}
