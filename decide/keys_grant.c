/*
 * Grants and releases: when a range may be granted, who may hold it after an
 * order and its reply, and when the next owner can have it.
 */
#include <stdlib.h>
#include <string.h>

#include "keys.h"

/* Delay before an order that failed is sent again. */
#define ORDER_RETRY_DELAY MS(150)
/* Least number of entries of the table of orders. */
#define ORDERS_SIZE_MIN 64

/* Returns the entry that an order has, or would have, in the table. */
static struct pending_order *
order_entry(const struct keys *k, uint64_t id)
{
	return (&k->orders[id & (uint64_t)(k->orders_size - 1)]);
}

/* Doubles the table of orders; 0, or -1 if memory runs out.  Orders of
 * different entries keep different ones. */
static int
grow_orders(struct keys *k)
{
	struct pending_order *old = k->orders;
	int i, size = k->orders_size;

	k->orders_size = size == 0 ? ORDERS_SIZE_MIN : 2 * size;
	k->orders = calloc((size_t)k->orders_size, sizeof(*k->orders));
	if (k->orders == NULL) {
		k->orders = old;
		k->orders_size = size;
		return (-1);
	}
	for (i = 0; i < size; i++) {
		if (old[i].id != 0)
			*order_entry(k, old[i].id) = old[i];
	}
	free(old);
	return (0);
}

/* Forgets all pending orders. */
void
keys_orders_drop(struct keys *k)
{
	if (k->orders_size > 0)
		memset(
		    k->orders, 0, sizeof(*k->orders) * (size_t)k->orders_size);
	k->norders = 0;
}

/* True if a pending order is for the target. */
int
keys_orders_refer(const struct keys *k, int target)
{
	int i;

	for (i = 0; i < k->orders_size && k->norders > 0; i++) {
		if (k->orders[i].id != 0 && k->orders[i].target == target)
			return (1);
	}
	return (0);
}

/* Returns the time until which a target may hold keys by a grant that it
 * receives at most KEYS_NETWORK_DELAY after now. */
static usec
held_until(const struct keys *k, usec now)
{
	return (now + KEYS_NETWORK_DELAY +
	    (usec)((double)k->conf.hold * KEYS_CLOCK_DRIFT));
}

/* Sends an order for the keys from..to, all of one owner; 0, or -1 if memory
 * runs out. */
static int
send_order(struct keys *k, int target, int release, uint32_t from, uint32_t to,
    uint64_t fence, const char *handover)
{
	struct key_order o;
	struct pending_order *pending;

	memset(&o, 0, sizeof(o));
	if (2 * k->norders >= k->orders_size && grow_orders(k) != 0)
		return (-1);
	while (order_entry(k, ++k->order_id)->id != 0)
		;
	o.id = k->order_id;
	o.release = release;
	o.from = from;
	o.to = to;
	o.fence = fence;
	o.hold_ms = (int)(k->conf.hold / 1000);
	name_copy(o.handover, sizeof(o.handover), handover);
	name_copy(o.target, sizeof(o.target), k->targets[target].id);
	name_copy(o.addr, sizeof(o.addr), k->targets[target].addr);
	pending = order_entry(k, o.id);
	k->norders++;
	pending->id = o.id;
	pending->target = target;
	pending->release = release;
	pending->from = from;
	pending->to = to;
	k->cb->order(k->arg, k->service, &o);
	return (0);
}

/*
 * True if a range may be granted to its owner.  A range whose release was begun
 * is not granted to its owner again, even if the next owner becomes unavailable
 * and another is planned: an earlier controller may have granted the range to
 * that next owner, and both would hold it.
 */
static int
may_grant(const struct keys *k, const struct key_range *r)
{
	return (!r->releasing && r->owner != NO_TARGET && !r->order_pending &&
	    k->targets[r->owner].listed && k->stored_seq >= r->fence_write);
}

/* True if a grant is due; during a move, until the release begins. */
static int
renewal_due(const struct keys *k, const struct key_range *r, usec now)
{
	return (may_grant(k, r) && now >= r->next_order_at);
}

/*
 * Grants a range, and with it those that follow and that the same grant can
 * cover.  Returns the index of the last one.
 */
static int
send_grant(struct keys *k, int first, usec now)
{
	struct key_range *a = &k->ranges[first], *r;
	int n = first, i;
	usec until = held_until(k, now) + k->conf.order_timeout;

	while (n + 1 < k->nranges && a->handover[0] == '\0') {
		r = &k->ranges[n + 1];
		if (!may_grant(k, r) || r->owner != a->owner ||
		    r->fence != a->fence || r->handover[0] != '\0')
			break;
		n++;
	}
	for (i = first; i <= n; i++) {
		r = &k->ranges[i];
		r->order_pending = 1;
		r->next_order_at = now + k->conf.renew;
		r->prior_granted_until = r->granted_until;
		if (r->granted_until < until)
			r->granted_until = until;
	}
	if (send_order(k, a->owner, 0, a->from, k->ranges[n].to, a->fence,
		a->handover) == 0)
		return (n);
	for (i = first; i <= n; i++) {
		r = &k->ranges[i];
		r->order_pending = 0;
		r->granted_until = r->prior_granted_until;
	}
	return (n);
}

/* Sends all grants that are due. */
void
keys_grants_tick(struct keys *k, usec now)
{
	int i;

	for (i = 0; i < k->nranges; i++) {
		if (renewal_due(k, &k->ranges[i], now))
			i = send_grant(k, i, now);
	}
}

