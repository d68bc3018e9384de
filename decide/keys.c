#include <stdlib.h>
#include <string.h>

#include "keys.h"

/* Between tries of an order that was not answered. */
#define ORDER_AGAIN MS(150)
/* Between looks at the balance. */
#define PLAN_EVERY MS(200)

/* Prepares the rules for one service. */
void
keys_init(struct keys *k, const char *service, const struct keys_conf *conf,
    const struct keys_out *out, void *arg)
{
	memset(k, 0, sizeof(*k));
	name_copy(k->service, sizeof(k->service), service);
	k->conf = *conf;
	k->out = out;
	k->arg = arg;
	k->gain = 1;
}

/* Frees what the rules keep. */
void
keys_free(struct keys *k)
{
	free(k->put_text);
	k->put_text = NULL;
}

/* This host controls from now on: first it reads what was decided. */
void
keys_begin(struct keys *k, uint64_t term, usec now)
{
	keys_end(k);
	k->active = 1;
	k->closing = 0;
	k->term = term;
	k->next_try = now;
}

/* This host no longer controls. */
void
keys_end(struct keys *k)
{
	k->active = 0;
	k->loaded = 0;
	k->claimed = 0;
	k->get_open = 0;
	k->put_open = 0;
	k->put_lost = 0;
	k->nranges = 0;
	k->norders = 0;
	k->dirty = 0;
	k->write_seq = 0;
	k->stored_seq = 0;
	free(k->put_text);
	k->put_text = NULL;
}

/* How long after an order's end the target may hold what it grants. */
static usec
held_after(const struct keys *k, usec now)
{
	return (
	    now + KEYS_WAY + (usec)((double)k->conf.hold * KEYS_CLOCK_SLOW));
}

/* Notes that something must be written; urgent where a plan waits for it. */
void
keys_dirty(struct keys *k, usec now, int urgent)
{
	if (!k->dirty)
		k->dirty_since = now;
	k->dirty = 1;
	k->urgent |= urgent;
}

/* The target with an id; NO_TARGET where there is none. */
static int
target_find(const struct keys *k, const char *id)
{
	int i;

	for (i = 0; i < k->ntargets; i++) {
		if (k->targets[i].used && strcmp(k->targets[i].id, id) == 0)
			return (i);
	}
	return (NO_TARGET);
}

/* True where a range or an open order names the target. */
static int
target_named(const struct keys *k, int n)
{
	int i;

	for (i = 0; i < k->nranges; i++) {
		if (k->ranges[i].owner == n || k->ranges[i].next == n)
			return (1);
	}
	for (i = 0; i < k->norders; i++) {
		if (k->orders[i].target == n)
			return (1);
	}
	return (0);
}

/* The target with an id, made where there is none; NO_TARGET where full. */
int
keys_target_add(struct keys *k, const char *id)
{
	struct key_target *t;
	int n = target_find(k, id), i;

	if (n != NO_TARGET)
		return (n);
	for (i = 0; i < k->ntargets && k->targets[i].used; i++)
		;
	if (i == KEYS_TARGETS)
		return (NO_TARGET);
	if (i == k->ntargets)
		k->ntargets++;
	t = &k->targets[i];
	memset(t, 0, sizeof(*t));
	t->used = 1;
	t->slots = 1;
	t->speed = 1;
	t->leaving = 1;
	name_copy(t->id, sizeof(t->id), id);
	return (i);
}

/*
 * A target that is gone may have left its address to another, which must not
 * be given orders that were meant for it.
 */
static void
avoid_reused(struct keys *k, const struct fleet_target *f)
{
	struct key_target *t;
	int i;

	for (i = 0; !f->gone && i < k->ntargets; i++) {
		t = &k->targets[i];
		if (t->used && t->leaving && strcmp(t->addr, f->addr) == 0 &&
		    strcmp(t->id, f->id) != 0)
			t->listed = 0;
	}
}

