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
/* A new controller is not heard of by all at once. */
#define DEAF_AFTER MS(2000)
/* One that gave control back because it heard too few leaves it to others for
 * so long; a cut between data centres lasts for seconds. */
#define YIELD_FOR MS(4000)

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
put_record(void *arg, uint64_t base, const struct record *r)
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
	ask.late = term_late(&k->term, clock_mono());
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

static const struct term_out term_out = {
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
	tc.told = 1;
	tc.first_wait = first_wait(hosts_borne(conf->cores, conf->link_mbps));
	term_init(&k->term, &tc, &term_out, k, tc.self.boot);
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
	const struct record *r = &k->term.rec;
	int i;

	for (i = 0; i < r->nstandby; i++) {
		if (r->standby[i].boot == m->boot &&
		    strcmp(r->standby[i].host, m->host) == 0)
			return (1);
	}
	return (0);
}

/* Names the standbys, among the hosts that are heard. */
void
keeper_name_standbys(struct keeper *k, usec now)
{
	struct candidate c[KEEPER_HOSTS];
	struct member want[STANDBYS];
	const struct keeper_host *h;
	int i, n = 0;

	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		if (!can_stand_by(k, h, now))
			continue;
		c[n].who = h->who;
		name_copy(c[n].dc, sizeof(c[n].dc), h->dc);
		c[n].bears = h->bears;
		c[n].is_one = stands_by(k, &h->who);
		n++;
	}
	n = standbys_pick(c, n, kernel_conf(k->s->kernel)->dc, want);
	term_standbys(&k->term, want, n);
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
			term_return(&k->term);
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

/* Takes the outcome of a call about the control record. */
void
keeper_record_stored(struct keeper *k, const struct store *st, usec now)
{
	struct record r;

	if (st->op == STORE_PUT) {
		if (st->gen == k->term.put_rec.write_id)
			term_put_ended(
			    &k->term, now, keeper_put_result(st), st->version);
	} else if (st->result == STORE_ABSENT)
		term_got(&k->term, now, 0, 0, NULL);
	else if (st->result == STORE_DONE && record_read(&st->body, &r) == 0)
		term_got(&k->term, now, 1, st->version, &r);
	else
		term_get_failed(&k->term, now);
}

/* Answers a controller that asks for this host's promise. */
void
keeper_promise_ask(struct keeper *k, const struct msg *m, usec now)
{
	const Gspar__PromiseAsk *ask = m->frame->promise_ask;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__Promise p = GSPAR__PROMISE__INIT;

	p.term = ask->term;
	p.seq = ask->seq;
	p.boot = kernel_boot(k->s->kernel);
	if (ask->late)
		term_asked_late(&k->term, now);
	p.yes = term_asked(&k->term, now, ask->term, ask->boot);
	f.body_case = GSPAR__FRAME__BODY_PROMISE;
	f.promise = &p;
	send_frame(k->s->kernel, m->host, m->conn, &f);
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
	term_promised(&k->term, now, &who, p->term, p->yes,
	    k->asked_at[p->seq % ASKED_KEPT]);
}
