#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "decode.h"
#include "hearing.h"
#include "keeper.h"
#include "record.h"
#include "target.h"

#define TICK_MS 25
#define RECORD_PATH KIND_CONTROL "/main"
/* A host that hears no controller for so long looks for another. */
#define LONELY_AFTER MS(900)
/* A host not heard for so long can be no standby. */
#define STANDBY_HEARD MS(1200)
/* Hosts not heard for so long are forgotten. */
#define HOST_FORGOTTEN MS(30000)
/* A host that knows other targets than its controller for so long has missed
 * something, and asks the store anew, not more often than this. */
#define FLEET_DIFFERS MS(500)
/* A new controller is not heard of by all at once. */
#define DEAF_AFTER MS(2000)
/* One that gave control back because it heard too few leaves it to others for
 * so long; a cut between data centres lasts for seconds. */
#define YIELD_FOR MS(4000)
#define RELIST_EVERY MS(2500)
/* What control adds to a lease of its own; hosts hold none from it. */
#define HANDOVER MS(100)
/* Keys are granted for this long, and again after a third of it.  A lost
 * target's keys are without owner for about as long; control that changes
 * hands in that time leaves no key without one. */
#define HOLD MS(3000)
#define RENEW_PART 3
#define ORDER_WAIT MS(500)
/* Targets register one after another when all starts. */
#define SETTLE MS(1500)
/* How long a stop waits for moves of keys to end before it gives control back,
 * and for control to be given back at all. */
#define QUIET_WITHIN MS(900)
#define HAND_OVER MS(1800)

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

/* A call about the owners of a service's keys. */
static struct store *
owners_store(enum store_op op, const char *service)
{
	struct store *st;
	char path[NAME_MAX_GS * 2];

	snprintf(path, sizeof(path), "%s/%s", KIND_OWNERS, service);
	st = store_new(op, "control", path);
	if (st != NULL)
		snprintf(st->tag, sizeof(st->tag), "keys %s", service);
	return (st);
}

/* Reads the owners of a service's keys. */
static void
get_owners(void *arg, const char *service)
{
	struct keeper *k = arg;
	struct store *st = owners_store(STORE_GET, service);

	if (st != NULL)
		store_send(k->s->kernel, st);
}

/* Writes the owners of a service's keys. */
static void
put_owners(void *arg, const char *service, uint64_t base, const char *json)
{
	struct keeper *k = arg;
	struct store *st = owners_store(STORE_PUT, service);

	if (st == NULL)
		return;
	st->base = base;
	st->gen = keys_write(keeper_keys(k, service));
	str_set(&st->body, json, strlen(json));
	store_send(k->s->kernel, st);
}

/* Sends an order, if this host still controls at this very moment. */
static void
send_order(void *arg, const char *service, const struct key_order *o)
{
	struct keeper *k = arg;

	/*
	 * The clock is read once more: a host that was paused since the tick
	 * began would otherwise order under a lease that has run out, while
	 * another gives the same keys to others.
	 */
	if (!term_may_renew(&k->term, clock_mono())) {
		keys_ordered(keeper_keys(k, service), clock_mono(), o->id,
		    ORDER_NOT_SENT, "");
		return;
	}
	order_send(k, service, o);
}

/* Logs what was decided about keys. */
static void
keys_event(void *arg, const char *service, const char *what)
{
	log_line(LOG_INFO, "control", "Service %s: %s.", service, what);
}

static const struct keys_out keys_out = {
    get_owners, put_owners, send_order, keys_event};

/* The rules for the keys of a service, or NULL. */
struct keys *
keeper_keys(struct keeper *k, const char *service)
{
	int i;

	for (i = 0; i < k->nkeys; i++) {
		if (strcmp(k->keys[i]->service, service) == 0)
			return (k->keys[i]);
	}
	return (NULL);
}

