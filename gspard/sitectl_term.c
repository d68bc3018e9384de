/*
 * Election of the controller: the record in the store, promises, standbys and
 * the release of control.
 */
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "hearing.h"
#include "sitectl.h"
#include "record.h"
#include "standby.h"
#include "version.h"

#define RECORD_PATH KIND_CONTROL "/main"
/* A standby may be silent for this much longer than other hosts: changing the
 * standbys is a write to the store. */
#define STANDBY_SLACK MS(300)
/*
 * Host lease for the term rules: a new controller waits it out after its
 * predecessor's control lease.  Here hosts hold no leases from the controller.
 */
#define HOST_LEASE MS(100)
/*
 * How long the promise of a stopping standby lasts after its final message.
 * Store outages and planned stops may coincide: at this length the
 * controller survives an outage of 8 s together with a stop of up to 5 s and
 * the following start.  With a longer time, a fleet whose controller is gone
 * for good and whose standbys were both killed would wait longer before keys
 * are granted again.
 */
#define FINAL_PROMISE_TIME MS(12000)
/*
 * A new controller waits this long before it releases control, as it does not
 * become known to all hosts at once.
 */
#define NEW_CONTROLLER_GRACE MS(2000)
/*
 * A host that released control because it heard from too few hosts is no
 * candidate for this long; a network partition between data centres lasts for
 * seconds.
 */
#define YIELD_TIME MS(4000)
/* Time allowed for moves of keys to complete before control is released. */
#define HANDOVER_WAIT_MAX MS(900)
/* Interval of choosing standbys; hosts report every 200 ms. */
#define STANDBYS_INTERVAL MS(100)
/* Interval of a standby's probes of the store. */
#define STORE_PROBE_INTERVAL MS(1000)

/* Reads the control record from the store. */
static void
get_record(void *arg)
{
	struct sitectl *k = arg;
	struct store *st = store_new(STORE_GET, "control", RECORD_PATH);

	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), "term");
	store_send(k->s->kernel, st);
}

/* Writes the control record if its version is still base. */
static void
put_record(void *arg, uint64_t base, const struct control_record *r)
{
	struct sitectl *k = arg;
	struct store *st = store_new(STORE_PUT, "control", RECORD_PATH);

	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), "term");
	st->base = base;
	st->generation = r->write_id;
	record_encode(r, &st->body);
	store_send(k->s->kernel, st);
}

/* Sends a promise request to a standby. */
static void
send_promise_request(void *arg, const struct member *m, uint64_t term)
{
	struct sitectl *k = arg;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__PromiseAsk ask = GSPAR__PROMISE_ASK__INIT;

	ask.term = term;
	ask.seq = ++k->promise_seq;
	ask.boot = m->boot;
	ask.late = term_renewal_late(&k->term, clock_mono());
	k->promise_requested_at[ask.seq % SITECTL_PROMISES_MAX] = clock_mono();
	f.body_case = GSPAR__FRAME__BODY_PROMISE_ASK;
	f.promise_ask = &ask;
	send_frame(k->s->kernel, m->host, 0, &f);
}

/* Logs a change of the term's state and adds it to the events. */
static void
term_event(void *arg, const char *what)
{
	struct sitectl *k = arg;

	log_line(LOG_NOTICE, "control", "Term %llu: %s.",
	    (unsigned long long)k->term.rec.term, what);
	event_add("control", 0, "%s", what);
}

static const struct term_callbacks term_callbacks = {
    get_record, put_record, send_promise_request, term_event};

/* Initializes the term with this host's settings. */
void
sitectl_term_init(struct sitectl *k)
{
	const struct conf *conf = kernel_conf(k->s->kernel);
	struct term_conf tc;

	memset(&tc, 0, sizeof(tc));
	name_copy(tc.self.host, sizeof(tc.self.host), conf->host);
	name_copy(tc.self.addr, sizeof(tc.self.addr), conf->advertised);
	tc.self.boot = kernel_boot(k->s->kernel);
	tc.lease = MS(conf->control_lease_ms);
	tc.renew = MS(conf->renew_ms);
	tc.host_lease = HOST_LEASE;
	tc.version_announced = 1;
	tc.final_promise = FINAL_PROMISE_TIME;
	tc.bootstrap_delay = bootstrap_delay(sitectl_capacity(k));
	term_init(&k->term, &tc, &term_callbacks, k, tc.self.boot);
}

/* True if a host can be a standby. */
static int
can_be_standby(const struct sitectl *k, const struct host_entry *h, usec now)
{
	return (!h->stopping &&
	    now - h->last_heard < report_silence(k->hosts.n) + STANDBY_SLACK &&
	    strcmp(h->process.host, sitectl_self(k)) != 0);
}

