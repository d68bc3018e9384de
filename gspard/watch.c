/*
 * The service that follows the platform's store: the configuration, the list of
 * targets and the evacuations of data centres.  It publishes each change as a
 * snapshot to the services that use it.
 */
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <jansson.h>
#include <xxhash.h>

#include "decode.h"
#include "watch.h"

#define TICK_US MS(100)
/* A watch without a change is renewed after this time.  A waiting watch may
 * miss changes when the store drops its history, and learns that only when it
 * is renewed.  Only the controller, and hosts without one, follow the store. */
#define WATCH_MS 1000
#define WATCH_EVACUATIONS_MS 2000
/* The first watch after the controller's updates shows what has changed since,
 * and that the store answers. */
#define PROMPT_MS 1
/* Pause after a change, so that changes in quick succession are read with one
 * call, as the platform counts calls.  A target that leaves must get no more
 * requests after 2 s, which leaves time for this pause. */
#define WATCH_PAUSE MS(250)
/* Retry delay while the store does not answer, doubled after each failure up to
 * the maximum.  The platform counts failed calls too, but after an outage a
 * host must know within 3 s which targets have left, and waits 2 s of these for
 * entries that lapsed (LAPSE_GRACE). */
#define RETRY_MIN MS(100)
#define RETRY_MAX MS(400)

/* Sends a reference to a shared snapshot to a service. */
void
watch_publish(
    struct service *s, const char *to, enum msg_kind kind, struct shared *sh)
{
	msg_post(s->kernel, to, kind, shared_ref(sh), shared_unref);
}

/* Logs an invalid entry, once for each version: lists are read repeatedly, and
 * would repeat the line. */
static void
log_invalid(struct watch *w, const struct store_item *f)
{
	uint64_t h = XXH3_64bits_withSeed(f->name, strlen(f->name), f->version);
	int i;

	for (i = 0; i < INVALID_LOGGED_MAX; i++) {
		if (w->invalid_logged[i] == h)
			return;
	}
	w->invalid_logged[w->ninvalid_logged++ % INVALID_LOGGED_MAX] = h;
	count_add(C_ENTRY_FOREIGN, 1);
	log_line(LOG_WARNING, "watch",
	    "Entry of target %s, version %llu, is not valid; the target is "
	    "treated as gone.",
	    f->name, (unsigned long long)version_revision(f->version));
}

/* Counts and logs the objects of a response that have no usable name. */
static void
log_unnamed(const struct store *st)
{
	if (st->nunnamed == 0)
		return;
	count_add(C_ENTRY_FOREIGN, (uint64_t)st->nunnamed);
	log_line(LOG_WARNING, "watch",
	    "%d objects of %s, after '%.*s', have no usable name and are "
	    "ignored.",
	    st->nunnamed, st->path, (int)st->after.n,
	    st->after.n == 0 ? "" : st->after.p);
}

/* Handles a target's entry. */
static void
handle_target(struct service *s, const struct store_item *f, usec now)
{
	struct watch *w = s->state;
	struct fleet_target t;

	if (f->deleted) {
		membership_entry_removed(&w->membership, f->name, now);
		return;
	}
	if (decode_target(f->raw, f->name, &t) != 0) {
		log_invalid(w, f);
		membership_entry_invalid(&w->membership, f->name, now);
		return;
	}
	membership_entry_put(&w->membership, &t, now);
}

/* Handles one evacuation; since is 0 if its start is unknown. */
static void
handle_evacuation(struct watch *w, const struct store_item *f, int listing,
    usec since, usec now)
{
	struct evacuations *e =
	    listing ? &w->listed : &w->membership.evacuations;

	if (f->deleted)
		evacuations_end(e, f->name, now);
	else if (evacuations_begin(e, f->name, since) != 0)
		log_line(LOG_ERR, "watch",
		    "At most %d data centres can be evacuated at a time, "
		    "evacuation of %s ignored.",
		    EVACUATIONS_MAX, f->name);
}

/* Handles changes of evacuations; since is when they began, or 0 if it is
 * unknown. */
