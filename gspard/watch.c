/*
 * The service that follows the platform's store: the configuration, the list
 * of targets and which data centres are evacuated.  It publishes each change as
 * a snapshot to who needs it.
 */
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <jansson.h>
#include <xxhash.h>

#include "decode.h"
#include "watch.h"

#define TICK_US MS(100)
/* A watch is asked anew after this long without a change.  One that waits may
 * miss changes when the store drops its history, and hears so only then.  Only
 * the controller, and hosts that hear none, follow the store. */
#define WATCH_MS 1000
#define WATCH_EVACUATIONS_MS 2000
/* Changes that come close together are read with one call: each call counts,
 * and the bound on leaving targets (2 s) leaves room for it. */
#define WATCH_PAUSE MS(250)
/* Between tries while the store does not answer; the first follows sooner.
 * Each call counts, refused ones too; but what left while this host was cut
 * off must be known 3 s after its return, of which the doubt about lapsed
 * entries takes two. */
#define RETRY_FIRST MS(100)
#define RETRY_MOST MS(400)

/* Publishes a shared snapshot to a service. */
void
watch_publish(
    struct service *s, const char *to, enum msg_kind kind, struct shared *sh)
{
	msg_post(s->kernel, to, kind, shared_ref(sh), shared_unref);
}

/* Notes an entry that makes no sense, once for each version: lists are read
 * again, and a line each time would say nothing new. */
static void
note_foreign(struct watch *w, const struct found *f)
{
	uint64_t h = XXH3_64bits_withSeed(f->name, strlen(f->name), f->version);
	int i;

	for (i = 0; i < FOREIGN_KEPT; i++) {
		if (w->foreign[i] == h)
			return;
	}
	w->foreign[w->nforeign++ % FOREIGN_KEPT] = h;
	count_add(C_ENTRY_FOREIGN, 1);
	log_line(LOG_WARNING, "watch",
	    "Entry of target %s, version %llu, makes no sense: no target is "
	    "used by it.",
	    f->name, (unsigned long long)f->version);
}

/* Reads an entry of a target. */
static void
take_target(struct service *s, const struct found *f, usec now)
{
	struct watch *w = s->state;
	struct fleet_target t;

	if (f->deleted) {
		membership_entry_removed(&w->membership, f->name, now);
		return;
	}
	if (decode_target(f->raw, f->name, &t) != 0) {
		note_foreign(w, f);
		membership_entry_invalid(&w->membership, f->name, now);
		return;
	}
	membership_entry_put(&w->membership, &t, now);
}

/* Handles one evacuation; since is 0 where its start is unknown. */
static void
take_evacuation(
    struct watch *w, const struct found *f, int listing, usec since, usec now)
{
	struct evacuations *e =
	    listing ? &w->listed : &w->membership.evacuations;

	if (f->deleted)
		evacuations_end(e, f->name, now);
	else if (evacuations_begin(e, f->name, since) != 0)
		log_line(LOG_ERR, "watch",
		    "More than %d data centres are evacuated: not %s.",
		    EVACUATIONS_MAX, f->name);
}

/* Handles changes of evacuations. */
static void
take_evacuations(struct watch *w, const struct store *st, usec since, usec now)
{
	struct evacuations *e = &w->membership.evacuations;
	int i;

	/* Another host has sent a later revision meanwhile. */
	if (st->nfound == 0 || st->version < e->as_of)
		return;
	for (i = 0; i < st->nfound; i++)
		take_evacuation(w, &st->found[i], 0, since, now);
	e->as_of = st->version;
	w->membership.changed = 1;
}

/* Reads all objects that a call found. */
static void
take_found(
    struct service *s, enum feed_kind kind, const struct store *st, usec now)
{
	struct watch *w = s->state;
	int i, gone = 0;

	for (i = 0; i < st->nfound; i++)
		gone += st->found[i].deleted;
	if (kind == FEED_TARGETS)
		membership_mass_removal(&w->membership, gone, now);
	for (i = 0; i < st->nfound; i++) {
		if (kind == FEED_SITE)
			watch_site_found(s, &st->found[i]);
		else if (kind == FEED_TARGETS)
			take_target(s, &st->found[i], now);
		else
			take_evacuation(w, &st->found[i], 1, 0, now);
	}
}

