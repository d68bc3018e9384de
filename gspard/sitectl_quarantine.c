/*
 * Exchange of crash reports and of the quarantine list between the hosts and
 * their controller.  Each host keeps what it has seen and received; the store
 * holds the list for the case that all hosts are lost.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "decode.h"
#include "incarnation.h"
#include "sitectl.h"
#include "version.h"
#include "quarantine_text.h"

#define QUARANTINE_PATH KIND_QUARANTINE "/main"
/* Crashes are repeated in reports for this long, as a report may get lost. */
#define REPORT_DURATION MS(500)
/*
 * Interval of reads by a host that hears from no controller, and delay after a
 * failed call.
 */
#define READ_INTERVAL MS(2000)

/* Sends the list to the router. */
static void
publish(struct sitectl *k)
{
	struct quarantine_list *l = malloc(sizeof(*l));
	struct shared *sh = l == NULL ? NULL : shared_new(l, free);

	if (sh == NULL) {
		free(l);
		return;
	}
	*l = k->quarantined;
	msg_post(k->s->kernel, "router", MSG_QUARANTINE, sh, shared_unref);
}

/* Encodes the list; returns the number of items. */
static size_t
fill_list(const struct quarantine_list *l, Gspar__Quarantined *items,
    Gspar__Quarantined **list, usec now)
{
	int i;

	for (i = 0; i < l->n; i++) {
		gspar__quarantined__init(&items[i]);
		items[i].content = l->items[i].digest;
		items[i].left =
		    (uint32_t)(quarantine_item_left(&l->items[i], now) / 1000);
		items[i].probation = l->items[i].probation;
		list[i] = &items[i];
	}
	return ((size_t)l->n);
}

/* Sends the list to the named host, or to all hosts if that is NULL. */
static void
send_list(struct sitectl *k, const char *host, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__QuarantineTold w = GSPAR__QUARANTINE_TOLD__INIT;
	Gspar__Quarantined items[QUARANTINE_ENTRIES_MAX],
	    *list[QUARANTINE_ENTRIES_MAX];
	struct host_entry *h;
	int i;

	w.term = k->term.rec.term;
	w.n_list = fill_list(&k->quarantined, items, list, now);
	w.list = list;
	f.body_case = GSPAR__FRAME__BODY_QUARANTINE_TOLD;
	f.quarantine_told = &w;
	for (i = 0; i < k->hosts.n; i++) {
		h = &k->hosts.list[i];
		if (host != NULL ? strcmp(h->process.host, host) != 0
				 : !sitectl_host_up(k, h, now))
			continue;
		h->quarantine_sent_at = now;
		if (strcmp(h->process.host, sitectl_self(k)) != 0)
			send_frame(k->s->kernel, h->process.host, 0, &f);
	}
}

/* Returns the state of a content in a list, as text for the log. */
static const char *
quarantine_state(const struct quarantine_list *l, uint64_t digest, usec now)
{
	const struct quarantine_item *item = quarantine_find(l, digest, now);

	if (item == NULL)
		return ("free");
	return (item->probation ? "on probation" : "quarantined");
}

/*
 * Logs contents whose state differs between two lists; l is one of them, whose
 * contents are compared.
 */
static void
log_changes(const struct quarantine_list *l, const struct quarantine_list *old,
    const struct quarantine_list *new, usec now)
{
	const char *a, *b;
	int i;

	for (i = 0; i < l->n; i++) {
		a = quarantine_state(old, l->items[i].digest, now);
		b = quarantine_state(new, l->items[i].digest, now);
		/*
		 * A content that both lists have is logged once, when l is the
		 * new list.
		 */
		if (strcmp(a, b) == 0 || (l == old && strcmp(b, "free") != 0))
			continue;
		log_line(LOG_WARNING, "control",
		    "Content %016" PRIx64 " is now %s, was %s, for "
		    "crashes of targets that ran it.",
		    l->items[i].digest, b, a);
	}
}

/*
 * Rebuilds the list from the entries that have not expired; if it changed,
 * publishes it and, as controller, sends it to all hosts.
 */
static void
refresh(struct sitectl *k, usec now)
{
	struct quarantine_list was = k->quarantined;

	if (k->acting)
		quarantine_confirm_due(&k->quarantine, now);
	quarantine_list(&k->quarantine, &k->quarantined, now);
	if (quarantine_checksum(&k->quarantined) == quarantine_checksum(&was))
		return;
	log_changes(&k->quarantined, &was, &k->quarantined, now);
	log_changes(&was, &was, &k->quarantined, now);
	publish(k);
	if (k->acting)
		send_list(k, NULL, now);
}

/* Records that a run of a content was answered, as a host says. */
static void
clear(struct sitectl *k, const char *host, uint64_t digest, usec now)
{
	if (quarantine_clear(&k->quarantine, digest, now))
		log_line(LOG_NOTICE, "control",
		    "Content %016" PRIx64
		    " is taken off probation: host %s has had an answer to it.",
		    digest, host);
}

