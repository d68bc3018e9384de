#include <string.h>

#include "lease.h"
#include "term.h"

/*
 * Additional delay of a host that is not a standby before it takes over a
 * lapsed record, so that the standbys go first.
 */
#define UNLISTED_DELAY MS(2000)
/*
 * A host that takes control from a stale record raises the term by this much,
 * as a copy that is seconds old may lack a few terms.
 */
#define STALE_TERM_STEP 1000
/*
 * A standby refuses promises once the record of a holder that cannot write has
 * been unchanged for this long.
 */
#define HOLDER_STUCK_AFTER MS(3000)
/*
 * A standby refuses promises this early if the holder itself reports that its
 * lease has expired: standbys read the record only then, when it has been
 * unchanged for a control lease already.
 */
#define LATE_HOLDER_STUCK_AFTER MS(1200)
/* Interval between reads of a host that is not a standby. */
#define IDLE_READ_INTERVAL MS(1000)
/* Delay of a host that is not a standby before it takes a vacant record. */
#define VACANT_DELAY MS(150)
/* Range of the delays before hosts create the record of a new cell. */
#define BOOTSTRAP_JITTER MS(200)
/* Interval between promise requests while the platform answers in time. */
#define PROMISE_INTERVAL MS(1000)

/* True if both are the same process. */
static int
same_process(const struct member *a, const struct member *b)
{
	return (a->boot == b->boot && strcmp(a->host, b->host) == 0);
}

/* True if the record lists the process as standby. */
static int
lists_standby(const struct control_record *r, const struct member *m)
{
	int i;

	for (i = 0; i < r->nstandby; i++) {
		if (same_process(&r->standby[i], m))
			return (1);
	}
	return (0);
}

/*
 * True if a running process proves that an earlier one has ended: both bind the
 * same address, which only one can at a time.
 */
static int
replaces(const struct member *running, const struct member *was)
{
	return (running->addr[0] != '\0' && running->boot != was->boot &&
	    strcmp(running->host, was->host) == 0 &&
	    strcmp(running->addr, was->addr) == 0);
}

/* Initializes the state for one cell; seed is random and differs by process. */
void
term_init(struct term *t, const struct term_conf *conf,
    const struct term_callbacks *cb, void *arg, uint64_t seed)
{
	memset(t, 0, sizeof(*t));
	t->conf = *conf;
	t->cb = cb;
	t->arg = arg;
	t->seed = seed;
	t->eligible = 1;
}

/* Returns a write id that no other write has. */
static uint64_t
write_id(struct term *t)
{
	t->seed = t->seed * 6364136223846793005u + 1442695040888963407u;
	return (t->seed ^ t->conf.self.boot);
}

/*
 * Starts a write; its outcome is unknown until term_put_done() gets PUT_DONE.
 */
static void
put(struct term *t, usec now, const struct control_record *r)
{
	t->put_rec = *r;
	t->put_rec.write_id = write_id(t);
	t->put_rec.era = t->era.number;
	t->base_version = t->version;
	t->put_sent = now;
	t->put_pending = 1;
	t->put_unknown = 0;
	t->next_put = now + t->conf.renew;
	t->cb->put(t->arg, t->base_version, &t->put_rec);
}

/*
 * Finds the promise of a standby, or adds one; drops the oldest if the table
 * is full.
 */
static struct promise *
promise_of(struct term *t, const struct member *m)
{
	int i;

	for (i = 0; i < t->npromises; i++) {
		if (same_process(&t->promises[i].process, m))
			return (&t->promises[i]);
	}
	if (t->npromises == 2 * STANDBYS_MAX) {
		memmove(&t->promises[0], &t->promises[1],
		    sizeof(t->promises[0]) * (2 * STANDBYS_MAX - 1));
		t->npromises--;
	}
	memset(&t->promises[t->npromises], 0, sizeof(t->promises[0]));
	t->promises[t->npromises].process = *m;
	return (&t->promises[t->npromises++]);
}

/*
 * True if every standby of the record, and at least one, has a promise beyond
 * now.
 */
