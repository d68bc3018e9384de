#include <string.h>

#include "lease.h"
#include "term.h"

/* A host that is not listed leaves the listed standbys time to take over. */
#define UNLISTED_WAIT MS(2000)
/* A standby stays with a holder that cannot write for this long. */
#define STUCK_AFTER MS(3000)
/* The same where the holder says itself that its lease has run out: the record
 * is read only then, and has stood for a lease already. */
#define STUCK_TOLD MS(1200)
/* Between reads of a host that is no standby. */
#define IDLE_READ MS(1000)
/* A host that is not listed leaves listed ones so long to take what is free. */
#define FREE_WAIT MS(150)
/* Spreads the first takers of a new cell. */
#define FIRST_SPREAD MS(200)
/* Between asks for promises while the platform answers in time. */
#define ASK_RARELY MS(1000)

/* True where both name the same process. */
static int
same(const struct member *a, const struct member *b)
{
	return (a->boot == b->boot && strcmp(a->host, b->host) == 0);
}

/* True where the record lists the process as standby. */
static int
lists(const struct record *r, const struct member *m)
{
	int i;

	for (i = 0; i < r->nstandby; i++) {
		if (same(&r->standby[i], m))
			return (1);
	}
	return (0);
}

/* True where a process that runs now proves that another has ended: both bind
 * the same address, which only one can at a time. */
static int
replaces(const struct member *now_runs, const struct member *was)
{
	return (now_runs->addr[0] != '\0' && now_runs->boot != was->boot &&
	    strcmp(now_runs->host, was->host) == 0 &&
	    strcmp(now_runs->addr, was->addr) == 0);
}

/* Prepares the rules of one cell; seed is random and differs by process. */
void
term_init(struct term *t, const struct term_conf *conf,
    const struct term_out *out, void *arg, uint64_t seed)
{
	memset(t, 0, sizeof(*t));
	t->conf = *conf;
	t->out = out;
	t->arg = arg;
	t->seed = seed;
	t->eligible = 1;
}

/* A write id that no other write has. */
static uint64_t
write_id(struct term *t)
{
	t->seed = t->seed * 6364136223846793005u + 1442695040888963407u;
	return (t->seed ^ t->conf.self.boot);
}

/* Sends a write; its outcome is unknown until term_put_ended says PUT_DONE. */
static void
put(struct term *t, usec now, const struct record *r)
{
	t->put_rec = *r;
	t->put_rec.write_id = write_id(t);
	t->put_base = t->version;
	t->put_sent = now;
	t->put_open = 1;
	t->put_lost = 0;
	t->next_put = now + t->conf.renew;
	t->out->put(t->arg, t->put_base, &t->put_rec);
}

/* The promise of a standby, made if there is none yet. */
static struct promise *
promise_of(struct term *t, const struct member *m)
{
	int i;

	for (i = 0; i < t->npromises; i++) {
		if (same(&t->promises[i].who, m))
			return (&t->promises[i]);
	}
	if (t->npromises == 2 * STANDBYS) {
		memmove(&t->promises[0], &t->promises[1],
		    sizeof(t->promises[0]) * (2 * STANDBYS - 1));
		t->npromises--;
	}
	memset(&t->promises[t->npromises], 0, sizeof(t->promises[0]));
	t->promises[t->npromises].who = *m;
	return (&t->promises[t->npromises++]);
}

/* True where each standby of the record has promised beyond now. */
static int
all_promised(const struct term *t, const struct record *r, usec now)
{
	int i, k;

	if (r->nstandby == 0)
		return (0);
	for (i = 0; i < r->nstandby; i++) {
		for (k = 0; k < t->npromises; k++) {
			if (same(&t->promises[k].who, &r->standby[i]) &&
			    t->promises[k].until > now)
				break;
		}
		if (k == t->npromises)
			return (0);
	}
	return (1);
}

/*
 * True while the holder may renew hosts' leases: its own lease in the
 * platform runs, or every listed standby has promised not to take over.
 *
 * While a change of the list is open, the write may have taken effect unknown
 * to us, so the promises of both lists are needed: a standby of the list we
 * believe gone could otherwise take over while we still renew.
 */
int
term_may_renew(const struct term *t, usec now)
{
	if (t->role != TERM_HOLDER)
		return (0);
	/*
	 * Giving control back may have taken effect unknown to us, and a
	 * standby then takes over at once, without waiting for a lapse.
	 */
	if (t->put_open && t->put_rec.holder.host[0] == '\0')
		return (0);
	if (now < t->lease_until)
		return (1);
	if (!all_promised(t, &t->rec, now))
		return (0);
	return (!t->put_open || all_promised(t, &t->put_rec, now));
}