/* A page of a list came; goes on with the next, or begins to watch. */
static void
took_page(
    struct watch *w, enum feed_kind kind, const struct store *st, usec now)
{
	struct feed *f = &w->feeds[kind];

	/*
	 * Watching goes on from the first page's revision: what changed while
	 * the other pages were read is then told once more, and none is missed.
	 */
	if (f->after[0] == '\0')
		f->list_base = st->version;
	if (st->more && st->nfound > 0) {
		name_copy(
		    f->after, sizeof(f->after), st->found[st->nfound - 1].name);
		return;
	}
	f->after[0] = '\0';
	f->listing = 0;
	f->listed = 1;
	f->base = f->list_base;
	f->next = now + WATCH_PAUSE;
	if (kind == FEED_TARGETS)
		membership_list_end(&w->membership, now);
	if (kind == FEED_EVACUATIONS) {
		w->listed.as_of = f->list_base;
		w->membership.changed |= evacuations_sync(
		    &w->membership.evacuations, &w->listed, now);
	}
}

/* True where a kind of object is asked for at all. */
static int
is_followed(const struct service *s, int kind)
{
	return (kind != FEED_EVACUATIONS ||
	    kernel_conf(s->kernel)->bounds.evacuate_ms > 0);
}

/* True once the targets are known, and which of them are evacuated. */
static int
knows_fleet(const struct service *s)
{
	const struct watch *w = s->state;

	return (w->feeds[FEED_TARGETS].listed &&
	    (!is_followed(s, FEED_EVACUATIONS) ||
		w->feeds[FEED_EVACUATIONS].listed ||
		w->membership.evacuations.as_of != 0));
}

/* Logs evacuations when they have changed. */
static void
log_evacuations(struct watch *w)
{
	const struct evacuations *e = &w->membership.evacuations;
	uint64_t digest = evacuations_digest(e);
	int i;

	if (digest == w->logged_evacuations)
		return;
	w->logged_evacuations = digest;
	for (i = 0; i < e->n; i++)
		log_line(LOG_NOTICE, "watch",
		    "Evacuation of data centre %s %s, revision %llu.",
		    e->list[i].dc, e->list[i].ended ? "has ended" : "in force",
		    (unsigned long long)e->as_of);
}

/* Publishes the targets where they changed. */
static void
publish_fleet(struct service *s, usec now)
{
	struct watch *w = s->state;
	struct shared *sh;
	struct fleet *fleet;

	membership_tick(&w->membership, now);
	if (!w->membership.changed || !knows_fleet(s))
		return;
	log_evacuations(w);
	w->membership.changed = 0;
	fleet = membership_snapshot(&w->membership);
	if (fleet == NULL || (sh = shared_new(fleet, fleet_free)) == NULL) {
		fleet_free(fleet);
		return;
	}
	watch_publish(s, "router", MSG_FLEET, sh);
	watch_publish(s, "control", MSG_FLEET, sh);
	shared_unref(sh);
}

/*
 * Tells the control service whether what is known here of targets is the
 * store's own word.  A controller that was cut off would otherwise tell all
 * hosts, once it is back, what it knew before, and a target that left
 * meanwhile would get work again.
 */
static void
set_fresh(struct service *s, int fresh)
{
	struct watch *w = s->state;

	if (w->fresh == fresh)
		return;
	w->fresh = fresh;
	msg_post(
	    s->kernel, "control", fresh ? MSG_FRESH : MSG_STALE, NULL, NULL);
}

/* Changes came, or none in the time given; goes on from there. */
static void
took_changes(struct feed *f, const struct store *st, usec now)
{
	if (st->version > f->base)
		f->base = st->version;
	f->next = now + (st->nfound > 0 ? WATCH_PAUSE : 0);
}