static void
handle_evacuations(
    struct watch *w, const struct store *st, usec since, usec now)
{
	struct evacuations *e = &w->membership.evacuations;
	int i;

	/* Another host has already sent a later revision. */
	if (st->nitems == 0 || st->version < e->as_of)
		return;
	for (i = 0; i < st->nitems; i++)
		handle_evacuation(w, &st->items[i], 0, since, now);
	e->as_of = st->version;
	w->membership.changed = 1;
}

/* Handles all objects that a call returned. */
static void
handle_found(
    struct service *s, enum feed_kind kind, const struct store *st, usec now)
{
	struct watch *w = s->state;
	int i, gone = 0;

	for (i = 0; i < st->nitems; i++)
		gone += st->items[i].deleted;
	if (kind == FEED_TARGETS)
		membership_mass_removal(&w->membership, gone, now);
	for (i = 0; i < st->nitems; i++) {
		if (kind == FEED_SITE)
			watch_site_found(s, &st->items[i]);
		else if (kind == FEED_TARGETS)
			handle_target(s, &st->items[i], now);
		else
			handle_evacuation(w, &st->items[i], 1, 0, now);
	}
}

/* Handles the end of a page: continues with the next, or begins to watch. */
static void
list_page_done(
    struct watch *w, enum feed_kind kind, const struct store *st, usec now)
{
	struct feed *f = &w->feeds[kind];