static int
all_promised(const struct term *t, const struct control_record *r, usec now)
{
	int i, k;

	if (r->nstandby == 0)
		return (0);
	for (i = 0; i < r->nstandby; i++) {
		for (k = 0; k < t->npromises; k++) {
			if (same_process(
				&t->promises[k].process, &r->standby[i]) &&
			    t->promises[k].until > now)
				break;
		}
		if (k == t->npromises)
			return (0);
	}
	return (1);
}

/*
 * True while the holder may renew hosts' leases: its own lease in the platform
 * is valid, or every listed standby has promised not to take over.
 *
 * A pending change of the standby list may have taken effect without this host
 * knowing, so promises of both lists are needed: a standby of the list believed
 * to be replaced could otherwise take over while this host still renews.
 */
int
term_may_renew(const struct term *t, usec now)
{
	if (t->role != TERM_HOLDER)
		return (0);
	/*
	 * A pending release of control may have taken effect without this host
	 * knowing, and a standby then takes over at once, without waiting for
	 * the lease to lapse.
	 */
	if (t->put_pending && t->put_rec.holder.host[0] == '\0')
		return (0);
	if (now < t->lease_until)
		return (1);
	if (!all_promised(t, &t->rec, now))
		return (0);
	return (!t->put_pending || all_promised(t, &t->put_rec, now));
}

/*
 * True once every host lease granted by an earlier controller has lapsed. The
 * earlier controller could renew leases until just before the takeover, so this
 * waits for a whole host lease from then.
 */
int
term_old_leases_lapsed(const struct term *t, usec now)
{
	return (t->role == TERM_HOLDER && !t->need_withdrawal &&
	    now >= t->old_leases_lapse_at);
}

/*
 * True once targets that no host has reported may be given a dispatcher. Where
 * no standby has withdrawn, an old controller that is cut off together with the
 * standbys may still keep a dispatcher for such a target. That is safe: both
 * controllers would grant that dispatcher the same shards, as assignments are
 * claimed in the platform, so no key has two owners; and each ticket is known
 * to one dispatcher's table only, so none runs twice.
 */
int
term_may_dispatch(const struct term *t, usec now)
{
	return (t->role == TERM_HOLDER && now >= t->dispatch_at);
}

/* Becomes a follower; why is the event's text. */
static void
become_follower(struct term *t, const char *why)
{
	if (t->role != TERM_FOLLOWER)
		t->cb->event(t->arg, why);
	t->role = TERM_FOLLOWER;
	t->put_pending = 0;
	t->put_unknown = 0;
	t->rewrite = 0;
}

/*
 * Takes the era of the store from a response.  If it has risen, the store has
 * come back from an old copy and may have lost the record, leases and all.  The
 * holder goes on and writes the record again; a write whose outcome is not
 * known may be done or not, in either era.  Returns 1 if the era has risen.
 */
int
term_store_era(struct term *t, usec now, uint64_t era)
{
	if (!era_rose(&t->era, era))
		return (0);
	t->restored = 1;
	t->known = 0;
	t->announced_version = 0;
	t->next_get = now;
	if (t->role == TERM_ACQUIRING)
		become_follower(t, "store restored from a copy in a takeover");
	if (t->role == TERM_HOLDER) {
		t->rewrite = 1;
		t->put_unknown = t->put_pending;
	}
	return (1);
}

/* Takes the term under which another host acts as controller: this host makes
 * no promise to an earlier one. */
void
term_heard(struct term *t, uint64_t term)
{
	if (term > t->highest_term)
		t->highest_term = term;
}

/*
 * Returns when all leases of the earlier holder have lapsed, given that its
 * last promise ends within span: a whole host lease after that.  If control was
 * taken from a stale record, the earlier holder may have other standbys than
 * the record lists.  These withdraw when they hear of the new term, within a
 * renewal interval.
 */
static usec
old_leases_lapse_time(const struct term *t, usec now, usec span)
{
	if (t->from_stale)
		span += t->conf.renew;
	return (lease_granter_end(
	    lease_granter_end(now, span), t->conf.host_lease));
}