/*
 * Returns the time from which only the next owner can hold the range; it
 * follows from the orders sent and their replies alone.
 *
 * A release that got its reply ends what the owner held until then.  A grant
 * that got no reply may be carried out seconds later, even after that release;
 * its hold time still counts from its arrival, so it ends by unanswered_until.
 * Without a release the owner may hold the range until its last grant lapses.
 */
usec
keys_grants_lapse_at(const struct key_range *r)
{
	if (r->owner == NO_TARGET)
		return (r->granted_until);
	return (r->released ? r->unanswered_until : r->granted_until);
}

/* Completes a move: no target holds the range any more, so next becomes owner.
 */
static void
complete_move(struct keys *k, struct key_range *r, usec now)
{
	r->owner = r->next;
	r->fence = r->next_fence;
	r->fence_write = r->plan_write;
	r->next = NO_TARGET;
	r->next_fence = 0;
	r->phase = RANGE_OWNED;
	r->confirmed = 0;
	if (!r->released)
		r->handover[0] = '\0';
	r->released = 0;
	r->releasing = 0;
	r->awaiting_grant = 1;
	/* A restarted target may have received grants that were sent to its
	 * earlier incarnation at the same address, so they still count. */
	if (!r->owner_restarted) {
		r->granted_until = 0;
		r->unanswered_until = 0;
	}
	r->owner_restarted = 0;
	r->next_order_at = now;
	r->moved_at = now;
	k->number++;
	keys_mark_dirty(k, now, 0);
}

/* Advances the move of a range to its next owner. */
void
keys_range_tick(struct keys *k, struct key_range *r, usec now)
{
	if (r->phase == RANGE_PLANNED && k->stored_seq >= r->plan_write) {
		r->phase = RANGE_RELEASING;
		if (!r->releasing) {
			r->released = 0;
			r->handover[0] = '\0';
		}
		r->releasing = 1;
		r->next_order_at = now;
		k->number++;
	}
	if (r->phase != RANGE_RELEASING)
		return;
	if (!r->order_pending &&
	    (r->owner_restarted || now >= keys_grants_lapse_at(r))) {
		complete_move(k, r, now);
		return;
	}
	if (r->owner == NO_TARGET || r->released || r->order_pending ||
	    now < r->next_order_at || !k->targets[r->owner].listed)
		return;
	r->order_pending = 1;
	if (send_order(k, r->owner, 1, r->from, r->to, r->fence, "") != 0)
		r->order_pending = 0;
}

/* Records that a grant without a reply may be held until then, or longer by the
 * grant that it renews. */
static void
note_unanswered(struct key_range *r, usec until)
{
	if (r->unanswered_until < until)
		r->unanswered_until = until;
	if (r->granted_until < r->unanswered_until)
		r->granted_until = r->unanswered_until;
}

/* Handles the end of a grant, for one range. */
static void
grant_done(struct keys *k, struct key_range *r, int status, usec now)
{
	usec until = held_until(k, now);

	r->order_pending = 0;
	if (r->awaiting_grant) {
		r->awaiting_grant = 0;
		k->number++;
	}
	if (status == 200) {
		r->confirmed = 1;
		r->handover[0] = '\0';
		r->granted_until =
		    until > r->unanswered_until ? until : r->unanswered_until;
		return;
	}
	if (status <= 0) {
		/* Orders that cannot have arrived must not postpone the time
		 * from which a dead target's keys can be granted to others. */
		r->granted_until = r->prior_granted_until;
		if (status != ORDER_NOT_SENT)
			note_unanswered(r,
			    status == ORDER_NO_REPLY_NEW_CONN
				? until + KEYS_READ_DELAY
				: until);
		r->next_order_at = now + ORDER_RETRY_DELAY;
		return;
	}
	/* The target has seen a higher fence.  The next one must be stored
	 * before it is used. */
	r->fence = ++k->top_fence;
	r->fence_write = k->write_seq + 1;
	r->next_order_at = now;
	keys_mark_dirty(k, now, 1);
}

/* Handles the end of a release, for one range. */
static void
release_done(struct key_range *r, int status, const char *handover, usec now)
{
	r->order_pending = 0;
	if (status != 200) {
		r->next_order_at = now + ORDER_RETRY_DELAY;
		return;
	}
	r->released = 1;
	name_copy(r->handover, sizeof(r->handover), handover);
}

/* Returns the index of the first range that begins at a key or after it. */
static int
first_range(const struct keys *k, uint32_t key)
{
	int low = 0, high = k->nranges, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (k->ranges[mid].from < key)
			low = mid + 1;
		else
			high = mid;
	}
	return (low);
}

/* Handles the end of an order, with an HTTP status or an ORDER_ outcome. */
void
keys_order_done(
    struct keys *k, usec now, uint64_t id, int status, const char *handover)
{
	struct pending_order o;
	struct key_range *r;
	int i;

	if (id == 0 || k->orders_size == 0 || order_entry(k, id)->id != id)
		return;
	o = *order_entry(k, id);
	order_entry(k, id)->id = 0;
	k->norders--;
	if (status > 0) {
		k->targets[o.target].last_reply = now;
		k->targets[o.target].unanswered_streak = 0;
	} else
		k->targets[o.target].unanswered_streak++;
	for (i = first_range(k, o.from); i < k->nranges; i++) {
		r = &k->ranges[i];
		if (r->from > o.to)
			break;
		if (r->to > o.to || r->owner != o.target)
			continue;
		/* Also counts if another next owner was planned meanwhile. */
		if (o.release)
			release_done(r, status, handover, now);
		else
			grant_done(k, r, status, now);
	}
	k->number += o.release;
}
