#include <stdlib.h>
#include <string.h>

#include "keys.h"

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

/* Sets until when a target is cold. */
static void
take_cold(const struct keys *k, struct key_target *t, const struct fleet *f,
    const struct fleet_target *told)
{
	usec back = evacuations_cold_until(
	    &f->evacuations, told->dc, k->conf.cold_start);

	t->cold_until = told->cold_until > back ? told->cold_until : back;
	t->cold_limited = k->conf.cold_limited;
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
		t->evacuated =
		    evacuations_active(&f->evacuations, f->targets[i].dc);
		take_cold(k, t, f, &f->targets[i]);
		if (!t->listed && t->alive_at == 0)
			t->alive_at = now;
		t->listed = 1;
		size += !t->leaving && !t->evacuated;
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

/* How long targets are cold after a start, and whether they then take few
 * requests. */
void
keys_cold(struct keys *k, usec cold_start, int limited)
{
	int i;

	k->conf.cold_start = cold_start;
	k->conf.cold_limited = limited;
	for (i = 0; i < k->ntargets; i++)
		k->targets[i].cold_limited = limited;
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

/* A target takes so many requests a second from all hosts. */
void
keys_limited(struct keys *k, const char *target, double limit, usec now)
{
	int n = target_find(k, target);

	if (n == NO_TARGET)
		return;
	k->targets[n].limit = limit;
	k->targets[n].limited = now;
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
		keys_range_tick(k, &k->ranges[i], now);
	keys_grants_tick(k, now);
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
		o->back_at = r->letting_go ? keys_clear_at(r) : 0;
		if (o->moving && (r->inherits || (!r->released && r->open)))
			o->back_at = 0;
	}
}