/*
 * Becomes or remains holder once this host's write is known to have taken
 * effect.
 */
static void
become_holder(struct term *t, usec now, uint64_t version)
{
	int was = t->role;
	int listed;

	listed = !t->stale &&
	    (lists_standby(&t->rec, &t->conf.self) || t->rec.nstandby == 0 ||
		t->version == 0 || t->rec.holder.host[0] == '\0');
	if (was == TERM_ACQUIRING) {
		t->previous_record = t->rec;
		t->from_stale = t->stale;
		/*
		 * A listed standby that takes over makes no promise itself, so
		 * the old holder lacks the promise of one standby and cannot
		 * renew. A host that is not listed cannot rely on that: the old
		 * holder, cut off together with its standbys, may still renew
		 * leases, and counting them as lapsed would give keys two
		 * owners. So a listed standby must withdraw first.
		 */
		t->need_withdrawal = !listed && t->rec.nstandby > 0;
		t->old_leases_lapse_at = t->stale
		    ? old_leases_lapse_time(t, now, t->conf.lease)
		    : lease_granter_end(now, t->conf.host_lease);
		t->dispatch_at = t->old_leases_lapse_at;
		t->npromises = 0;
	}
	t->role = TERM_HOLDER;
	t->stale = 0;
	t->rewrite = 0;
	term_process_seen(t, now, &t->conf.self);
	t->rec = t->put_rec;
	t->version = version;
	t->known = 1;
	t->first_seen = now;
	t->last_seen = now;
	t->lease_until = lease_holder_end(t->put_sent, t->conf.lease);
	t->put_pending = 0;
	t->put_unknown = 0;
	if (was == TERM_ACQUIRING)
		t->cb->event(t->arg,
		    listed ? "control taken"
			   : "control taken by a host that is not a standby");
	if (t->rec.holder.host[0] == '\0')
		become_follower(t, "control released");
}

/* Takes the outcome of the pending write. */
void
term_put_done(struct term *t, usec now, enum put_result res, uint64_t version)
{
	if (!t->put_pending)
		return;
	switch (res) {
	case PUT_DONE:
		become_holder(t, now, version);
		break;
	case PUT_CONFLICT:
	case PUT_UNKNOWN:
		/*
		 * The outcome is unknown even after a conflict, which an
		 * earlier attempt of the same write may have caused. Only
		 * reading the record shows.
		 */
		t->put_unknown = 1;
		t->next_get = now;
		break;
	}
}

/* How long this host waits without a record before it creates the first. */
static usec
bootstrap_timeout(const struct term *t)
{
	return (t->conf.bootstrap_delay +
	    (usec)(t->conf.self.boot % (uint64_t)BOOTSTRAP_JITTER));
}

/*
 * Stores the record just read, and the time since which it has been unchanged;
 * r is NULL if there is no record.
 */
static void
update_record(
    struct term *t, usec now, uint64_t version, const struct control_record *r)
{
	/*
	 * Two reads far apart say nothing about the time between: after an
	 * outage of the platform the record is unchanged, and the holder, which
	 * has had no chance to write, would be taken for stuck.
	 */
	if (!t->known || t->version != version ||
	    now - t->last_seen > 2 * t->conf.lease) {
		t->first_seen = now;
		/*
		 * The holder announced this version earlier: unchanged since
		 * then.
		 */
		if (version != 0 && version == t->announced_version &&
		    now - t->announced_at <= 2 * t->conf.lease)
			t->first_seen = t->announced_at;
	}
	t->known = 1;
	t->stale =
	    t->era.known && (r == NULL ? t->restored : r->era != t->era.number);
	t->version = version;
	t->last_seen = now;
	if (r != NULL)
		t->rec = *r;
	else
		memset(&t->rec, 0, sizeof(t->rec));
	if (lists_standby(&t->rec, &t->conf.self) &&
	    t->next_get > now + t->conf.renew / 2)
		t->next_get = now + t->conf.renew / 2;
	/*
	 * Reads a new cell again only when this host's delay has passed. With
	 * reads at the same interval, all hosts of a fleet that starts would
	 * find at the same read that their delay has passed, and all would
	 * write: 76 hosts that started together made 77 writes and 227 reads.
	 */
	if (version == 0 && t->first_seen == now)
		t->next_get = now + bootstrap_timeout(t);
}

