#include <stdlib.h>
#include <string.h>

#include "keys.h"

/* Interval between planning rounds. */
#define PLAN_INTERVAL MS(200)
/* Whether targets can be reached is known after this time. */
#define DOUBT_MAX MS(900)
/* Least number of entries of a table. */
#define SIZE_MIN 64

/* Initializes the key assignment of one service, not yet in control; 0, or -1
 * if memory runs out. */
int
keys_init(struct keys *k, const char *service, const struct keys_conf *conf,
    const struct keys_callbacks *cb, void *arg)
{
	memset(k, 0, sizeof(*k));
	name_copy(k->service, sizeof(k->service), service);
	k->conf = *conf;
	k->cb = cb;
	k->arg = arg;
	k->gain = 1;
	return (keys_ranges_reserve(k, 1));
}

/* Frees the memory that belongs to the assignment, but not k itself. */
void
keys_free(struct keys *k)
{
	free(k->put_text);
	k->put_text = NULL;
	free(k->targets);
	k->targets = NULL;
	k->ntargets = k->targets_size = k->unused_from = 0;
	hash_index_free(&k->by_id);
	free(k->ranges);
	k->ranges = NULL;
	k->nranges = k->ranges_size = 0;
	free(k->orders);
	k->orders = NULL;
	k->norders = k->orders_size = 0;
}

/* Takes control under a term: the next tick reads the owners from the store. */
void
keys_begin(struct keys *k, uint64_t term, usec now)
{
	keys_end(k);
	k->active = 1;
	k->handing_over = 0;
	k->term = term;
	k->next_try = now;
}

/* Gives up control and forgets all owners and orders. */
void
keys_end(struct keys *k)
{
	k->active = 0;
	k->restored = 0;
	k->stale = 0;
	k->rewrite = 0;
	k->loaded = 0;
	k->claimed = 0;
	k->get_pending = 0;
	k->put_pending = 0;
	k->put_unknown = 0;
	k->nranges = 0;
	keys_orders_drop(k);
	k->dirty = 0;
	k->write_seq = 0;
	k->stored_seq = 0;
	free(k->put_text);
	k->put_text = NULL;
}

/* Requests a write; urgent if a move or a grant waits for it. */
void
keys_mark_dirty(struct keys *k, usec now, int urgent)
{
	if (!k->dirty)
		k->dirty_since = now;
	k->dirty = 1;
	k->urgent |= urgent;
}

/* Returns the index of the target with an id, or NO_TARGET. */
static int
target_find(const struct keys *k, const char *id)
{
	int i;

	for (i = hash_index_first(&k->by_id, hash_name(id)); i >= 0;
	     i = hash_index_next(&k->by_id, i)) {
		if (strcmp(k->targets[i].id, id) == 0)
			return (i);
	}
	return (NO_TARGET);
}

/* True if a range or a pending order refers to the target. */
static int
target_referenced(const struct keys *k, int n)
{
	int i;

	for (i = 0; i < k->nranges; i++) {
		if (k->ranges[i].owner == n || k->ranges[i].next == n)
			return (1);
	}
	return (keys_orders_refer(k, n));
}

/* Returns twice a size, or the least one. */
static int
grown(int size)
{
	return (size == 0 ? SIZE_MIN : 2 * size);
}

/* Returns the index of an unused entry for a target; NO_TARGET if memory runs
 * out. */
static int
unused_target(struct keys *k)
{
	struct key_target *list;
	int i = k->unused_from, size = grown(k->targets_size);

	while (i < k->ntargets && k->targets[i].used)
		i++;
	k->unused_from = i;
	if (i < k->targets_size)
		return (i);
	list = realloc(k->targets, sizeof(*list) * (size_t)size);
	if (list == NULL)
		return (NO_TARGET);
	k->targets = list;
	if (hash_index_reserve(&k->by_id, size) != 0)
		return (NO_TARGET);
	k->targets_size = size;
	return (i);
}

/* Makes room for n ranges; 0, or -1 if there are to be too many, or memory runs
 * out. */
int
keys_ranges_reserve(struct keys *k, int n)
{
	struct key_range *list;
	int size = k->ranges_size;

	if (n <= size)
		return (0);
	while (size < n)
		size = grown(size);
	if (n > KEYS_RANGES_MAX) {
		k->cb->event(k->arg, k->service,
		    "too many ranges of keys for the store, none is split");
		return (-1);
	}
	list = realloc(k->ranges, sizeof(*list) * (size_t)size);
	if (list == NULL)
		return (-1);
	k->ranges = list;
	k->ranges_size = size;
	return (0);
}

