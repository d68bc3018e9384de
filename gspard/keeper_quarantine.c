/*
 * Requests that crash targets, as hosts tell their controller and it tells
 * them.  Each host keeps what it has seen and what it was told; the store has
 * the list for when all of them are lost.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "decode.h"
#include "incarnation.h"
#include "keeper.h"
#include "quarantine_text.h"

#define QUARANTINE_PATH KIND_QUARANTINE "/main"
/* What was seen is reported for so long: a report may get lost. */
#define REPORT_FOR MS(500)
/* Between reads of a host that hears no controller, and after a failure. */
#define READ_EVERY MS(2000)

/* Hands the list to the router. */
static void
publish(struct keeper *k)
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

/* Fills in the list for a frame; the number of items. */
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

/* Tells a host the list, or all hosts where that is NULL. */
static void
tell(struct keeper *k, const char *host, usec now)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__QuarantineTold w = GSPAR__QUARANTINE_TOLD__INIT;
	Gspar__Quarantined items[QUARANTINE_ENTRIES_MAX],
	    *list[QUARANTINE_ENTRIES_MAX];
	struct keeper_host *h;
	int i;

	w.term = k->term.rec.term;
	w.n_list = fill_list(&k->quarantined, items, list, now);
	w.list = list;
	f.body_case = GSPAR__FRAME__BODY_QUARANTINE_TOLD;
	f.quarantine_told = &w;
	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		if (host != NULL ? strcmp(h->who.host, host) != 0
				 : !keeper_tells(h, now))
			continue;
		h->quarantine_at = now;
		if (strcmp(h->who.host, keeper_self(k)) != 0)
			send_frame(k->s->kernel, h->who.host, 0, &f);
	}
}

/* What a list says of a content. */
static const char *
standing(const struct quarantine_list *l, uint64_t digest, usec now)
{
	const struct quarantine_item *item = quarantine_find(l, digest, now);

	if (item == NULL)
		return ("free");
	return (item->probation ? "on probation" : "quarantined");
}

/* Logs what a new list says of contents that an earlier one has too, or not. */
static void
log_change(const struct quarantine_list *l, const struct quarantine_list *was,
    const struct quarantine_list *is, usec now)
{
	const char *a, *b;
	int i;

	for (i = 0; i < l->n; i++) {
		a = standing(was, l->items[i].digest, now);
		b = standing(is, l->items[i].digest, now);
		/* What both have is logged once, with the new list. */
		if (strcmp(a, b) == 0 || (l == was && strcmp(b, "free") != 0))
			continue;
		log_line(LOG_WARNING, "control",
		    "Content %016" PRIx64 " is %s, it was %s: targets have "
		    "crashed under it.",
		    l->items[i].digest, b, a);
	}
}

/* Makes the list anew, of what was heard since and has not run out; where it
 * has changed, hands it on. */
static void
refresh(struct keeper *k, usec now)
{
	struct quarantine_list was = k->quarantined;

	if (k->acting)
		quarantine_confirm_due(&k->quarantine, now);
	quarantine_list(&k->quarantine, &k->quarantined, now);
	if (quarantine_checksum(&k->quarantined) == quarantine_checksum(&was))
		return;
	log_change(&k->quarantined, &was, &k->quarantined, now);
	log_change(&was, &was, &k->quarantined, now);
	publish(k);
	if (k->acting)
		tell(k, NULL, now);
}

/* Takes in what this host's router saw. */
void
quarantine_take_seen(struct keeper *k, const struct crash_report *n, usec now)
{
	int i;

	for (i = 0; i < n->nbroken; i++)
		quarantine_add_own_break(&k->quarantine, n->broken[i].digest,
		    n->broken[i].target, n->broken[i].on_probation, now);
	for (i = 0; i < n->nended; i++)
		quarantine_add_end(&k->quarantine, n->ended[i], now);
	for (i = 0; i < n->nanswered; i++) {
		quarantine_clear(&k->quarantine, n->answered[i], now);
		if (k->nanswered < CRASH_REPORT_MAX)
			k->answered[k->nanswered++] = n->answered[i];
	}
}