/*
 * Handles the record that a holder reads after the store has come back from an
 * old copy.  An earlier record, its own or another's, has no effect any more;
 * under a later term another host has taken control since.
 */
static void
holder_read_again(
    struct term *t, usec now, uint64_t version, const struct control_record *r)
{
	if (r != NULL &&
	    (r->term > t->rec.term ||
		(r->term == t->rec.term &&
		    !same_process(&r->holder, &t->conf.self)))) {
		update_record(t, now, version, r);
		become_follower(t, "control lost to another host");
		return;
	}
	t->cb->event(t->arg, "store restored from a copy, writing the record");
	t->rewrite = 0;
	t->put_pending = 0;
	t->put_unknown = 0;
	t->known = 1;
	t->version = version;
	t->next_put = now;
}

/* Takes the result of a read; found is 0 if there is no record. */
void
term_get_done(struct term *t, usec now, int found, uint64_t version,
    const struct control_record *r)
{
	t->get_pending = 0;
	if (!found)
		version = 0;
	if (t->rewrite) {
		holder_read_again(t, now, version, found ? r : NULL);
		return;
	}
	if (t->put_pending && !t->put_unknown)
		return;
	if (!t->put_unknown) {
		update_record(t, now, version, found ? r : NULL);
		if (t->role == TERM_HOLDER &&
		    (!found || !same_process(&r->holder, &t->conf.self)))
			become_follower(t, "control lost to another host");
		return;
	}
	if (found && r->write_id == t->put_rec.write_id) {
		become_holder(t, now, version);
		return;
	}
	if (version == t->base_version) {
		/*
		 * The write has not taken effect yet, but may still be
		 * delivered. Sends it again with the same id and base version:
		 * whichever is applied first makes the other fail.
		 */
		t->put_unknown = 0;
		t->cb->put(t->arg, t->base_version, &t->put_rec);
		return;
	}
	/*
	 * The version is past the base of the write, which can no longer
	 * succeed.
	 */
	update_record(t, now, version, found ? r : NULL);
	become_follower(t, "control lost to another host");
}

/* Takes a promise request that says that the holder's lease has expired. */
void
term_holder_late(struct term *t, usec now)
{
	t->late_request_at = now;
}

/* Takes the version of the record that the holder wrote last. */
void
term_version_announced(struct term *t, usec now, uint64_t version)
{
	t->announced_version = version;
	t->announced_at = now;
}

/*
 * Another host controls under a later term, so its write took effect. Control
 * ends here at once, even while this host's lease or its standbys' promises
 * last: it would otherwise go on for up to a lease with the state from when it
 * was cut off.
 */
void
term_superseded(struct term *t, usec now, uint64_t term)
{
	if (t->role != TERM_HOLDER || term <= t->rec.term)
		return;
	become_follower(
	    t, "control lost: another host controls under a later term");
	t->known = 0;
	t->next_get = now;
}

/*
 * True if the holder's own lease has expired or is within a renewal interval of
 * that.
 */
int
term_renewal_late(const struct term *t, usec now)
{
	return (now > t->lease_until - t->conf.renew);
}

/* A read failed; the state of the record stays as it was. */
void
term_get_failed(struct term *t, usec now)
{
	t->get_pending = 0;
}

/* Returns the duration of a kind of promise. */
static usec
promise_duration(const struct term *t, enum promise_kind kind)
{
	if (kind == PROMISE_FINAL && t->conf.final_promise > t->conf.lease)
		return (t->conf.final_promise);
	return (t->conf.lease);
}