/* A call failed; the next try comes later each time. */
static void
failed(struct service *s, struct feed *f, const struct store *st, usec now)
{
	struct watch *w = s->state;

	if (f->backoff == 0)
		log_line(LOG_WARNING, "watch",
		    "Store does not answer for %s: result %d, status %d, "
		    "%zu bytes in %lld ms.",
		    f->kind, st->result, st->status, st->body.n,
		    (long long)(st->took / 1000));
	f->backoff = f->backoff == 0 ? RETRY_FIRST : f->backoff * 2;
	if (f->backoff > RETRY_MOST)
		f->backoff = RETRY_MOST;
	f->next = now + f->backoff;
	/* A call from before it was told may end now. */
	if (!w->told)
		membership_store_failed(&w->membership, now);
	set_fresh(s, 0);
	if (f == &w->feeds[FEED_SITE])
		msg_post(s->kernel, "control", MSG_SITE_UNREAD, NULL, NULL);
}

/*
 * Begins to read all of a kind.  A list that is under way goes on, for what
 * changes meanwhile is told after it: given up at each new reason to list, a
 * list that takes longer than the reasons are apart never ends.
 */
static void
list_feed(struct feed *f, usec now)
{
	if (f->listing && (f->open || f->after[0] != '\0'))
		return;
	f->listing = 1;
	f->after[0] = '\0';
	f->next = now;
	f->open = 0;
	f->call++;
}

/* Ends a list that is not needed; its outcome, where one comes, is dropped. */
void
watch_stop_list(struct feed *f)
{
	f->listing = 0;
	f->after[0] = '\0';
	f->open = 0;
	f->call++;
}

/*
 * The store has dropped its history: reads all kinds anew.  A watch of another
 * kind may still wait, deaf to what changed meanwhile.
 */
static void
list_all(struct service *s, usec now)
{
	struct watch *w = s->state;
	int i;

	for (i = 0; i < FEEDS; i++) {
		if (is_followed(s, i))
			list_feed(&w->feeds[i], now);
	}
}

/* The kind of object that a call was for. */
static enum feed_kind
kind_of(const struct watch *w, const char *tag)
{
	int i;

	for (i = 0; i < FEEDS - 1; i++) {
		if (strcmp(tag, w->feeds[i].kind) == 0)
			break;
	}
	return ((enum feed_kind)i);
}

/* Takes the outcome of a call. */
static void
take_stored(struct service *s, const struct store *st, usec now)
{
	struct watch *w = s->state;
	enum feed_kind kind = kind_of(w, st->tag);
	struct feed *f = &w->feeds[kind];
	usec since = f->backoff == 0 ? now : 0;

	if (st->gen != f->call)
		return;
	f->open = 0;
	if (st->result == STORE_FORGOTTEN) {
		log_line(LOG_NOTICE, "watch", "History of %s gone, listing.",
		    f->kind);
		list_all(s, now);
		return;
	}
	if (st->result != STORE_DONE) {
		failed(s, f, st, now);
		return;
	}
	if (f->backoff != 0)
		log_line(LOG_NOTICE, "watch", "Store answers again for %s.",
		    f->kind);
	f->backoff = 0;
	membership_store_answered(&w->membership, now);
	if (kind == FEED_EVACUATIONS && st->op == STORE_WATCH)
		take_evacuations(w, st, since, now);
	else
		take_found(s, kind, st, now);
	if (st->op == STORE_LIST)
		took_page(w, kind, st, now);
	else
		took_changes(f, st, now);
	/* After the configuration itself, which was published on its way. */
	if (kind == FEED_SITE && st->op == STORE_LIST && !f->listing)
		msg_post(s->kernel, "control", MSG_SITE_READ, NULL, NULL);
	/* First what it told, then that this is the store's own word. */
	publish_fleet(s, now);
	if (kind == FEED_TARGETS && !f->listing && !w->told)
		set_fresh(s, 1);
}