/* Takes in the targets that are known now. */
void
keys_fleet(struct keys *k, const struct fleet *f, usec now)
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
		name_copy(t->addr, sizeof(t->addr), f->targets[i].addr);
		t->slots = f->targets[i].slots;
		t->leaving = f->targets[i].leaving;
		t->cold_until = f->targets[i].cold_until;
		if (!t->listed && t->alive_at == 0)
			t->alive_at = now;
		t->listed = 1;
		size += !t->leaving;
	}
	for (i = 0; i < k->ntargets; i++) {
		t = &k->targets[i];
		if (!t->used || t->listed)
			continue;
		t->leaving = 1;
		t->used = target_named(k, i);
	}
	for (i = 0; i < f->ntargets; i++)
		avoid_reused(k, &f->targets[i]);
	if (size != k->fleet_size) {
		k->fleet_changed = now;
		k->next_plan = now;
	}
	k->fleet_size = size;
	k->have_fleet = 1;
}

/* What hosts learnt of a target. */
void
keys_learnt(
    struct keys *k, const char *target, double speed, int answers, usec now)
{
	int n = target_find(k, target);

	if (n == NO_TARGET || answers == 0)
		return;
	k->targets[n].alive_at = now;
	k->targets[n].speed += 0.15 * (speed - k->targets[n].speed);
}

/* Sends an order for keys from one range to another, both of one owner. */
static void
send_order(struct keys *k, int target, int release, uint32_t from, uint32_t to,
    uint64_t fence, const char *handover)
{
	struct key_order o;
	struct open_order *open;

	if (k->norders == KEYS_ORDERS)
		return;
	memset(&o, 0, sizeof(o));
	o.id = ++k->order_id;
	o.release = release;
	o.from = from;
	o.to = to;
	o.fence = fence;
	o.hold_ms = (int)(k->conf.hold / 1000);
	name_copy(o.handover, sizeof(o.handover), handover);
	name_copy(o.target, sizeof(o.target), k->targets[target].id);
	name_copy(o.addr, sizeof(o.addr), k->targets[target].addr);
	open = &k->orders[k->norders++];
	open->id = o.id;
	open->target = target;
	open->release = release;
	open->from = from;
	open->to = to;
	k->out->order(k->arg, k->service, &o);
}

/*
 * True where a range's grant may be sent or renewed.  A range that was to be
 * let go is not granted to its owner again, also when its next owner is lost
 * and another is planned: an earlier controller may have granted it to that
 * next, and both would hold it.
 */
static int
may_grant(const struct keys *k, const struct key_range *r)
{
	return (!r->letting_go && r->owner != NO_TARGET && !r->open &&
	    k->targets[r->owner].listed && k->stored_seq >= r->fence_by);
}

/* A range planned to go elsewhere is renewed until its owner is asked. */
static int
renews(const struct keys *k, const struct key_range *r, usec now)
{
	return (may_grant(k, r) && now >= r->renew_at);
}

/* Grants the ranges from one index on that one call can name. */
static int
grant_run(struct keys *k, int first, usec now)
{
	struct key_range *a = &k->ranges[first], *r;
	int n = first, i;
	usec until = held_after(k, now) + k->conf.order_wait;

	while (n + 1 < k->nranges && a->handover[0] == '\0') {
		r = &k->ranges[n + 1];
		if (!may_grant(k, r) || r->owner != a->owner ||
		    r->fence != a->fence || r->handover[0] != '\0')
			break;
		n++;
	}
	for (i = first; i <= n; i++) {
		r = &k->ranges[i];
		r->open = 1;
		r->renew_at = now + k->conf.renew;
		r->granted_before = r->granted_until;
		if (r->granted_until < until)
			r->granted_until = until;
	}
	send_order(
	    k, a->owner, 0, a->from, k->ranges[n].to, a->fence, a->handover);
	return (n);
}