/*
 * Answers a holder's request for the promise not to take over. A promise is of
 * one process: after a restart the boot number differs, and as the new process
 * does not know what was promised, its answer must not count.
 */
enum promise_kind
term_promise_request(struct term *t, usec now, uint64_t term, uint64_t boot)
{
	term_heard(t, term);
	t->last_request_at = now;
	/* The request means that a newer record lists this host. */
	if (!lists_standby(&t->rec, &t->conf.self))
		t->next_get = now;
	if (boot != t->conf.self.boot || t->put_pending)
		return (PROMISE_NONE);
	/*
	 * Once a request of a later term was answered, earlier terms get none.
	 */
	if (t->role == TERM_HOLDER || term < t->rec.term ||
	    term < t->highest_term)
		return (PROMISE_NONE);
	/*
	 * This process never takes control again, so its promise can outlive
	 * it. While the platform is unavailable no other standby can be named,
	 * and a holder that lost this promise with the process would let all
	 * keys lapse.
	 */
	if (t->leaving)
		return (PROMISE_FINAL);
	if (t->resigned)
		return (PROMISE_NONE);
	/*
	 * This host reaches the platform and sees that the holder has long been
	 * unable to write. More promises would keep a controller that can renew
	 * leases but change nothing.
	 */
	if (t->known && term == t->rec.term &&
	    t->last_seen - t->first_seen > (t->conf.version_announced
						   ? LATE_HOLDER_STUCK_AFTER
						   : HOLDER_STUCK_AFTER))
		return (PROMISE_NONE);
	t->promised_until = lease_granter_end(now, t->conf.lease);
	return (PROMISE_LEASE);
}

/*
 * Sets old_leases_lapse_at, given that the earlier holder's last promise ends
 * within span.
 */
static void
set_old_leases_lapse(struct term *t, usec now, usec span)
{
	t->need_withdrawal = 0;
	t->old_leases_lapse_at = old_leases_lapse_time(t, now, span);
}

/*
 * Takes a standby's reply. The promise counts from when the request was sent:
 * the reply may have been delayed, and the standby counts from its reply.
 */
void
term_promise_reply(struct term *t, usec now, const struct member *process,
    uint64_t term, enum promise_kind kind, usec requested_at)
{
	struct promise *p;

	if (t->role != TERM_HOLDER || term != t->rec.term)
		return;
	if (t->need_withdrawal) {
		if (!lists_standby(&t->previous_record, process))
			return;
		/*
		 * Any reply under this host's term withdraws: that standby
		 * makes no more promises to the old holder. Its earlier promise
		 * ends within a control lease, and host leases a whole host
		 * lease after that. A standby that shuts down may have made its
		 * final, longer promise. A reply from a new process of the same
		 * host is no proof that the old process has ended.
		 */
		set_old_leases_lapse(t, now, promise_duration(t, kind));
		t->cb->event(t->arg, "a standby withdrew");
		return;
	}
	if (kind == PROMISE_NONE)
		return;
	p = promise_of(t, process);
	if (requested_at > p->requested_at) {
		p->requested_at = requested_at;
		p->until =
		    lease_holder_end(requested_at, promise_duration(t, kind));
	}
}

/*
 * Takes note of a running process. If it replaces the holder that control was
 * taken from, or one of its standbys, that earlier process has ended, and no
 * listed standby need withdraw. Without this a fleet whose hosts all restarted
 * at once would wait for ever for processes that are gone.
 */
void
term_process_seen(struct term *t, usec now, const struct member *m)
{
	int i, holder, standby = 0;

	if (t->role != TERM_HOLDER || !t->need_withdrawal)
		return;
	holder = replaces(m, &t->previous_record.holder);
	for (i = 0; i < t->previous_record.nstandby; i++)
		standby |= replaces(m, &t->previous_record.standby[i]);
	if (!holder && !standby)
		return;
	/*
	 * A standby that was shut down may have made a longer, final promise.
	 */
	set_old_leases_lapse(
	    t, now, holder ? 0 : promise_duration(t, PROMISE_FINAL));
	t->cb->event(t->arg,
	    "a process of the earlier controller or its standbys has ended");
}