/* True if the control record lists a process as a standby. */
static int
is_standby_process(const struct sitectl *k, const struct member *m)
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

/* True if this host is a standby. */
int
sitectl_is_standby(const struct sitectl *k)
{
	return (!k->stopping && is_standby_process(k, &k->term.conf.self));
}

/* Lists the hosts that can be standbys, and their number; the caller frees the
 * list.  NULL if memory runs out. */
static struct candidate *
candidates(const struct sitectl *k, int *count, usec now)
{
	const struct host_entry *h;
	struct candidate *c;
	int i, n = 0;

	c = calloc((size_t)k->hosts.n + 1, sizeof(*c));
	for (i = 0; c != NULL && i < k->hosts.n; i++) {
		h = &k->hosts.list[i];
		if (!can_be_standby(k, h, now))
			continue;
		c[n].process = h->process;
		name_copy(c[n].dc, sizeof(c[n].dc), h->dc);
		c[n].max_hosts = h->max_hosts;
		c[n].is_standby = is_standby_process(k, &h->process);
		c[n].store = h->store_reachable;
		n++;
	}
	*count = n;
	return (c);
}

/* Chooses the standbys among the hosts that are heard from. */
void
sitectl_choose_standbys(struct sitectl *k, usec now)
{
	struct member want[STANDBYS_MAX];
	struct candidate *c;
	int n;

	if (now < k->next_standbys)
		return;
	k->next_standbys = now + STANDBYS_INTERVAL;
	if ((c = candidates(k, &n, now)) == NULL)
		return;
	n = standbys_pick(c, n, kernel_conf(k->s->kernel)->dc, want);
	term_set_standbys(&k->term, want, n);
	free(c);
}

/*
 * Releases control if most hosts are no longer heard from, and is no candidate
 * for a while.  This host counts as heard from.
 */
void
sitectl_yield_if_isolated(struct sitectl *k, usec now)
{
	usec *heard;
	int i, n = 0, isolated;

	if (!k->acting) {
		k->acting_since = now;
		if (k->yielded && now >= k->eligible_at && !k->stopping) {
			k->yielded = 0;
			term_rejoin(&k->term);
		}
		return;
	}
	if (k->yielded || k->resigned ||
	    now - k->acting_since < NEW_CONTROLLER_GRACE ||
	    (heard = calloc((size_t)k->hosts.n + 1, sizeof(*heard))) == NULL)
		return;
	for (i = 0; i < k->hosts.n; i++) {
		if (!k->hosts.list[i].stopping)
			heard[n++] = k->hosts.list[i].last_heard;
	}
	isolated = !hears_most_hosts(heard, n, now);
	free(heard);
	if (!isolated)
		return;
	log_line(LOG_WARNING, "control",
	    "Most of %d hosts are no longer heard from, releasing control.", n);
	k->yielded = 1;
	k->eligible_at = now + YIELD_TIME;
	term_resign(&k->term, now);
}

/*
 * Decodes the control record.  One that is not valid is taken for a record
 * without a controller, under a term after the last one that is known.  If it
 * were refused it would block control forever, as no host may overwrite a
 * record that it could not read.
 */
static void
read_record(struct sitectl *k, const struct store *st, struct control_record *r)
{
	if (record_decode(&st->body, r) == 0)
		return;
	log_line(LOG_ERR, "control",
	    "Control record version %llu is not valid, taken as vacant.",
	    (unsigned long long)version_revision(st->version));
	memset(r, 0, sizeof(*r));
	r->term = k->controller_term;
	r->era = k->term.era.number;
}

/*
 * True if a stopping controller must keep control.  While the store is
 * unavailable no other host can take control: if it were given up, no grant
 * would be renewed, and all keys would be without an owner from 3 s later until
 * the store is back.
 */
static int
must_keep_control(const struct sitectl *k, usec now)
{
	return (k->acting && k->stopping && now < k->stop_by &&
	    term_renewal_late(&k->term, now) && term_may_renew(&k->term, now));
}

/* Resigns; for good if the host is stopping. */
static void
resign(struct sitectl *k, usec now)
{
	k->resigned = 1;
	k->had_control = k->acting;
	if (k->stopping)
		term_leave(&k->term, now);
	else
		term_resign(&k->term, now);
}

/*
 * Releases control once no move of keys is in progress and all changes are
 * stored, or after HANDOVER_WAIT_MAX.  The next controller then need not wait
 * for grants of both the old and the new owner of a range to lapse.
 */