/* Sends all grants that are due. */
static void
tick_grants(struct keys *k, usec now)
{
	int i;

	for (i = 0; i < k->nranges; i++) {
		if (renews(k, &k->ranges[i], now))
			i = grant_run(k, i, now);
	}
}

/*
 * When nobody but the next owner can hold the range: a pure rule over what was
 * sent and answered.
 *
 * A release that was answered ends what the owner held then.  A grant that was
 * never answered may be carried out seconds later, also after that release;
 * its time still counts from its arrival, so it ends by unanswered_until.
 * Without an answered release the owner may hold by its last grant.
 */
static usec
clear_at(const struct key_range *r)
{
	if (r->owner == NO_TARGET)
		return (r->granted_until);
	return (r->released ? r->unanswered_until : r->granted_until);
}

/* Nobody holds the range any more: it is the next's. */
static void
take_next(struct keys *k, struct key_range *r, usec now)
{
	r->owner = r->next;
	r->fence = r->next_fence;
	r->fence_by = r->plan_by;
	r->next = NO_TARGET;
	r->next_fence = 0;
	r->step = RANGE_OWNED;
	r->confirmed = 0;
	if (!r->released)
		r->handover[0] = '\0';
	r->released = 0;
	r->letting_go = 0;
	r->fresh = 1;
	r->granted_until = 0;
	r->unanswered_until = 0;
	r->renew_at = now;
	r->moved_at = now;
	k->number++;
	keys_dirty(k, now, 0);
}

/* Moves one range on towards its next owner. */
static void
tick_range(struct keys *k, struct key_range *r, usec now)
{
	if (r->step == RANGE_PLANNED && k->stored_seq >= r->plan_by) {
		r->step = RANGE_GIVING;
		if (!r->letting_go) {
			r->released = 0;
			r->handover[0] = '\0';
		}
		r->letting_go = 1;
		r->renew_at = now;
		k->number++;
	}
	if (r->step != RANGE_GIVING)
		return;
	if (!r->open && now >= clear_at(r)) {
		take_next(k, r, now);
		return;
	}
	if (r->owner == NO_TARGET || r->released || r->open ||
	    now < r->renew_at || !k->targets[r->owner].listed)
		return;
	r->open = 1;
	send_order(k, r->owner, 1, r->from, r->to, r->fence, "");
}

/* A grant that was not answered may be held until then, or what it renewed. */
static void
unanswered(struct key_range *r, usec until)
{
	if (r->unanswered_until < until)
		r->unanswered_until = until;
	if (r->granted_until < r->unanswered_until)
		r->granted_until = r->unanswered_until;
}

/* A grant ended for one range. */
static void
granted(struct keys *k, struct key_range *r, int status, usec now)
{
	usec until = held_after(k, now);

	r->open = 0;
	if (r->fresh) {
		r->fresh = 0;
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
		/* Tries that cannot have arrived must not put off the moment
		 * from which a lost target's keys are free. */
		r->granted_until = r->granted_before;
		if (status != ORDER_NOT_SENT)
			unanswered(r,
			    status == ORDER_UNREAD ? until + KEYS_UNREAD
						   : until);
		r->renew_at = now + ORDER_AGAIN;
		return;
	}
	/* It has seen a higher fence: only a written one may be used. */
	r->fence = ++k->top_fence;
	r->fence_by = k->write_seq + 1;
	r->renew_at = now;
	keys_dirty(k, now, 1);
}

/* A release ended for one range. */
static void
released(struct key_range *r, int status, const char *handover, usec now)
{
	r->open = 0;
	if (status != 200) {
		r->renew_at = now + ORDER_AGAIN;
		return;
	}
	r->released = 1;
	name_copy(r->handover, sizeof(r->handover), handover);
}

/* An order ended with an HTTP status, ORDER_SILENT or ORDER_NOT_SENT. */
void
keys_ordered(
    struct keys *k, usec now, uint64_t id, int status, const char *handover)
{
	struct open_order o;
	struct key_range *r;
	int i;