	/*
	 * The watch starts at the first page's revision: it repeats changes
	 * that were made while the other pages were read, and misses none.
	 */
	if (f->after.n == 0)
		f->list_base = st->version;
	if (st->more) {
		str_set(&f->after, st->last.p, st->last.n);
		return;
	}
	f->after.n = 0;
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

/* True if a kind of object is followed at all. */
static int
is_followed(const struct service *s, int kind)
{
	return (kind != FEED_EVACUATIONS ||
	    kernel_conf(s->kernel)->bounds.evacuate_ms > 0);
}

/* True once the targets and the evacuations are known. */
static int
fleet_known(const struct service *s)
{
	const struct watch *w = s->state;

	return ((w->feeds[FEED_TARGETS].listed || w->received) &&
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

	if (digest == w->evacuations_logged)
		return;
	w->evacuations_logged = digest;
	for (i = 0; i < e->n; i++)
		log_line(LOG_NOTICE, "watch",
		    "Evacuation of data centre %s %s, revision %llu.",
		    e->list[i].dc, e->list[i].ended ? "has ended" : "in force",
		    (unsigned long long)version_revision(e->as_of));
}

/* Publishes the targets if they have changed. */
static void
publish_fleet(struct service *s, usec now)
{
	struct watch *w = s->state;
	struct shared *sh;
	struct fleet *fleet;

	membership_tick(&w->membership, now);
	if (!w->membership.changed || !fleet_known(s))
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
	watch_publish(s, "reach", MSG_FLEET, sh);
	watch_publish(s, "tunnel", MSG_FLEET, sh);
	shared_unref(sh);
}

/*
 * Informs the control service whether this host's list of targets was read from
 * the store just now.  Otherwise a controller that was cut off would push its
 * old list to all hosts once it is back, and a target that had left would get
 * requests again.
 */
static void
set_fresh(struct service *s, int fresh)
{
	struct watch *w = s->state;

	if (w->fresh == fresh)
		return;
	w->fresh = fresh;
	msg_post(s->kernel, "control",
	    fresh ? MSG_TARGETS_FRESH : MSG_TARGETS_STALE, NULL, NULL);
}

/* Tells the control service up to which version this host has followed all
 * kinds of objects, if that has changed. */
static void
post_as_of(struct service *s)
{
	struct watch *w = s->state;
	uint64_t least = UINT64_MAX, *copy;
	int i;

	for (i = 0; i < FEEDS; i++) {
		if (!is_followed(s, i))
			continue;
		if (w->feeds[i].listing || w->feeds[i].base == 0)
			return;
		if (w->feeds[i].base < least)
			least = w->feeds[i].base;
	}
	/* A removal that is doubted is not in the list yet. */
	if (!w->fresh || least == w->as_of ||
	    membership_has_doubts(&w->membership) ||
	    (copy = malloc(sizeof(*copy))) == NULL)
		return;
	*copy = least;
	if (msg_post(s->kernel, "control", MSG_STORE_AS_OF, copy, free) == 0)
		w->as_of = least;
}

/*
 * Handles the end of a watch, with changes or without, and schedules the next.
 */
static void
watch_done(struct feed *f, const struct store *st, usec now)
{
	if (st->version > f->base)
		f->base = st->version;
	f->next = now + (st->nitems > 0 ? WATCH_PAUSE : 0);
}

/* Logs a failed call. */
static void
log_failed(const struct feed *f, const struct store *st)
{
	if (st->result == STORE_DONE)
		log_line(LOG_WARNING, "watch",
		    "Listing %s does not get beyond '%.*s'.", f->kind,
		    (int)f->after.n, f->after.p == NULL ? "" : f->after.p);
	else
		log_line(LOG_WARNING, "watch",
		    "Reading %s from the store failed: result %d, status %d, "
		    "%zu bytes in %lld ms.",
		    f->kind, st->result, st->status, st->body.n,
		    (long long)(st->duration / 1000));
}

/* Handles a failed call: schedules a retry, with a longer delay each time. */
static void
call_failed(struct service *s, struct feed *f, const struct store *st, usec now)
{
	struct watch *w = s->state;

	if (f->backoff == 0)
		log_failed(f, st);
	f->backoff = f->backoff == 0 ? RETRY_MIN : f->backoff * 2;
	if (f->backoff > RETRY_MAX)
		f->backoff = RETRY_MAX;
	f->next = now + f->backoff;
	/* Ignore a call that was sent before MSG_FOLLOW_CONTROLLER. */
	if (!w->from_controller)
		membership_store_failed(&w->membership, now);
	set_fresh(s, 0);
	if (f == &w->feeds[FEED_SITE])
		msg_post(
		    s->kernel, "control", MSG_SITE_READ_FAILED, NULL, NULL);
}

/*
 * Begins to list all objects of a kind.  A list in progress is continued, as
 * the watch after it reports what changes meanwhile.  If each new reason to
 * list restarted it, a list that takes longer than the time between these would
 * never end.
 */
static void
feed_list(struct feed *f, usec now)
{
	if (f->listing && (f->pending || f->after.n > 0))
		return;
	f->listing = 1;
	f->after.n = 0;
	f->next = now;
	f->pending = 0;
	f->call_id++;
}

/* Cancels a list that is not needed; the outcome of its call is ignored. */
void
watch_cancel_list(struct feed *f)
{
	f->listing = 0;
	f->after.n = 0;
	f->pending = 0;
	f->call_id++;
}

/*
 * Lists all kinds, after the store has dropped its history: a watch of another
 * kind that is still waiting may have missed changes.
 */
static void
feed_list_all(struct service *s, usec now)
{
	struct watch *w = s->state;
	int i;

	for (i = 0; i < FEEDS; i++) {
		if (is_followed(s, i))
			feed_list(&w->feeds[i], now);
	}
}

/*
 * Follows the store from a version on, up to which this host has what the
 * controller had.  If that is not known, lists all: 50 calls for 10,000
 * targets, by each host that loses its controller.
 */
static void
follow_from(struct service *s, uint64_t as_of, usec now)
{
	struct watch *w = s->state;
	struct feed *f;
	int i;

	for (i = 0; i < FEEDS; i++) {
		f = &w->feeds[i];
		if (!is_followed(s, i))
			continue;
		if (as_of == 0 || f->listing) {
			feed_list(f, now);
			continue;
		}
		f->base = as_of;
		f->prompt = 1;
		f->next = now;
		f->pending = 0;
		f->call_id++;
	}
}

/* Returns the kind of object that a call was for. */
static enum feed_kind
feed_kind_of(const struct watch *w, const char *tag)
{
	int i;

	for (i = 0; i < FEEDS - 1; i++) {
		if (strcmp(tag, w->feeds[i].kind) == 0)
			break;
	}
	return ((enum feed_kind)i);
}

/*
 * Lists all kinds anew if the store has come back from an old copy.  Targets
 * and the operator write again what it has lost, which takes a moment:
 * meanwhile missing entries are doubted, and evacuations are not read.
 */
static void
take_era(struct service *s, const struct store *st, usec now)
{
	struct watch *w = s->state;

	if (st->status == 0 || !era_rose(&w->era, st->era))
		return;
	membership_store_restored(&w->membership, now);
	/* A list that was begun before is not read. */
	watch_cancel_list(&w->feeds[FEED_EVACUATIONS]);
	feed_list_all(s, now);
	w->feeds[FEED_EVACUATIONS].next = now + LAPSE_GRACE;
}

/*
 * True if a page of a list neither ends it nor leads on.  To take the list for
 * complete would be to take all that follows for gone, and to ask for the same
 * page at once would repeat it without a pause.
 */
static int
is_stuck(const struct feed *f, const struct store *st)
{
	return (st->op == STORE_LIST && st->more &&
	    (st->last.n == 0 ||
		(st->last.n == f->after.n &&
		    memcmp(st->last.p, f->after.p, f->after.n) == 0)));
}

/* Handles the outcome of a call. */
static void
call_done(struct service *s, const struct store *st, usec now)
{
	struct watch *w = s->state;
	enum feed_kind kind = feed_kind_of(w, st->tag);
	struct feed *f = &w->feeds[kind];
	usec since = f->backoff == 0 ? now : 0;

	take_era(s, st, now);
	if (st->generation != f->call_id)
		return;
	f->pending = 0;
	if (st->result == STORE_COMPACTED) {
		log_line(LOG_NOTICE, "watch",
		    "Store has dropped the history of %s, listing all.",
		    f->kind);
		feed_list_all(s, now);
		return;
	}
	if (st->result != STORE_DONE || is_stuck(f, st)) {
		call_failed(s, f, st, now);
		return;
	}
	if (f->backoff != 0)
		log_line(LOG_NOTICE, "watch", "Store answers again for %s.",
		    f->kind);
	f->backoff = 0;
	membership_store_answered(&w->membership, now);
	log_unnamed(st);
	if (kind == FEED_EVACUATIONS && st->op == STORE_WATCH)
		handle_evacuations(w, st, since, now);
	else
		handle_found(s, kind, st, now);
	if (st->op == STORE_LIST)
		list_page_done(w, kind, st, now);
	else
		watch_done(f, st, now);
	/* After the configuration itself, which was published above. */
	if (kind == FEED_SITE && st->op == STORE_LIST && !f->listing)
		msg_post(s->kernel, "control", MSG_SITE_READ, NULL, NULL);
	/* First the targets, then the message that they are from the store. */
	publish_fleet(s, now);
	if (kind == FEED_TARGETS && !f->listing && !w->from_controller)
		set_fresh(s, 1);
	post_as_of(s);
}

/* Starts a feed's next call, a page of a list or a watch. */
static void
feed_call(struct service *s, struct feed *f)
{
	struct watch *w = s->state;
	struct store *st;

	st = store_new(f->listing ? STORE_LIST : STORE_WATCH, "watch", f->kind);
	if (st == NULL)
		return;
	name_copy(st->tag, sizeof(st->tag), f->kind);
	if (f->listing) {
		str_set(&st->after, f->after.p, f->after.n);
		if (f->after.n == 0 && f == &w->feeds[FEED_TARGETS])
			membership_list_begin(&w->membership);
		if (f->after.n == 0 && f == &w->feeds[FEED_EVACUATIONS])
			memset(&w->listed, 0, sizeof(w->listed));
	} else {
		st->base = f->base;
		st->wait_ms = f == &w->feeds[FEED_EVACUATIONS]
		    ? WATCH_EVACUATIONS_MS
		    : WATCH_MS;
		if (f->prompt)
			st->wait_ms = PROMPT_MS;
		f->prompt = 0;
	}
	st->generation = ++f->call_id;
	f->pending = 1;
	store_send(s->kernel, st);
}

/* Starts the calls that are due, and publishes changes. */
static void
tick(struct service *s, usec now)
{
	struct watch *w = s->state;
	int i;

	for (i = 0; i < FEEDS; i++) {
		if (!is_followed(s, i) ||
		    (w->from_controller && !w->feeds[i].listing))
			continue;
		/* While the store fails, only the first feed retries; the
		 * others that failed wait for it. */
		if (i > 0 && w->feeds[0].backoff != 0 &&
		    w->feeds[i].backoff != 0)
			continue;
		if (!w->feeds[i].pending && now >= w->feeds[i].next)
			feed_call(s, &w->feeds[i]);
	}
	publish_fleet(s, now);
}

/*
 * Resets the record of store failures when the controller begins to follow the
 * store for this host: the store answers the controller, even if it did not
 * answer this host.  Otherwise this host, if it takes control minutes later,
 * would assume that the store has just come back, treat each removed entry as
 * possibly lost by the store, and let all hosts use a target for two seconds
 * longer than allowed.
 */
static void
reset_failures(struct watch *w, usec now)
{
	int i;

	membership_store_answered(&w->membership, now);
	for (i = 0; i < FEEDS; i++)
		w->feeds[i].backoff = 0;
}

/* Takes targets from another host.  With all of them, a list from the store is
 * no longer needed, unless this host follows the store itself. */
static void
fleet_received(struct watch *w, const struct fleet *f, usec now)
{
	membership_adopt(&w->membership, f, now);
	w->received |= f->whole;
	if (f->whole && w->from_controller)
		watch_cancel_list(&w->feeds[FEED_TARGETS]);
}

/* Handles one message. */
static void
handle_message(struct service *s, struct msg *m, usec now)
{
	struct watch *w = s->state;

	switch (m->kind) {
	case MSG_STORE_DONE:
		call_done(s, m->data, now);
		break;
	case MSG_SITE_RECEIVED:
		watch_site_received(s, m->data);
		m->data = NULL;
		break;
	case MSG_READ_SITE:
		feed_list(&w->feeds[FEED_SITE], now);
		break;
	case MSG_RELIST:
		feed_list(&w->feeds[FEED_TARGETS], now);
		feed_list(&w->feeds[FEED_EVACUATIONS], now);
		break;
	case MSG_FOLLOW_STORE:
		w->from_controller = 0;
		follow_from(s, m->data == NULL ? 0 : *(uint64_t *)m->data, now);
		break;
	case MSG_FOLLOW_CONTROLLER:
		w->from_controller = 1;
		reset_failures(w, now);
		set_fresh(s, 0);
		break;
	case MSG_FLEET_RECEIVED:
		fleet_received(w, m->data, now);
		break;
	case MSG_LEAVE_ANNOUNCED:
		membership_leave_announced(&w->membership, m->data);
		break;
	case MSG_QUIT:
		w->stop = 1;
		break;
	default:
		break;
	}
}

/* Runs the service's thread until MSG_QUIT. */
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
			handle_message(s, m, now);
		msg_free(m);
		tick(s, now);
	}
}

/* Opens the service; 0, or -1 on failure. */
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
	/* The control service tells when this host is to follow the store. */
	w->from_controller = 1;
	w->feeds[FEED_SITE].listing = 1;
	w->membership.heartbeat =
	    MS(kernel_conf(s->kernel)->bounds.heartbeat_ms);
	return (0);
}

/* Frees the service's state. */
static void
watch_close(struct service *s)
{
	struct watch *w = s->state;
	int i;

	for (i = 0; i < FEEDS; i++)
		str_free(&w->feeds[i].after);
	membership_free(&w->membership);
	shared_unref(w->site);
	free(w);
}

const struct service_ops watch_service = {
    "watch", 256, watch_open, watch_run, watch_close};