/*
 * Handles a report of the term that a process follows. If the process is the
 * holder that control was taken from, and it follows this host's term, it
 * grants nothing more under its own term, so its remaining promises need not be
 * waited for.
 */
void
term_holder_follows(
    struct term *t, usec now, const struct member *process, uint64_t term)
{
	if (t->role != TERM_HOLDER || term < t->rec.term ||
	    !same_process(&t->previous_record.holder, process))
		return;
	/* Repeated reports must not postpone old_leases_lapse_at. */
	if (!t->need_withdrawal &&
	    t->old_leases_lapse_at <= old_leases_lapse_time(t, now, 0))
		return;
	set_old_leases_lapse(t, now, 0);
	t->cb->event(t->arg, "the earlier controller follows this host");
}

/*
 * Sets the standbys that the holder should have; the record is written if they
 * differ.
 */
void
term_set_standbys(struct term *t, const struct member *m, int n)
{
	t->nwanted = n > STANDBYS_MAX ? STANDBYS_MAX : n;
	memcpy(t->wanted, m, sizeof(*m) * (size_t)t->nwanted);
}

/*
 * Releases control; from now on this host makes no promises and does not take
 * control.
 */
void
term_resign(struct term *t, usec now)
{
	t->resigned = 1;
	t->eligible = 0;
}

/* Releases control for good, as this host's process shuts down. */
void
term_leave(struct term *t, usec now)
{
	term_resign(t, now);
	t->leaving = 1;
}

/* Allows this host to take control again after term_resign(). */
void
term_rejoin(struct term *t)
{
	t->resigned = 0;
	t->eligible = 1;
}

/*
 * True if the record has been unchanged long enough for this host to take
 * control.
 */
static int
record_lapsed(const struct term *t, usec now)
{
	usec delay;

	if (!t->known || t->get_pending)
		return (0);
	if (t->stale)
		/* Gives a holder that the store has lost time to write. */
		return (t->last_seen - t->first_seen >=
		    lease_granter_end(0, t->conf.lease) +
			(t->no_controller ? 0 : UNLISTED_DELAY));
	if (t->version == 0)
		delay = bootstrap_timeout(t);
	else if (t->rec.holder.host[0] == '\0')
		/* All hosts learn of it at the same time: standbys go first. */
		delay = t->conf.version_announced &&
			!lists_standby(&t->rec, &t->conf.self)
		    ? VACANT_DELAY
		    : 0;
	else if (replaces(&t->conf.self, &t->rec.holder))
		/* This process replaces the holder, which has ended. */
		return (1);
	else
		delay = lease_granter_end(0, t->conf.lease);
	if (t->version != 0 && !lists_standby(&t->rec, &t->conf.self) &&
	    t->rec.holder.host[0] != '\0')
		delay += UNLISTED_DELAY;
	else if (t->rec.nstandby > 1 &&
	    same_process(&t->rec.standby[1], &t->conf.self))
		delay += t->conf.renew / 2;
	return (t->last_seen - t->first_seen >= delay);
}

/*
 * True if this host has to read the record. One that a controller renews does
 * not: reads would grow with the number of hosts, while the platform's rate
 * limit does not.
 */
static int
must_read(const struct term *t, usec now)
{
	if (!t->known || t->version == 0 || t->no_controller)
		return (1);
	/*
	 * Reads of two standbys at each renewal interval would be most of the
	 * calls of an idle fleet. The holder's announcements show as well until
	 * when a version was current; standbys read once the announcements
	 * stop, or once the holder says that its lease has expired.
	 */
	if (t->conf.version_announced)
		return (t->late_request_at != 0 &&
		    now - t->late_request_at < 2 * t->conf.lease);
	return (lists_standby(&t->rec, &t->conf.self) ||
	    now - t->last_request_at < 2 * t->conf.lease);
}