/* Adds what this host's router has seen. */
void
quarantine_add_seen(struct sitectl *k, const struct crash_report *n, usec now)
{
	int i;

	for (i = 0; i < n->nbroken; i++)
		quarantine_add_own_break(&k->quarantine, n->broken[i].digest,
		    n->broken[i].target, n->broken[i].on_probation, now);
	for (i = 0; i < n->nended; i++)
		quarantine_add_end(&k->quarantine, n->ended[i], now);
	for (i = 0; i < n->nanswered; i++) {
		clear(k, sitectl_self(k), n->answered[i], now);
		if (k->nanswered < CRASH_REPORT_MAX)
			k->answered[k->nanswered++] = n->answered[i];
	}
}

/* Records that a target has ended, as it refused the connection of an order. */
void
quarantine_conn_refused(struct sitectl *k, const char *target, usec now)
{
	quarantine_add_end(&k->quarantine, incarnation_digest(target), now);
}

/* Adds requests whose connection broke to a report. */
static void
add_broken(Gspar__HostReport *msg, struct quarantine_report_buf *buf,
    const struct quarantine_break *from)
{
	Gspar__BrokenSend *b = &buf->broken[msg->n_broken];

	if (msg->n_broken == QUARANTINE_REPORT_MAX)
		return;
	gspar__broken_send__init(b);
	b->content = from->digest;
	b->target = from->target;
	b->sends = (uint32_t)from->sends;
	b->on_probation = from->on_probation;
	buf->broken_list[msg->n_broken++] = b;
}

/* Adds the end of a target to a report. */
static void
add_end(
    Gspar__HostReport *msg, struct quarantine_report_buf *buf, uint64_t target)
{
	if (msg->n_ended < QUARANTINE_REPORT_MAX)
		buf->ended[msg->n_ended++] = target;
}

/*
 * Adds all crashes that this host knows of: a new controller may not have
 * received them.
 */
static void
add_crashes(const struct sitectl *k, Gspar__HostReport *msg,
    struct quarantine_report_buf *buf)
{
	struct quarantine_break b = {.sends = 1};
	const struct quarantine_entry *e;
	int i, n;

	for (i = 0; i < k->quarantine.nentries; i++) {
		e = &k->quarantine.entries[i];
		for (n = 0; n < e->crashes && n < QUARANTINE_TARGETS_MAX; n++) {
			b.digest = e->digest;
			b.target = e->targets[n];
			add_broken(msg, buf, &b);
			add_end(msg, buf, e->targets[n]);
		}
	}
}

/* Fills in the crash data and the quarantine list of a report. */
void
quarantine_fill_report(struct sitectl *k, Gspar__HostReport *msg, usec now)
{
	const struct quarantine *q = &k->quarantine;
	struct quarantine_report_buf *buf = &k->report_buf;
	unsigned i;

	if (k->report_term != k->controller_term) {
		k->report_term = k->controller_term;
		k->report_since = now;
	}
	if (now - k->report_since < REPORT_DURATION)
		add_crashes(k, msg, buf);
	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS_MAX; i++) {
		if (q->breaks[i].source == 0 &&
		    now - q->breaks[i].at < REPORT_DURATION)
			add_broken(msg, buf, &q->breaks[i]);
	}
	for (i = 0; i < q->nends && i < QUARANTINE_ENDS_MAX; i++) {
		if (now - q->ends[i].at < REPORT_DURATION)
			add_end(msg, buf, q->ends[i].target);
	}
	msg->broken = buf->broken_list;
	msg->ended = buf->ended;
	memcpy(buf->answered, k->answered, sizeof(buf->answered));
	msg->answered = buf->answered;
	msg->n_answered = (size_t)k->nanswered;
	k->nanswered = 0;
	msg->quarantine = quarantine_checksum(&k->quarantined);
	if (msg->quarantine == k->controller_quarantine)
		return;
	msg->n_quarantined =
	    fill_list(&k->quarantined, buf->items, buf->list, now);
	msg->quarantined = buf->list;
}

/* Decodes a list from another host. */
static void
decode_list(struct quarantine_list *l, Gspar__Quarantined *const *list,
    size_t n, usec now)
{
	size_t i;

	l->n = 0;
	for (i = 0; i < n && i < QUARANTINE_ENTRIES_MAX; i++) {
		l->items[l->n].digest = list[i]->content;
		l->items[l->n].probation = list[i]->probation;
		l->items[l->n++].until = now + MS(list[i]->left);
	}
}

/* True if a host is this one. */
static int
is_self(const struct sitectl *k, const struct host_entry *h)
{
	return (strcmp(h->process.host, sitectl_self(k)) == 0);
}