/* Makes rules for a keyed service that is new. */
static void
add_keys(struct keeper *k, const char *service, usec now)
{
	const struct bounds *b = &kernel_conf(k->s->kernel)->bounds;
	struct keys_conf kc = {HOLD, 0, ORDER_WAIT, SETTLE};
	struct keys *ks;

	if (k->nkeys == KEEPER_SERVICES ||
	    (ks = calloc(1, sizeof(*ks))) == NULL)
		return;
	if (kc.hold > MS(b->hold_max_ms))
		kc.hold = MS(b->hold_max_ms);
	kc.renew = kc.hold / RENEW_PART;
	keys_init(ks, service, &kc, &keys_out, k);
	k->keys[k->nkeys++] = ks;
	if (k->fleet != NULL)
		keys_fleet(ks, k->fleet->p, now);
	if (k->acting)
		keys_begin(ks, k->term.rec.term, now);
}

/* Rules for all keyed services; only a controller needs them. */
static void
add_services(struct keeper *k, usec now)
{
	const struct site *t = k->site == NULL ? NULL : k->site->p;
	int i;

	for (i = 0; t != NULL && i < t->nservices; i++) {
		if (t->services[i].keyed &&
		    keeper_keys(k, t->services[i].name) == NULL)
			add_keys(k, t->services[i].name, now);
	}
}

/* Tells the peer service which hosts there are. */
void
keeper_peers(struct keeper *k)
{
	struct peers *l;
	struct peer_addr *a;
	struct shared *sh;
	int i;

	l = calloc(1, sizeof(*l) + (size_t)k->nhosts * sizeof(*l->list));
	if (l == NULL)
		return;
	l->list = (struct peer_addr *)(void *)(l + 1);
	for (i = 0; i < k->nhosts; i++) {
		a = &l->list[l->n++];
		name_copy(a->host, sizeof(a->host), k->hosts[i].who.host);
		name_copy(a->addr, sizeof(a->addr), k->hosts[i].who.addr);
		name_copy(a->dc, sizeof(a->dc), k->hosts[i].dc);
	}
	if ((sh = shared_new(l, free)) == NULL) {
		free(l);
		return;
	}
	msg_post(k->s->kernel, "peer", MSG_PEERS, sh, shared_unref);
}

/* A host was heard, or heard of. */
void
keeper_host_seen(struct keeper *k, const struct member *m, const char *dc,
    int stopping, usec now)
{
	struct keeper_host *h;
	int i;

	term_process_seen(&k->term, now, m);
	for (i = 0; i < k->nhosts; i++) {
		if (strcmp(k->hosts[i].who.host, m->host) == 0)
			break;
	}
	if (i == KEEPER_HOSTS)
		return;
	h = &k->hosts[i];
	if (i == k->nhosts || h->who.boot != m->boot ||
	    strcmp(h->who.addr, m->addr) != 0) {
		memset(h, 0, sizeof(*h));
		h->who = *m;
		name_copy(h->dc, sizeof(h->dc), dc);
		k->nhosts += i == k->nhosts;
		k->hosts_changed = 1;
		keeper_peers(k);
	}
	h->heard = now;
	h->stopping = stopping;
}

/* Forgets hosts that were not heard for long. */
static void
forget_hosts(struct keeper *k, usec now)
{
	int i;

	for (i = 0; i < k->nhosts; i++) {
		if (now - k->hosts[i].heard < HOST_FORGOTTEN)
			continue;
		k->hosts[i] = k->hosts[--k->nhosts];
		i--;
		k->hosts_changed = 1;
	}
}

/* True where a host can be standby. */
static int
can_stand_by(const struct keeper *k, const struct keeper_host *h, usec now)
{
	return (!h->stopping && now - h->heard < STANDBY_HEARD &&
	    strcmp(h->who.host, kernel_conf(k->s->kernel)->host) != 0);
}

/*
 * Names the standbys: those there are, as long as they are heard, then hosts
 * of other data centres before those of this one, so that one is left whatever
 * data centre is lost.
 */