/*
 * True once each host lease that an earlier controller gave has lapsed.  The
 * earlier one could renew until just before we took over, so this waits a
 * whole host lease from then.
 */
int
term_settled(const struct term *t, usec now)
{
	return (
	    t->role == TERM_HOLDER && !t->must_withdraw && now >= t->settle_at);
}

/*
 * True once targets that no host has spoken of may be given a dispatcher.
 * Where standbys have not withdrawn, an old controller cut off with them may
 * still keep a dispatcher for a target: both would grant it the same shards,
 * for the assignments are claimed, so no key has two owners; and no ticket
 * runs twice, for each is known to one dispatcher's table only.
 */
int
term_may_dispatch(const struct term *t, usec now)
{
	return (t->role == TERM_HOLDER && now >= t->dispatch_at);
}

/* Stops being holder or taker. */
static void
follow(struct term *t, const char *why)
{
	if (t->role != TERM_FOLLOWER)
		t->out->event(t->arg, why);
	t->role = TERM_FOLLOWER;
	t->put_open = 0;
	t->put_lost = 0;
}

/* Becomes or remains holder: our write is known to have taken effect. */
static void
hold(struct term *t, usec now, uint64_t version)
{
	int was = t->role;
	int listed;

	listed = lists(&t->rec, &t->conf.self) || t->rec.nstandby == 0 ||
	    t->version == 0 || t->rec.holder.host[0] == '\0';
	if (was == TERM_TAKING) {
		t->taken_from = t->rec;
		/*
		 * A listed taker withholds its own promise, which breaks the
		 * unanimity the old holder needs.  An unlisted one cannot know
		 * that: the old holder, cut off with its standbys, may still
		 * renew, and two owners would follow from counting its leases
		 * as lapsed.  So a listed standby must withdraw first.
		 */
		t->must_withdraw = !listed;
		t->settle_at = lease_granter_end(now, t->conf.host_lease);
		t->dispatch_at = t->settle_at;
		t->npromises = 0;
	}
	t->role = TERM_HOLDER;
	term_process_seen(t, now, &t->conf.self);
	t->rec = t->put_rec;
	t->version = version;
	t->known = 1;
	t->first_seen = now;
	t->last_seen = now;
	t->lease_until = lease_holder_end(t->put_sent, t->conf.lease);
	t->put_open = 0;
	t->put_lost = 0;
	if (was == TERM_TAKING)
		t->out->event(t->arg,
		    listed ? "control taken" : "control taken, not listed");
	if (t->rec.holder.host[0] == '\0')
		follow(t, "control given back");
}

/* The outcome of the open write. */
void
term_put_ended(struct term *t, usec now, enum put_result res, uint64_t version)
{
	if (!t->put_open)
		return;
	switch (res) {
	case PUT_DONE:
		hold(t, now, version);
		break;
	case PUT_CONFLICT:
	case PUT_LOST:
		/*
		 * Neither done nor not done: an earlier try of the same write
		 * may be what stands in the way.  Only the record tells.
		 */
		t->put_lost = 1;
		t->next_get = now;
		break;
	}
}

/* How long this host sees no record before it makes the first. */
static usec
first_need(const struct term *t)
{
	return (t->conf.first_wait +
	    (usec)(t->conf.self.boot % (uint64_t)FIRST_SPREAD));
}

/* Notes a read record and how long it has stood unchanged. */
static void
see(struct term *t, usec now, uint64_t version, const struct record *r)
{
	/*
	 * Two looks far apart say nothing of the time between: after an outage
	 * of the platform the record stands as it did before, and the holder,
	 * which has not had a chance to write, would be taken for stuck.
	 */
	if (!t->known || t->version != version ||
	    now - t->last_seen > 2 * t->conf.lease) {
		t->first_seen = now;
		/* Its holder said so earlier: it has stood since then. */
		if (version != 0 && version == t->heard_version &&
		    now - t->heard_at <= 2 * t->conf.lease)
			t->first_seen = t->heard_at;
	}
	t->known = 1;
	t->version = version;
	t->last_seen = now;
	if (r != NULL)
		t->rec = *r;
	else
		memset(&t->rec, 0, sizeof(t->rec));
	if (lists(&t->rec, &t->conf.self) &&
	    t->next_get > now + t->conf.renew / 2)
		t->next_get = now + t->conf.renew / 2;
	/*
	 * The next look at a new cell is when this host's time has come. Looked
	 * at in step, all hosts of a fleet that starts find with the same look
	 * that their time has come, and all write: 77 writes and 227 reads of
	 * 76 hosts that start.
	 */
	if (version == 0 && t->first_seen == now)
		t->next_get = now + first_need(t);
}