/* An order's connection was refused: its target has ended. */
void
quarantine_refused(struct keeper *k, const char *target, usec now)
{
	quarantine_add_end(&k->quarantine, incarnation_digest(target), now);
}

/* Adds sends that broke to a report. */
static void
add_broken(Gspar__HostReport *w, struct quarantine_room *room,
    const struct quarantine_break *from)
{
	Gspar__BrokenSend *b = &room->broken[w->n_broken];

	if (w->n_broken == QUARANTINE_REPORTED)
		return;
	gspar__broken_send__init(b);
	b->content = from->digest;
	b->target = from->target;
	b->sends = (uint32_t)from->sends;
	b->on_probation = from->on_probation;
	room->broken_list[w->n_broken++] = b;
}

/* Adds a target that has ended to a report. */
static void
add_ended(Gspar__HostReport *w, struct quarantine_room *room, uint64_t target)
{
	if (w->n_ended < QUARANTINE_REPORTED)
		room->ended[w->n_ended++] = target;
}

/* Adds the crashes that this host knows of: a new controller may not have heard
 * of them. */
static void
add_crashes(
    const struct keeper *k, Gspar__HostReport *w, struct quarantine_room *room)
{
	struct quarantine_break b = {.sends = 1};
	const struct quarantine_entry *e;
	int i, n;

	for (i = 0; i < k->quarantine.nentries; i++) {
		e = &k->quarantine.entries[i];
		for (n = 0; n < e->crashes && n < QUARANTINE_TARGETS_MAX; n++) {
			b.digest = e->digest;
			b.target = e->targets[n];
			add_broken(w, room, &b);
			add_ended(w, room, e->targets[n]);
		}
	}
}

/* Fills in what a report tells. */
void
quarantine_fill(struct keeper *k, Gspar__HostReport *w, usec now)
{
	const struct quarantine *q = &k->quarantine;
	struct quarantine_room *room = &k->report_room;
	unsigned i;

	if (k->report_term != k->controller_term) {
		k->report_term = k->controller_term;
		k->report_since = now;
	}
	if (now - k->report_since < REPORT_FOR)
		add_crashes(k, w, room);
	for (i = 0; i < q->nbreaks && i < QUARANTINE_BREAKS_MAX; i++) {
		if (q->breaks[i].source == 0 &&
		    now - q->breaks[i].at < REPORT_FOR)
			add_broken(w, room, &q->breaks[i]);
	}
	for (i = 0; i < q->nends && i < QUARANTINE_ENDS_MAX; i++) {
		if (now - q->ends[i].at < REPORT_FOR)
			add_ended(w, room, q->ends[i].target);
	}
	w->broken = room->broken_list;
	w->ended = room->ended;
	memcpy(room->answered, k->answered, sizeof(room->answered));
	w->answered = room->answered;
	w->n_answered = (size_t)k->nanswered;
	k->nanswered = 0;
	w->quarantine = quarantine_checksum(&k->quarantined);
	if (w->quarantine == k->told_quarantine)
		return;
	w->n_quarantined =
	    fill_list(&k->quarantined, room->items, room->list, now);
	w->quarantined = room->list;
}

/* Reads a list that another host told. */
static void
read_list(struct quarantine_list *l, Gspar__Quarantined *const *list, size_t n,
    usec now)
{
	size_t i;

	l->n = 0;
	for (i = 0; i < n && i < QUARANTINE_ENTRIES_MAX; i++) {
		l->items[l->n].digest = list[i]->content;
		l->items[l->n].probation = list[i]->probation;
		l->items[l->n++].until = now + MS(list[i]->left);
	}
}

/* True where a host is this one. */
static int
is_self(const struct keeper *k, const struct keeper_host *h)
{
	return (strcmp(h->who.host, keeper_self(k)) == 0);
}