void
sitectl_release_control(struct sitectl *k, usec now)
{
	int i, ready = 1;

	for (i = 0; i < k->nkeys; i++) {
		keys_begin_handover(k->keys[i]);
		ready &= keys_handover_ready(k->keys[i]);
	}
	if (!k->resigned &&
	    (ready || now - k->handover_since > HANDOVER_WAIT_MAX) &&
	    !must_keep_control(k, now))
		resign(k, now);
	/*
	 * Saves the others the wait for missed heartbeats.  If a host that was
	 * not the controller sent this, the others would lose their controller:
	 * each planned stop made all of them call the store, 225 calls in a
	 * fleet of 76 hosts, and send no reports until the next heartbeat.
	 */
	if (k->had_control && k->term.role == TERM_FOLLOWER)
		broadcast_resignation(k, now);
}

/* Returns the number of hosts that this host could control. */
int
sitectl_capacity(const struct sitectl *k)
{
	const struct conf *conf = kernel_conf(k->s->kernel);

	return (host_capacity(conf->cores, conf->link_mbps));
}

/*
 * Releases control, if this host is overloaded, once a larger standby can take
 * it.
 */
void
sitectl_yield_to_larger(struct sitectl *k, usec now)
{
	struct candidate *c;
	int n, ready;

	if (k->stopping)
		return;
	if (k->handover_since != 0) {
		sitectl_release_control(k, now);
		if (k->term.role == TERM_HOLDER)
			return;
		k->handover_since = 0;
		k->resigned = 0;
		k->had_control = 0;
		k->yielded = 1;
		k->eligible_at = now + YIELD_TIME;
		return;
	}
	if (!k->acting || k->yielded ||
	    now - k->acting_since < NEW_CONTROLLER_GRACE ||
	    !is_overloaded(sitectl_capacity(k), k->hosts.n))
		return;
	if ((c = candidates(k, &n, now)) == NULL)
		return;
	ready = larger_standby_ready(c, n, sitectl_capacity(k), k->hosts.n);
	free(c);
	if (!ready)
		return;
	log_line(LOG_NOTICE, "control",
	    "This host can control %d of %d hosts, "
	    "releasing control to a larger one.",
	    sitectl_capacity(k), k->hosts.n);
	k->handover_since = now;
}

/*
 * Probes the store while this host is a standby of an overloaded controller, so
 * that it can report whether it could take over.  Hosts that get updates from a
 * controller do not call the store otherwise and could not tell.
 */
void
sitectl_probe_store(struct sitectl *k, usec now)
{
	struct member self = k->term.conf.self;

	if (!k->controller_overloaded || k->acting ||
	    now < k->next_store_probe || !is_standby_process(k, &self) ||
	    is_overloaded(sitectl_capacity(k), k->hosts.n))
		return;
	k->next_store_probe = now + STORE_PROBE_INTERVAL;
	get_record(k);
}

/* Handles the result of a store call for the control record. */
void
sitectl_record_done(struct sitectl *k, const struct store *st, usec now)
{
	struct control_record r;

	if (st->result == STORE_DONE)
		k->store_answered_at = now;
	if (st->op == STORE_PUT) {
		if (st->generation == k->term.put_rec.write_id)
			term_put_done(
			    &k->term, now, sitectl_put_result(st), st->version);
	} else if (st->result == STORE_NOT_FOUND)
		term_get_done(&k->term, now, 0, 0, NULL);
	else if (st->result == STORE_DONE) {
		read_record(k, st, &r);
		term_get_done(&k->term, now, 1, st->version, &r);
	} else
		term_get_failed(&k->term, now);
}

/* Handles a promise request of the controller. */
void
sitectl_promise_request(struct sitectl *k, const struct msg *m, usec now)
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

/* Returns the kind of promise in a standby's reply. */
static enum promise_kind
promise_kind_of(const Gspar__Promise *p)
{
	if (!p->yes)
		return (PROMISE_NONE);
	return (p->left ? PROMISE_FINAL : PROMISE_LEASE);
}

/* Handles a standby's reply to a promise request. */
void
sitectl_promise_reply(struct sitectl *k, const struct msg *m, usec now)
{
	const Gspar__Promise *p = m->frame->promise;
	struct member who;

	if (k->promise_seq - p->seq >= SITECTL_PROMISES_MAX)
		return;
	memset(&who, 0, sizeof(who));
	name_copy(who.host, sizeof(who.host), m->host);
	who.boot = p->boot;
	term_promise_reply(&k->term, now, &who, p->term, promise_kind_of(p),
	    k->promise_requested_at[p->seq % SITECTL_PROMISES_MAX]);
}