static void
name_standbys(struct keeper *k, usec now)
{
	const char *dc = kernel_conf(k->s->kernel)->dc;
	struct member want[STANDBYS];
	const struct keeper_host *h;
	int i, j, round, n = 0, was, listed;

	for (round = 0; round < 3; round++) {
		for (i = 0; i < k->nhosts && n < STANDBYS; i++) {
			h = &k->hosts[i];
			listed = 0;
			for (j = 0; j < n; j++)
				listed |=
				    strcmp(want[j].host, h->who.host) == 0;
			was = 0;
			for (j = 0; j < k->term.rec.nstandby; j++)
				was |= strcmp(k->term.rec.standby[j].host,
					   h->who.host) == 0 &&
				    k->term.rec.standby[j].boot == h->who.boot;
			if (listed || !can_stand_by(k, h, now) ||
			    (round == 0 && !was) ||
			    (round == 1 && strcmp(h->dc, dc) == 0))
				continue;
			want[n++] = h->who;
		}
	}
	term_standbys(&k->term, want, n);
}

/* Begins or ends controlling, as the term says. */
static void
follow_term(struct keeper *k, usec now)
{
	const struct record *r = &k->term.rec;
	int i, holds = k->term.role == TERM_HOLDER;

	if (holds && !k->acting) {
		add_services(k, now);
		for (i = 0; i < k->nkeys; i++)
			keys_begin(k->keys[i], r->term, now);
		k->hosts_changed = 1;
	} else if (!holds && k->acting) {
		for (i = 0; i < k->nkeys; i++) {
			keys_end(k->keys[i]);
			keys_free(k->keys[i]);
			free(k->keys[i]);
		}
		k->nkeys = 0;
		orders_drop(k);
	}
	k->acting = holds;
	if (holds) {
		name_copy(k->controller, sizeof(k->controller),
		    kernel_conf(k->s->kernel)->host);
		k->controller_term = r->term;
		k->heard = now;
	} else if (k->term.known && r->term > k->controller_term &&
	    r->holder.host[0] != '\0') {
		/* Learnt from the store before the controller was heard. */
		k->controller_term = r->term;
		name_copy(k->controller, sizeof(k->controller), r->holder.host);
		keeper_host_seen(k, &r->holder, "", 0, now);
		k->heard = now;
	}
}

/*
 * Looks whether this host knows the targets that its controller knows.  Only
 * the controller asks for changes often; a watch that has gone deaf on any
 * other host would keep a leaving target in use until its wait is over.
 */
static void
compare_fleet(struct keeper *k, usec now)
{
	const struct fleet *f = k->fleet == NULL ? NULL : k->fleet->p;

	if (k->acting || f == NULL || k->told_fleet == 0 ||
	    k->told_fleet == f->digest) {
		k->differs_since = 0;
		return;
	}
	if (k->differs_since == 0)
		k->differs_since = now;
	if (now - k->differs_since < FLEET_DIFFERS || now < k->next_relist)
		return;
	k->next_relist = now + RELIST_EVERY;
	log_line(LOG_NOTICE, "control",
	    "Controller knows other targets for %lld ms, listing anew.",
	    (long long)((now - k->differs_since) / 1000));
	msg_post(k->s->kernel, "watch", MSG_RELIST, NULL, NULL);
}

/* Tells the watch service whether it is the one to ask for changes often. */
static void
tell_role(struct keeper *k)
{
	int often = k->acting || k->term.lonely;

	if (often == k->told_often)
		return;
	k->told_often = often;
	msg_post(
	    k->s->kernel, "watch", often ? MSG_OFTEN : MSG_RARELY, NULL, NULL);
}

/*
 * Gives control back where most hosts are not heard any more, and leaves it to
 * others for a while.  This host counts as one that is heard.
 */
static void
yield_if_deaf(struct keeper *k, usec now)
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

/* Does what is due. */
static void
tick(struct keeper *k, usec now)
{
	int i;

	k->term.lonely = now - k->heard > LONELY_AFTER;
	if (k->acting)
		name_standbys(k, now);
	term_tick(&k->term, now);
	follow_term(k, now);
	if (k->acting && term_may_renew(&k->term, now) &&
	    term_settled(&k->term, now) && !k->resigned && !k->yielded) {
		for (i = 0; i < k->nkeys; i++)
			keys_tick(k->keys[i], now);
		spread_tick(k, now);
	}
	report_tick(k, now);
	forget_hosts(k, now);
	compare_fleet(k, now);
	tell_role(k);
	yield_if_deaf(k, now);
}