/* Returns the target with an id, added if new; NO_TARGET if that fails. */
int
keys_target_add(struct keys *k, const char *id)
{
	struct key_target *t;
	int n = target_find(k, id);

	if (n != NO_TARGET || (n = unused_target(k)) == NO_TARGET)
		return (n);
	if (n == k->ntargets)
		k->ntargets++;
	t = &k->targets[n];
	memset(t, 0, sizeof(*t));
	t->used = 1;
	t->slots = 1;
	t->latency_ratio = 1;
	t->leaving = 1;
	name_copy(t->id, sizeof(t->id), id);
	hash_index_add(&k->by_id, n, hash_name(id));
	return (n);
}

/* Frees a target's entry. */
static void
target_drop(struct keys *k, int n)
{
	k->targets[n].used = 0;
	if (n < k->unused_from)
		k->unused_from = n;
	hash_index_remove(&k->by_id, n);
}

/* Fills an index of the targets that are not gone by address; 0, or -1 if
 * memory runs out. */
static int
index_addrs(struct hash_index *x, const struct fleet *f)
{
	int i;

	if (hash_index_reserve(x, f->ntargets) != 0)
		return (-1);
	for (i = 0; i < f->ntargets; i++) {
		if (!f->targets[i].gone)
			hash_index_add(x, i, hash_name(f->targets[i].addr));
	}
	return (0);
}

/* True if another target than t uses t's address now. */
static int
is_addr_reused(const struct hash_index *x, const struct fleet *f,
    const struct key_target *t)
{
	int i;

	for (i = hash_index_first(x, hash_name(t->addr)); i >= 0;
	     i = hash_index_next(x, i)) {
		if (strcmp(f->targets[i].addr, t->addr) == 0 &&
		    strcmp(f->targets[i].id, t->id) != 0)
			return (1);
	}
	return (0);
}

/*
 * Stops orders to leaving targets whose address another one uses now, so that
 * it does not get orders that are meant for them.
 */
static void
unlist_reused_addrs(struct keys *k, const struct fleet *f)
{
	struct hash_index x;
	struct key_target *t;
	int i, known = 0;

	memset(&x, 0, sizeof(x));
	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (!t->used || !t->leaving || !t->listed)
			continue;
		if (!known && index_addrs(&x, f) != 0)
			break;
		known = 1;
		if (is_addr_reused(&x, f, t))
			t->listed = 0;
	}
	hash_index_free(&x);
}

/* Sets the time until which a target is cold: after its start, or after the
 * evacuation of its data centre has ended. */
static void
set_cold(const struct keys *k, struct key_target *t, const struct fleet *f,
    const struct fleet_target *entry)
{
	usec after_evacuation = evacuations_cold_until(
	    &f->evacuations, entry->dc, k->conf.cold_start);

	t->cold_until = entry->cold_until > after_evacuation ? entry->cold_until
							     : after_evacuation;
	t->cold_limited = k->conf.cold_limited;
}

/* Updates the targets from the fleet known now. */
void
keys_set_fleet(struct keys *k, const struct fleet *f, usec now)
{
	struct key_target *t;
	int i, n, size = 0;

	for (i = 0; i < k->ntargets; i++)
		k->targets[i].listed = 0;
	for (i = 0; i < f->ntargets; i++) {
		if (strcmp(f->targets[i].service, k->service) != 0 ||
		    (n = keys_target_add(k, f->targets[i].id)) == NO_TARGET)
			continue;
		t = &k->targets[n];
		if (strcmp(t->addr, f->targets[i].addr) != 0)
			name_copy(t->addr, sizeof(t->addr), f->targets[i].addr);
		t->slots = f->targets[i].slots;
		t->leaving = f->targets[i].leaving;
		t->evacuated =
		    evacuations_active(&f->evacuations, f->targets[i].dc);
		set_cold(k, t, f, &f->targets[i]);
		if (!t->listed && t->last_reply == 0)
			t->last_reply = now;
		t->listed = 1;
		size += !t->leaving && !t->evacuated;
	}
	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (!t->used || t->listed)
			continue;
		t->leaving = 1;
		if (!target_referenced(k, i))
			target_drop(k, i);
	}
	unlist_reused_addrs(k, f);
	if (size != k->fleet_size) {
		k->fleet_changed = now;
		k->next_plan = now;
	}
	k->fleet_size = size;
	k->have_fleet = 1;
}

/* Sets how long targets are cold after a start, and whether cold targets have
 * a rate limit. */
void
keys_set_cold_start(struct keys *k, usec cold_start, int limited)
{
	int i;

	k->conf.cold_start = cold_start;
	k->conf.cold_limited = limited;
	for (i = 0; i < k->ntargets; i++)
		k->targets[i].cold_limited = limited;
}

/* Smooths the relative response time of a target, as reported by a host. */
void
keys_add_latency(struct keys *k, const char *target, double latency_ratio,
    int replies, usec now)
{
	int n = target_find(k, target);

	if (n == NO_TARGET || replies == 0)
		return;
	k->targets[n].last_reply = now;
	k->targets[n].latency_ratio +=
	    0.15 * (latency_ratio - k->targets[n].latency_ratio);
}