/* A read of the record was answered; found is 0 where there is none. */
void
term_got(struct term *t, usec now, int found, uint64_t version,
    const struct record *r)
{
	t->get_open = 0;
	if (!found)
		version = 0;
	if (t->put_open && !t->put_lost)
		return;
	if (!t->put_lost) {
		see(t, now, version, found ? r : NULL);
		if (t->role == TERM_HOLDER &&
		    (!found || !same(&r->holder, &t->conf.self)))
			follow(t, "control lost to another");
		return;
	}
	if (found && r->write_id == t->put_rec.write_id) {
		hold(t, now, version);
		return;
	}
	if (version == t->put_base) {
		/*
		 * Not there yet, but a write that was lost on its way may
		 * still land.  The same write again, with the same id and
		 * base: whichever lands first kills the other.
		 */
		t->put_lost = 0;
		t->out->put(t->arg, t->put_base, &t->put_rec);
		return;
	}
	/* The version moved past our base: our write is dead for good. */
	see(t, now, version, found ? r : NULL);
	follow(t, "control lost to another");
}

/* The holder asked, and said that it lives by promises alone. */
void
term_asked_late(struct term *t, usec now)
{
	t->asked_late_at = now;
}

/* The holder told which version it wrote last. */
void
term_heard(struct term *t, usec now, uint64_t version)
{
	t->heard_version = version;
	t->heard_at = now;
}

/*
 * Another was heard to control under a later term: its write took effect, so
 * this host's control is over, though its lease or its promises still run.  It
 * would go on for a lease by what it knew when it was cut off.
 */
void
term_outdone(struct term *t, usec now, uint64_t term)
{
	if (t->role != TERM_HOLDER || term <= t->rec.term)
		return;
	follow(t, "control lost to another, by its word");
	t->known = 0;
	t->next_get = now;
}

/* True where the holder's own lease has run out, or is about to. */
int
term_late(const struct term *t, usec now)
{
	return (now > t->lease_until - t->conf.renew);
}

/* A read failed; nothing is learned from that. */
void
term_get_failed(struct term *t, usec now)
{
	t->get_open = 0;
}

/* How long a promise of a kind lasts. */
static usec
promise_span(const struct term *t, enum promise_kind kind)
{
	if (kind == PROMISE_LEFT && t->conf.left_promise > t->conf.lease)
		return (t->conf.left_promise);
	return (t->conf.lease);
}

/*
 * A holder asks for this host's promise not to take over.  The promise is for
 * one process: one that restarted has another boot number, has forgotten what
 * it promised, and must not be counted.
 */
enum promise_kind
term_asked(struct term *t, usec now, uint64_t term, uint64_t boot)
{
	if (term > t->top_term)
		t->top_term = term;
	t->asked_at = now;
	/* Asked, so listed in a record newer than the one read last. */
	if (!lists(&t->rec, &t->conf.self))
		t->next_get = now;
	if (boot != t->conf.self.boot || t->put_open)
		return (PROMISE_NONE);
	/* Whoever answered a later term has withdrawn from the earlier. */
	if (t->role == TERM_HOLDER || term < t->rec.term || term < t->top_term)
		return (PROMISE_NONE);
	/*
	 * It stops, and never takes control again: its promise can outlive it.
	 * While the store is away no other standby can be named, and a holder
	 * that lost this promise with the process would let all keys lapse.
	 */
	if (t->left)
		return (PROMISE_LEFT);
	if (t->resigned)
		return (PROMISE_NONE);
	/*
	 * This host reaches the platform and sees that the holder has long
	 * been unable to write: staying with it would freeze the cell, for it
	 * can renew but never change.
	 */
	if (t->known && term == t->rec.term &&
	    t->last_seen - t->first_seen >
		(t->conf.told ? STUCK_TOLD : STUCK_AFTER))
		return (PROMISE_NONE);
	t->promised_until = lease_granter_end(now, t->conf.lease);
	return (PROMISE_LEASE);
}

/* When what the earlier holder gave has lapsed, where its last promise ends
 * within a span: a whole host lease after that. */
static usec
settled_after(const struct term *t, usec now, usec span)
{
	return (lease_granter_end(
	    lease_granter_end(now, span), t->conf.host_lease));
}