/* Goes on with an orderly stop: control goes to another first. */
static void
stop_tick(struct keeper *k, usec now)
{
	int i, quiet = 1;

	if (!k->stopping || k->stop_since == 0)
		return;
	for (i = 0; i < k->nkeys; i++) {
		keys_close(k->keys[i]);
		quiet &= keys_quiet(k->keys[i]);
	}
	if (!k->resigned && (quiet || now - k->stop_since > QUIET_WITHIN)) {
		k->resigned = 1;
		term_resign(&k->term, now);
	}
	/* Others need not wait until they miss the signs of life. */
	if (k->resigned && k->term.role == TERM_FOLLOWER)
		spread_farewell(k, now);
	if (k->term.role == TERM_FOLLOWER || now - k->stop_since > HAND_OVER) {
		k->stop_since = 0;
		kernel_done(k->s->kernel, "control");
	}
}

/* What came of a write. */
static enum put_result
put_result(const struct store *st)
{
	if (st->result == STORE_DONE)
		return (PUT_DONE);
	return (st->result == STORE_CONFLICT ? PUT_CONFLICT : PUT_LOST);
}

/* Takes the outcome of a call about the control record. */
static void
record_stored(struct keeper *k, const struct store *st, usec now)
{
	struct record r;

	if (st->op == STORE_PUT) {
		if (st->gen == k->term.put_rec.write_id)
			term_put_ended(
			    &k->term, now, put_result(st), st->version);
	} else if (st->result == STORE_ABSENT)
		term_got(&k->term, now, 0, 0, NULL);
	else if (st->result == STORE_DONE && record_read(&st->body, &r) == 0)
		term_got(&k->term, now, 1, st->version, &r);
	else
		term_get_failed(&k->term, now);
}

/* Takes the outcome of a call to the store. */
static void
take_stored(struct keeper *k, const struct store *st, usec now)
{
	struct keys *ks;

	if (strncmp(st->tag, "keys ", 5) != 0) {
		record_stored(k, st, now);
		return;
	}
	ks = keeper_keys(k, st->tag + 5);
	if (ks == NULL)
		return;
	if (st->op == STORE_PUT)
		keys_put_ended(ks, now, st->gen, put_result(st), st->version);
	else if (st->result == STORE_DONE || st->result == STORE_ABSENT)
		keys_got(ks, now, st->result == STORE_DONE, st->version,
		    st->body.p, st->body.n);
	else
		keys_get_failed(ks, now);
}

/* Answers a controller that asks for this host's promise. */
static void
take_promise_ask(struct keeper *k, const struct msg *m, usec now)
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
static void
take_promise(struct keeper *k, const struct msg *m, usec now)
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

/* Passes a configuration that a host told on to who reads it. */
static void
take_told(struct keeper *k, const Gspar__SiteTold *told)
{
	const struct site *t = k->site == NULL ? NULL : k->site->p;
	struct str *text;

	if (t != NULL && told->version <= t->version)
		return;
	text = calloc(1, sizeof(*text));
	if (text != NULL && str_set(text, told->json.data, told->json.len) == 0)
		msg_post(k->s->kernel, "watch", MSG_TOLD, text, text_drop);
	else
		free(text);
}

/* Takes a frame from another host. */
static void
take_frame(struct keeper *k, const struct msg *m, usec now)
{
	switch (m->frame->body_case) {
	case GSPAR__FRAME__BODY_PROMISE_ASK:
		take_promise_ask(k, m, now);
		break;
	case GSPAR__FRAME__BODY_PROMISE:
		take_promise(k, m, now);
		break;
	case GSPAR__FRAME__BODY_OWNERS:
		spread_take(k, m->frame->owners, now);
		break;
	case GSPAR__FRAME__BODY_HOST_REPORT:
		report_take(k, m->host, m->frame->host_report, now);
		break;
	case GSPAR__FRAME__BODY_SITE_TOLD:
		take_told(k, m->frame->site_told);
		break;
	default:
		break;
	}
}