/* Returns the term under which this host takes control. */
static uint64_t
next_term(const struct term *t)
{
	uint64_t last = t->rec.term;

	if (!t->stale)
		return (last + 1);
	if (t->highest_term > last)
		last = t->highest_term;
	return (last + STALE_TERM_STEP);
}

/* Work of a follower: reads the record, and takes over once it has lapsed. */
static void
tick_follower(struct term *t, usec now)
{
	struct control_record r;
	usec interval;
	int vacant;

	/*
	 * A promise no longer binds once the holder has released control or
	 * ended.
	 */
	vacant = t->version != 0 && !t->stale &&
	    (t->rec.holder.host[0] == '\0' ||
		replaces(&t->conf.self, &t->rec.holder));
	if (record_lapsed(t, now) && t->eligible &&
	    (now >= t->promised_until || vacant)) {
		memset(&r, 0, sizeof(r));
		r.term = next_term(t);
		r.holder = t->conf.self;
		t->role = TERM_ACQUIRING;
		t->cb->event(t->arg, "taking control");
		put(t, now, &r);
		return;
	}
	if (t->get_pending || now < t->next_get || !must_read(t, now))
		return;
	interval =
	    lists_standby(&t->rec, &t->conf.self) || t->version == 0 || vacant
	    ? t->conf.renew / 2
	    : IDLE_READ_INTERVAL;
	t->next_get = now + interval;
	t->get_pending = 1;
	t->cb->get(t->arg);
}

/* True if the record's standbys are the wanted ones. */
static int
standbys_match(const struct term *t)
{
	int i;

	if (t->rec.nstandby != t->nwanted)
		return (0);
	for (i = 0; i < t->nwanted; i++) {
		if (!lists_standby(&t->rec, &t->wanted[i]))
			return (0);
	}
	return (1);
}

/*
 * Returns the interval between promise requests. While the platform answers,
 * promises are not needed, and requests only inform standbys that they are
 * listed; when a renewal is late, half a lease is left to collect promises.
 */
static usec
promise_interval(const struct term *t, usec now)
{
	int late = now > t->lease_until - t->conf.lease / 2;

	return (late || t->need_withdrawal ? t->conf.renew : PROMISE_INTERVAL);
}

/* Work of the holder: renews its lease and requests promises. */
static void
tick_holder(struct term *t, usec now)
{
	const struct control_record *r;
	struct control_record next;
	int i;

	if (now >= t->next_request) {
		t->next_request = now + promise_interval(t, now);
		r = t->need_withdrawal ? &t->previous_record : &t->rec;
		for (i = 0; i < r->nstandby; i++)
			t->cb->request_promise(
			    t->arg, &r->standby[i], t->rec.term);
		for (i = 0; t->put_pending && i < t->put_rec.nstandby; i++) {
			if (!lists_standby(r, &t->put_rec.standby[i]))
				t->cb->request_promise(t->arg,
				    &t->put_rec.standby[i], t->rec.term);
		}
	}
	if (now > t->lease_until - t->conf.lease / 2 &&
	    t->next_request > now + t->conf.renew)
		t->next_request = now;
	if (t->put_pending || t->rewrite || now < t->next_put)
		return;
	next = t->rec;
	if (t->resigned)
		memset(&next.holder, 0, sizeof(next.holder));
	else if (!standbys_match(t) && !t->need_withdrawal) {
		memcpy(next.standby, t->wanted, sizeof(next.standby));
		next.nstandby = t->nwanted;
		t->next_request = now;
	}
	put(t, now, &next);
}

/* Does what is due; call it at least once per renewal interval. */
void
term_tick(struct term *t, usec now)
{
	if ((t->put_unknown || t->rewrite) && !t->get_pending &&
	    now >= t->next_get) {
		t->next_get = now + t->conf.renew;
		t->get_pending = 1;
		t->cb->get(t->arg);
	}
	switch (t->role) {
	case TERM_FOLLOWER:
		tick_follower(t, now);
		break;
	case TERM_HOLDER:
		tick_holder(t, now);
		break;
	case TERM_ACQUIRING:
		break;
	}
}