/* Takes in what a host's report tells, as controller. */
void
quarantine_report(struct keeper *k, struct keeper_host *h,
    const Gspar__HostReport *w, usec now)
{
	uint64_t source =
	    XXH3_64bits_withSeed(h->who.host, strlen(h->who.host), h->who.boot);
	const Gspar__BrokenSend *from;
	struct quarantine_break b;
	struct quarantine_list l;
	size_t i;
	int n;

	read_list(&l, w->quarantined, w->n_quarantined, now);
	for (n = 0; n < l.n; n++)
		quarantine_add_item(&k->quarantine, &l.items[n], now);
	for (i = 0; i < w->n_answered; i++)
		quarantine_clear(&k->quarantine, w->answered[i], now);
	/* What this host saw itself is counted already. */
	for (i = 0; i < w->n_broken && !is_self(k, h); i++) {
		from = w->broken[i];
		b.digest = from->content;
		b.target = from->target;
		b.source = source;
		b.sends = from->sends == 0 ? 1 : (int)from->sends;
		b.on_probation = from->on_probation;
		quarantine_add_break(&k->quarantine, &b, now);
	}
	for (i = 0; i < w->n_ended; i++)
		quarantine_add_end(&k->quarantine, w->ended[i], now);
	if (k->acting &&
	    w->quarantine != quarantine_checksum(&k->quarantined) &&
	    now - h->quarantine_at > TELL_AGAIN)
		tell(k, h->who.host, now);
}

/* Takes in what the controller tells. */
void
quarantine_take(struct keeper *k, const Gspar__QuarantineTold *w, usec now)
{
	struct quarantine_list l;

	if (k->acting || w->term < k->controller_term)
		return;
	read_list(&l, w->list, w->n_list, now);
	quarantine_adopt(&k->quarantine, &l, now);
}

/* Asks the store for the list, or writes it. */
static void
ask_store(struct keeper *k, enum store_op op, usec now)
{
	struct store *st = store_new(op, "control", QUARANTINE_PATH);
	struct quarantine_list l;

	k->quarantine_next = now + READ_EVERY;
	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), QUARANTINE_TAG);
	st->stale = !k->acting;
	if (op == STORE_PUT) {
		quarantine_confirmed(&k->quarantined, &l);
		st->base = k->quarantine_version;
		st->gen = quarantine_checksum(&l);
		quarantine_write(&l, &st->body, now);
	}
	k->quarantine_open = 1;
	store_send(k->s->kernel, st);
}

/* True where the store has another list of what is quarantined. */
static int
is_unwritten(const struct keeper *k)
{
	struct quarantine_list l;

	quarantine_confirmed(&k->quarantined, &l);
	return (k->quarantine_stored != quarantine_checksum(&l));
}

/*
 * Does what is due.  The controller reads the list once and writes it when it
 * has changed; a host that hears no controller reads it now and then.
 */
void
quarantine_tick(struct keeper *k, usec now)
{
	refresh(k, now);
	if (!k->acting)
		k->quarantine_known = 0;
	if (k->quarantine_open || now < k->quarantine_next)
		return;
	if (!k->acting && k->told_follow)
		ask_store(k, STORE_GET, now);
	else if (k->acting && !k->quarantine_known)
		ask_store(k, STORE_GET, now);
	else if (k->acting && is_unwritten(k))
		ask_store(k, STORE_PUT, now);
}

/* Takes the outcome of a call about the list. */
void
quarantine_stored(struct keeper *k, const struct store *st, usec now)
{
	struct quarantine_list l;
	int i;

	k->quarantine_open = 0;
	if (st->op == STORE_PUT) {
		/* What became of a write that failed is read back. */
		k->quarantine_known = st->result == STORE_DONE;
		k->quarantine_version = st->version;
		k->quarantine_stored = st->gen;
		return;
	}
	if (st->result != STORE_DONE && st->result != STORE_ABSENT)
		return;
	l.n = 0;
	if (st->result == STORE_DONE &&
	    quarantine_read(&st->body, &l, now) != 0)
		log_line(LOG_ERR, "control",
		    "The list of quarantined requests makes no sense, version "
		    "%llu: empty.",
		    (unsigned long long)st->version);
	k->quarantine_known = k->acting;
	k->quarantine_version = st->result == STORE_DONE ? st->version : 0;
	k->quarantine_stored = quarantine_checksum(&l);
	for (i = 0; i < l.n; i++)
		quarantine_add_item(&k->quarantine, &l.items[i], now);
}