/* Handles the crash data of a host's report, as controller. */
void
quarantine_receive_report(struct sitectl *k, struct host_entry *h,
    const Gspar__HostReport *msg, usec now)
{
	uint64_t source = XXH3_64bits_withSeed(
	    h->process.host, strlen(h->process.host), h->process.boot);
	const Gspar__BrokenSend *from;
	struct quarantine_break b;
	struct quarantine_list l;
	size_t i;
	int n;

	decode_list(&l, msg->quarantined, msg->n_quarantined, now);
	for (n = 0; n < l.n; n++)
		quarantine_add_item(&k->quarantine, &l.items[n], now);
	for (i = 0; i < msg->n_answered; i++)
		clear(k, h->process.host, msg->answered[i], now);
	/* This host's own observations are already counted. */
	for (i = 0; i < msg->n_broken && !is_self(k, h); i++) {
		from = msg->broken[i];
		b.digest = from->content;
		b.target = from->target;
		b.source = source;
		b.sends = from->sends == 0 ? 1 : (int)from->sends;
		b.on_probation = from->on_probation;
		quarantine_add_break(&k->quarantine, &b, now);
	}
	for (i = 0; i < msg->n_ended; i++)
		quarantine_add_end(&k->quarantine, msg->ended[i], now);
	if (k->acting &&
	    msg->quarantine != quarantine_checksum(&k->quarantined) &&
	    now - h->quarantine_sent_at > report_retry_delay(k->hosts.n))
		send_list(k, h->process.host, now);
}

/* Handles the controller's list. */
void
quarantine_receive(
    struct sitectl *k, const Gspar__QuarantineTold *msg, usec now)
{
	struct quarantine_list l;
	int n;

	if (k->acting || msg->term < k->controller_term)
		return;
	decode_list(&l, msg->list, msg->n_list, now);
	n = quarantine_adopt(&k->quarantine, &l, now);
	if (n > 0)
		log_line(LOG_NOTICE, "control",
		    "%d contents are taken off probation: the list of "
		    "controller %s, term %llu, does not have them.",
		    n, k->controller, (unsigned long long)msg->term);
}

/* Reads the list from the store or writes it. */
static void
call_store(struct sitectl *k, enum store_op op, usec now)
{
	struct store *st = store_new(op, "control", QUARANTINE_PATH);
	struct quarantine_list l;

	k->quarantine_next_call = now + READ_INTERVAL;
	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), QUARANTINE_TAG);
	st->allow_stale = !k->acting;
	if (op == STORE_PUT) {
		quarantine_confirmed(&k->quarantined, &l);
		st->base = k->quarantine_version;
		st->generation = quarantine_checksum(&l);
		quarantine_write(&l, &st->body, now);
	}
	k->quarantine_pending = 1;
	store_send(k->s->kernel, st);
}

/* True if the stored list differs from the one in force. */
static int
needs_write(const struct sitectl *k)
{
	struct quarantine_list l;

	quarantine_confirmed(&k->quarantined, &l);
	return (k->quarantine_stored != quarantine_checksum(&l));
}

/*
 * Runs periodic work.  The controller reads the stored list once and writes it
 * after each change; a host that hears from no controller reads it every
 * READ_INTERVAL.
 */
void
quarantine_tick(struct sitectl *k, usec now)
{
	refresh(k, now);
	if (!k->acting)
		k->quarantine_known = 0;
	if (k->quarantine_pending || now < k->quarantine_next_call)
		return;
	if (!k->acting && k->following)
		call_store(k, STORE_GET, now);
	else if (k->acting && !k->quarantine_known)
		call_store(k, STORE_GET, now);
	else if (k->acting && needs_write(k))
		call_store(k, STORE_PUT, now);
}

/* Handles the result of a store call for the list. */
void
quarantine_store_done(struct sitectl *k, const struct store *st, usec now)
{
	struct quarantine_list l;
	int i;

	k->quarantine_pending = 0;
	if (st->op == STORE_PUT) {
		/* The outcome of a failed write is unknown: read the list. */
		k->quarantine_known = st->result == STORE_DONE;
		k->quarantine_version = st->version;
		k->quarantine_stored = st->generation;
		return;
	}
	if (st->result != STORE_DONE && st->result != STORE_NOT_FOUND)
		return;
	l.n = 0;
	if (st->result == STORE_DONE &&
	    quarantine_read(&st->body, &l, now) != 0)
		log_line(LOG_ERR, "control",
		    "Quarantine list version %llu in the store is not valid, "
		    "taken as empty.",
		    (unsigned long long)version_revision(st->version));
	k->quarantine_known = k->acting;
	k->quarantine_version = st->result == STORE_DONE ? st->version : 0;
	k->quarantine_stored = quarantine_checksum(&l);
	for (i = 0; i < l.n; i++)
		quarantine_add_item(&k->quarantine, &l.items[i], now);
}