/* Starts the call that a feed is due for. */
static void
ask(struct service *s, struct feed *f)
{
	struct watch *w = s->state;
	struct store *st;

	st = store_new(f->listing ? STORE_LIST : STORE_WATCH, "watch", f->kind);
	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), f->kind);
	if (f->listing) {
		name_copy(st->after, sizeof(st->after), f->after);
		if (f->after[0] == '\0' && f == &w->feeds[FEED_TARGETS])
			membership_list_begin(&w->membership);
		if (f->after[0] == '\0' && f == &w->feeds[FEED_EVACUATIONS])
			memset(&w->listed, 0, sizeof(w->listed));
	} else {
		st->base = f->base;
		st->wait_ms = f == &w->feeds[FEED_EVACUATIONS]
		    ? WATCH_EVACUATIONS_MS
		    : WATCH_MS;
	}
	st->gen = ++f->call;
	f->open = 1;
	store_send(s->kernel, st);
}

/* Does what is due. */
static void
tick(struct service *s, usec now)
{
	struct watch *w = s->state;
	int i;

	for (i = 0; i < FEEDS; i++) {
		if (!is_followed(s, i) || (w->told && !w->feeds[i].listing))
			continue;
		/* One kind tells whether the store is back; others wait. */
		if (i > 0 && w->feeds[0].backoff != 0 &&
		    w->feeds[i].backoff != 0)
			continue;
		if (!w->feeds[i].open && now >= w->feeds[i].next)
			ask(s, &w->feeds[i]);
	}
	publish_fleet(s, now);
}

/*
 * Another follows the store for this host, so it answers him now, though it may
 * not have answered here.  Left at that, a host that takes control minutes
 * later would take the store for just back, doubt each entry that is removed,
 * and let all hosts use a target for two seconds more than it may be used.
 */
static void
be_told(struct watch *w, usec now)
{
	int i;

	membership_store_answered(&w->membership, now);
	for (i = 0; i < FEEDS; i++)
		w->feeds[i].backoff = 0;
}

/* Takes one message. */
static void
take(struct service *s, struct msg *m, usec now)
{
	struct watch *w = s->state;

	switch (m->kind) {
	case MSG_STORED:
		take_stored(s, m->data, now);
		break;
	case MSG_TOLD:
		watch_site_told(s, m->data);
		m->data = NULL;
		break;
	case MSG_READ_SITE:
		list_feed(&w->feeds[FEED_SITE], now);
		break;
	case MSG_RELIST:
		list_feed(&w->feeds[FEED_TARGETS], now);
		list_feed(&w->feeds[FEED_EVACUATIONS], now);
		break;
	case MSG_FOLLOW:
		w->told = 0;
		list_all(s, now);
		break;
	case MSG_BE_TOLD:
		w->told = 1;
		be_told(w, now);
		set_fresh(s, 0);
		break;
	case MSG_FLEET_TOLD:
		membership_adopt(&w->membership, m->data, now);
		break;
	case MSG_QUIT:
		w->stop = 1;
		break;
	default:
		break;
	}
}

/* The thread. */
static void
watch_run(struct service *s)
{
	struct watch *w = s->state;
	struct msg *m;
	usec now;

	tick(s, clock_mono());
	while (!w->stop) {
		m = ring_wait(s->in, TICK_US);
		now = clock_mono();
		if (m != NULL)
			take(s, m, now);
		msg_free(m);
		tick(s, now);
	}
}

/* Makes the service ready. */
static int
watch_open(struct service *s)
{
	struct watch *w;

	w = calloc(1, sizeof(*w));
	if (w == NULL)
		return (-1);
	s->state = w;
	w->feeds[FEED_SITE].kind = KIND_SITE;
	w->feeds[FEED_TARGETS].kind = KIND_TARGETS;
	w->feeds[FEED_EVACUATIONS].kind = KIND_EVACUATIONS;
	w->feeds[FEED_SITE].listing = 1;
	w->feeds[FEED_TARGETS].listing = 1;
	w->feeds[FEED_EVACUATIONS].listing = 1;
	w->membership.heartbeat =
	    MS(kernel_conf(s->kernel)->bounds.heartbeat_ms);
	return (0);
}

/* Frees all. */
static void
watch_close(struct service *s)
{
	struct watch *w = s->state;

	membership_free(&w->membership);
	shared_unref(w->site);
	free(w);
}

const struct service_ops watch_service = {
    "watch", 256, watch_open, watch_run, watch_close};