/* The earlier holder's last promise ends within a span. */
static void
settle_after(struct term *t, usec now, usec span)
{
	t->must_withdraw = 0;
	t->settle_at = settled_after(t, now, span);
}

/*
 * A standby answered.  Its promise counts from when it was asked for: the
 * answer may have waited on its way, and the standby counts from answering.
 */
void
term_promised(struct term *t, usec now, const struct member *who, uint64_t term,
    enum promise_kind kind, usec asked)
{
	struct promise *p;

	if (t->role != TERM_HOLDER || term != t->rec.term)
		return;
	if (t->must_withdraw) {
		if (!lists(&t->taken_from, who))
			return;
		/*
		 * Any answer under our term withdraws: the asked one gives the
		 * old holder no more promises, and what it gave runs out
		 * within a control lease; then a whole host lease.  A new
		 * process of the same name is no proof that the old is gone.
		 * One that stops may have given its last, longer one.
		 */
		settle_after(t, now, promise_span(t, kind));
		t->out->event(t->arg, "a standby withdrew");
		return;
	}
	if (kind == PROMISE_NONE)
		return;
	p = promise_of(t, who);
	if (asked > p->asked) {
		p->asked = asked;
		p->until = lease_holder_end(asked, promise_span(t, kind));
	}
}

/*
 * A process of the system was heard.  Where it has taken the place of the
 * holder that control was taken from, or of one of its standbys, that process
 * has ended, and no listed standby need withdraw.  Without this a fleet whose
 * hosts all restarted at once would wait for ever for processes that are gone.
 */
void
term_process_seen(struct term *t, usec now, const struct member *m)
{
	int i, holder, standby = 0;

	if (t->role != TERM_HOLDER || !t->must_withdraw)
		return;
	holder = replaces(m, &t->taken_from.holder);
	for (i = 0; i < t->taken_from.nstandby; i++)
		standby |= replaces(m, &t->taken_from.standby[i]);
	if (!holder && !standby)
		return;
	/* The standby may have stopped in order, and left a longer promise. */
	settle_after(t, now, holder ? 0 : promise_span(t, PROMISE_LEFT));
	t->out->event(t->arg, "a process of the earlier controller has ended");
}

/*
 * A process said which term it follows.  Where it is the holder that control
 * was taken from and the term is this host's, it gives nothing any more under
 * its own, and no promise that was left to it need run out.
 */
void
term_yielded(struct term *t, usec now, const struct member *who, uint64_t term)
{
	if (t->role != TERM_HOLDER || term < t->rec.term ||
	    !same(&t->taken_from.holder, who))
		return;
	/* Said again, it puts nothing off. */
	if (!t->must_withdraw && t->settle_at <= settled_after(t, now, 0))
		return;
	settle_after(t, now, 0);
	t->out->event(t->arg, "the earlier controller has yielded");
}

/* Names the standbys the holder should have; written when they differ. */
void
term_standbys(struct term *t, const struct member *m, int n)
{
	t->nwant = n > STANDBYS ? STANDBYS : n;
	memcpy(t->want, m, sizeof(*m) * (size_t)t->nwant);
}

/* This host gives control back, promises nothing and takes nothing more. */
void
term_resign(struct term *t, usec now)
{
	t->resigned = 1;
	t->eligible = 0;
}

/* This host's process stops: the same, and for good. */
void
term_leave(struct term *t, usec now)
{
	term_resign(t, now);
	t->left = 1;
}

/* This host may take control again after it gave it back. */
void
term_return(struct term *t)
{
	t->resigned = 0;
	t->eligible = 1;
}

/* True where the record has stood unchanged for a whole lease and more. */
static int
lapsed(const struct term *t, usec now)
{
	usec need;

	if (!t->known || t->get_open)
		return (0);
	if (t->version == 0)
		need = first_need(t);
	else if (t->rec.holder.host[0] == '\0')
		/* Where all hear of it at once, standbys go first. */
		need = t->conf.told && !lists(&t->rec, &t->conf.self)
		    ? FREE_WAIT
		    : 0;
	else if (replaces(&t->conf.self, &t->rec.holder))
		/* This process has the holder's place: the holder has ended. */
		return (1);
	else
		need = lease_granter_end(0, t->conf.lease);
	if (t->version != 0 && !lists(&t->rec, &t->conf.self) &&
	    t->rec.holder.host[0] != '\0')
		need += UNLISTED_WAIT;
	else if (t->rec.nstandby > 1 && same(&t->rec.standby[1], &t->conf.self))
		need += t->conf.renew / 2;
	return (t->last_seen - t->first_seen >= need);
}