/* Sets the rate limit of a target: requests per second from all hosts. */
void
keys_set_rate_limit(
    struct keys *k, const char *target, double rate_limit, usec now)
{
	int n = target_find(k, target);

	if (n == NO_TARGET)
		return;
	k->targets[n].rate_limit = rate_limit;
	k->targets[n].limit_reported_at = now;
}

/* Joins adjacent ranges that one grant can cover. */
static void
join_ranges(struct keys *k, usec now)
{
	struct key_range *a, *b;
	int i, n = 0;

	for (i = 1; i < k->nranges; i++) {
		a = &k->ranges[n];
		b = &k->ranges[i];
		if (a->phase != RANGE_OWNED || b->phase != RANGE_OWNED ||
		    a->owner != b->owner || a->owner == NO_TARGET ||
		    a->order_pending || b->order_pending || !a->confirmed ||
		    !b->confirmed || now - b->moved_at < k->conf.renew ||
		    now - a->moved_at < k->conf.renew) {
			k->ranges[++n] = *b;
			continue;
		}
		a->to = b->to;
		/* Either fence is stored; the higher one is valid for both. */
		if (b->fence > a->fence)
			a->fence = b->fence;
		if (b->granted_until > a->granted_until)
			a->granted_until = b->granted_until;
		if (b->unanswered_until > a->unanswered_until)
			a->unanswered_until = b->unanswered_until;
		if (b->next_order_at < a->next_order_at)
			a->next_order_at = b->next_order_at;
	}
	k->nranges = n + 1;
}

/* True once this controller has claimed the owners and knows the targets, so
 * that it can plan and publish the owners. */
int
keys_ready(const struct keys *k)
{
	return (k->claimed && k->have_fleet);
}

/* Prepares for a handover: begins no more moves and writes without delay. */
void
keys_begin_handover(struct keys *k)
{
	k->handing_over = 1;
}

/*
 * True if no move is under way and all is written.  A controller that takes
 * over then need not wait for the old and the new owner of any keys.
 */
int
keys_handover_ready(const struct keys *k)
{
	int i;

	if (!k->claimed)
		return (1);
	if (k->dirty || k->put_pending || k->rewrite)
		return (0);
	for (i = 0; i < k->nranges; i++) {
		if (k->ranges[i].phase != RANGE_OWNED)
			return (0);
	}
	return (1);
}

/* Records that orders may have failed because no target can be reached from
 * here: no target is taken for lost until that is known. */
void
keys_doubt_orders(struct keys *k, usec now)
{
	if (now >= k->doubted_until)
		k->doubted_until = now + DOUBT_MAX;
}

/* Records that it is known whether targets can be reached.  With `forget`,
 * failed orders so far say nothing of targets. */
void
keys_settle_orders(struct keys *k, int forget)
{
	int i;

	k->doubted_until = 0;
	for (i = 0; i < k->ntargets && forget; i++)
		k->targets[i].unanswered_streak = 0;
}

/* Does what is due; call it only while this host may send orders. */
void
keys_tick(struct keys *k, usec now)
{
	int i;

	if (!k->active)
		return;
	keys_store_tick(k, now);
	if (!keys_ready(k))
		return;
	for (i = 0; i < k->nranges; i++)
		keys_range_tick(k, &k->ranges[i], now);
	keys_grants_tick(k, now);
	if (now < k->next_plan || now < k->doubted_until || k->handing_over)
		return;
	k->next_plan = now + PLAN_INTERVAL;
	join_ranges(k, now);
	keys_plan(k, now);
	keys_store_tick(k, now);
}

/* Fills in the owners, for hosts that send requests; owners->ranges is the
 * caller's to free, NULL if out of memory. */
void
keys_fill_owners(const struct keys *k, struct owner_service *owners)
{
	const struct key_range *r;
	struct owner_range *o;
	int i;

	name_copy(owners->name, sizeof(owners->name), k->service);
	owners->nranges = 0;
	owners->ranges =
	    calloc((size_t)k->nranges + 1, sizeof(*owners->ranges));
	if (owners->ranges == NULL)
		return;
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		o = &owners->ranges[owners->nranges++];
		o->from = r->from;
		o->to = r->to;
		o->target = r->owner;
		/* A request that is sent before the grant arrives would be
		 * refused, and count as a retry when it is sent again. */
		o->moving = r->releasing || r->awaiting_grant;
		o->served_at = r->releasing ? keys_grants_lapse_at(r) : 0;
		if (o->moving &&
		    (r->owner_restarted || (!r->released && r->order_pending)))
			o->served_at = 0;
	}
}