/* Takes the targets that are known now. */
static void
take_fleet(struct keeper *k, struct msg *m, usec now)
{
	int i;

	shared_unref(k->fleet);
	k->fleet = m->data;
	k->fleet_since = now;
	m->data = NULL;
	for (i = 0; i < k->nkeys; i++)
		keys_fleet(k->keys[i], k->fleet->p, now);
}

/* Takes one message. */
static void
take(struct keeper *k, struct msg *m, usec now)
{
	switch (m->kind) {
	case MSG_FRAME:
		take_frame(k, m, now);
		break;
	case MSG_STORED:
		take_stored(k, m->data, now);
		break;
	case MSG_SITE:
		shared_unref(k->site);
		k->site = m->data;
		m->data = NULL;
		if (k->acting)
			add_services(k, now);
		break;
	case MSG_FLEET:
		take_fleet(k, m, now);
		break;
	case MSG_HEAT:
		if (k->heat != NULL)
			heat_report_free(k->heat);
		k->heat = m->data;
		m->data = NULL;
		break;
	case MSG_STOP:
		k->stopping = 1;
		k->stop_since = now;
		break;
	case MSG_QUIT:
		k->stop = 1;
		break;
	default:
		break;
	}
	msg_free(m);
}

/* The thread. */
static void
keeper_run(struct service *s)
{
	struct keeper *k = s->state;
	struct msg *m;
	int running;
	usec now;

	while (!k->stop) {
		now = clock_mono();
		while ((m = ring_get(s->in)) != NULL)
			take(k, m, now);
		curl_multi_perform(k->multi, &running);
		now = clock_mono();
		orders_reap(k, now);
		tick(k, now);
		stop_tick(k, now);
		curl_multi_perform(k->multi, &running);
		curl_multi_poll(
		    k->multi, NULL, 0, k->acting ? TICK_MS : 4 * TICK_MS, NULL);
	}
}

/* Wakes the thread. */
static void
wake(void *multi)
{
	curl_multi_wakeup(multi);
}

/* Makes the service ready. */
static int
keeper_open(struct service *s)
{
	const struct conf *conf = kernel_conf(s->kernel);
	struct term_conf tc;
	struct keeper *k;

	k = calloc(1, sizeof(*k));
	if (k == NULL || (k->multi = curl_multi_init()) == NULL) {
		free(k);
		return (-1);
	}
	s->state = k;
	k->s = s;
	k->ops = &objects_target;
	k->heard = clock_mono();
	k->told_often = -1;
	memset(&tc, 0, sizeof(tc));
	name_copy(tc.self.host, sizeof(tc.self.host), conf->host);
	name_copy(tc.self.addr, sizeof(tc.self.addr), conf->reached);
	tc.self.boot = kernel_boot(s->kernel);
	tc.lease = MS(conf->control_lease_ms);
	tc.renew = MS(conf->renew_ms);
	tc.host_lease = HANDOVER;
	tc.told = 1;
	term_init(&k->term, &tc, &term_out, k, tc.self.boot);
	ring_on_put(s->in, wake, k->multi);
	return (0);
}

/* Frees all. */
static void
keeper_close(struct service *s)
{
	struct keeper *k = s->state;
	int i;

	ring_on_put(s->in, NULL, NULL);
	orders_drop(k);
	for (i = 0; i < k->nkeys; i++) {
		keys_free(k->keys[i]);
		free(k->keys[i]);
	}
	if (k->heat != NULL)
		heat_report_free(k->heat);
	shared_unref(k->site);
	shared_unref(k->fleet);
	curl_multi_cleanup(k->multi);
	free(k);
}

const struct service_ops keeper_service = {
    "control", 16384, keeper_open, keeper_run, keeper_close};