/*
 * True where this host has cause to read the record.  A host that a controller
 * renews has none: reads would grow with the hosts, and the platform's rate
 * does not.
 */
static int
must_read(const struct term *t, usec now)
{
	if (!t->known || t->version == 0 || t->lonely)
		return (1);
	/*
	 * Two standbys that read at each renewal make most of the calls of a
	 * calm fleet.  What the holder tells them is as good a witness of when
	 * the version stood; they read once it falls silent, or says that it
	 * lives by promises.
	 */
	if (t->conf.told)
		return (t->asked_late_at != 0 &&
		    now - t->asked_late_at < 2 * t->conf.lease);
	return (lists(&t->rec, &t->conf.self) ||
	    now - t->asked_at < 2 * t->conf.lease);
}

/* What a follower does: watch the record, and take over a lapsed one. */
static void
tick_follower(struct term *t, usec now)
{
	struct record r;
	usec every;
	int free_now;

	/* A holder that gave control back, or has ended, needs no promise any
	 * more. */
	free_now = t->version != 0 &&
	    (t->rec.holder.host[0] == '\0' ||
		replaces(&t->conf.self, &t->rec.holder));
	if (lapsed(t, now) && t->eligible &&
	    (now >= t->promised_until || free_now)) {
		memset(&r, 0, sizeof(r));
		r.term = t->rec.term + 1;
		r.holder = t->conf.self;
		t->role = TERM_TAKING;
		t->out->event(t->arg, "taking control");
		put(t, now, &r);
		return;
	}
	if (t->get_open || now < t->next_get || !must_read(t, now))
		return;
	every = lists(&t->rec, &t->conf.self) || t->version == 0 || free_now
	    ? t->conf.renew / 2
	    : IDLE_READ;
	t->next_get = now + every;
	t->get_open = 1;
	t->out->get(t->arg);
}

/* True where the record's standbys are those wanted. */
static int
standbys_fit(const struct term *t)
{
	int i;

	if (t->rec.nstandby != t->nwant)
		return (0);
	for (i = 0; i < t->nwant; i++) {
		if (!lists(&t->rec, &t->want[i]))
			return (0);
	}
	return (1);
}

/*
 * How soon to ask for promises again.  While the platform answers they are
 * not needed, only that standbys know that they are ones; once a renewal is
 * late there is still half a lease left to collect them.
 */
static usec
ask_every(const struct term *t, usec now)
{
	int late = now > t->lease_until - t->conf.lease / 2;

	return (late || t->must_withdraw ? t->conf.renew : ASK_RARELY);
}

/* What a holder does: renew its lease and ask for promises. */
static void
tick_holder(struct term *t, usec now)
{
	const struct record *r;
	struct record next;
	int i;

	if (now >= t->next_ask) {
		t->next_ask = now + ask_every(t, now);
		r = t->must_withdraw ? &t->taken_from : &t->rec;
		for (i = 0; i < r->nstandby; i++)
			t->out->ask(t->arg, &r->standby[i], t->rec.term);
		for (i = 0; t->put_open && i < t->put_rec.nstandby; i++) {
			if (!lists(r, &t->put_rec.standby[i]))
				t->out->ask(t->arg, &t->put_rec.standby[i],
				    t->rec.term);
		}
	}
	if (now > t->lease_until - t->conf.lease / 2 &&
	    t->next_ask > now + t->conf.renew)
		t->next_ask = now;
	if (t->put_open || now < t->next_put)
		return;
	next = t->rec;
	if (t->resigned)
		memset(&next.holder, 0, sizeof(next.holder));
	else if (!standbys_fit(t) && !t->must_withdraw) {
		memcpy(next.standby, t->want, sizeof(next.standby));
		next.nstandby = t->nwant;
		t->next_ask = now;
	}
	put(t, now, &next);
}

/* Does what is due; call it often, at least every renewal time. */
void
term_tick(struct term *t, usec now)
{
	if (t->put_lost && !t->get_open && now >= t->next_get) {
		t->next_get = now + t->conf.renew;
		t->get_open = 1;
		t->out->get(t->arg);
	}
	switch (t->role) {
	case TERM_FOLLOWER:
		tick_follower(t, now);
		break;
	case TERM_HOLDER:
		tick_holder(t, now);
		break;
	case TERM_TAKING:
		break;
	}
}