	for (i = 0; i < k->norders && k->orders[i].id != id; i++)
		;
	if (i == k->norders)
		return;
	o = k->orders[i];
	k->orders[i] = k->orders[--k->norders];
	if (status > 0) {
		k->targets[o.target].alive_at = now;
		k->targets[o.target].unanswered = 0;
	} else
		k->targets[o.target].unanswered++;
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		if (r->from < o.from || r->to > o.to || r->owner != o.target)
			continue;
		/* Also where another heir was planned meanwhile. */
		if (o.release)
			released(r, status, handover, now);
		else
			granted(k, r, status, now);
	}
	k->number += o.release;
}

/* Joins neighbours that one grant can name. */
static void
join(struct keys *k, usec now)
{
	struct key_range *a, *b;
	int i, n = 0;

	for (i = 1; i < k->nranges; i++) {
		a = &k->ranges[n];
		b = &k->ranges[i];
		if (a->step != RANGE_OWNED || b->step != RANGE_OWNED ||
		    a->owner != b->owner || a->owner == NO_TARGET || a->open ||
		    b->open || !a->confirmed || !b->confirmed ||
		    now - b->moved_at < k->conf.renew ||
		    now - a->moved_at < k->conf.renew) {
			k->ranges[++n] = *b;
			continue;
		}
		a->to = b->to;
		/* The higher of two fences, both of which are written. */
		if (b->fence > a->fence)
			a->fence = b->fence;
		if (b->granted_until > a->granted_until)
			a->granted_until = b->granted_until;
		if (b->unanswered_until > a->unanswered_until)
			a->unanswered_until = b->unanswered_until;
		if (b->renew_at < a->renew_at)
			a->renew_at = b->renew_at;
	}
	k->nranges = n + 1;
}

/* True once the owners are this controller's, and the targets are known: plans
 * can be made, and others be told. */
int
keys_settled(const struct keys *k)
{
	return (k->claimed && k->have_fleet);
}

/* Begins no more moves, and writes at once what is done. */
void
keys_close(struct keys *k)
{
	k->closing = 1;
}

/*
 * True where all that was decided is done and written.  Whoever takes control
 * now need not wait for owners before and after a move.
 */
int
keys_quiet(const struct keys *k)
{
	int i;

	if (!k->claimed)
		return (1);
	if (k->dirty || k->put_open)
		return (0);
	for (i = 0; i < k->nranges; i++) {
		if (k->ranges[i].step != RANGE_OWNED)
			return (0);
	}
	return (1);
}

/* Does what is due; only while this host may order targets. */
void
keys_tick(struct keys *k, usec now)
{
	int i;

	if (!k->active)
		return;
	keys_store_tick(k, now);
	if (!keys_settled(k))
		return;
	for (i = 0; i < k->nranges; i++)
		tick_range(k, &k->ranges[i], now);
	tick_grants(k, now);
	if (now < k->next_plan || k->closing)
		return;
	k->next_plan = now + PLAN_EVERY;
	join(k, now);
	keys_plan(k, now);
	keys_store_tick(k, now);
}

/* Who owns what, for hosts that send requests. */
void
keys_view(const struct keys *k, struct owner_service *out)
{
	const struct key_range *r;
	struct owner_range *o;
	int i;

	name_copy(out->name, sizeof(out->name), k->service);
	out->nranges = 0;
	out->ranges = calloc((size_t)k->nranges + 1, sizeof(*out->ranges));
	if (out->ranges == NULL)
		return;
	for (i = 0; i < k->nranges; i++) {
		r = &k->ranges[i];
		o = &out->ranges[out->nranges++];
		o->from = r->from;
		o->to = r->to;
		o->target = r->owner;
		/* Sent before the grant is there, a request would be turned
		 * away, and count as a repeat when it is sent again. */
		o->moving = r->letting_go || r->fresh;
		o->back_at = r->letting_go ? clear_at(r) : 0;
		if (o->moving && !r->released && r->open)
			o->back_at = 0;
	}
}
