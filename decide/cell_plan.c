#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cell_plan.h"

/* Shards of one service that move at the same time. */
#define MOVES_AT_ONCE 8

/* How far a service may be out of balance, and how much it may move. */
struct weighing {
	double tolerance;
	double moves_per_s;
	double burst;
};

/* By enum weigh: Kragelund's and Al Batinah's wishes. */
static const struct weighing weighings[] = {
    [WEIGH_IMBALANCE] = {1.15, 2.0, 16},
    [WEIGH_UNAVAILABLE] = {1.5, 0.25, 4},
};

/* The index of a target of the service, added as gone if not known. */
static int
target_index(struct cell *c, struct cell_service *s, const char *name)
{
	struct cell_target *t;
	int i, k = (int)(s - c->services);

	for (i = 0; i < c->ntargets; i++) {
		t = &c->targets[i];
		if (t->service == k && strcmp(t->conf.name, name) == 0)
			return (i);
	}
	if (c->ntargets == CELL_TARGETS)
		return (NOBODY);
	t = &c->targets[c->ntargets];
	memset(t, 0, sizeof(*t));
	name_copy(t->conf.name, sizeof(t->conf.name), name);
	t->conf.slots = 1;
	t->service = k;
	t->gone = 1;
	t->disp = NOBODY;
	t->granted = 1;
	return (c->ntargets++);
}

/* Reads the write id of an assignment's JSON; 0 where there is none. */
uint64_t
plan_write_id(const char *json, size_t n)
{
	const char *s;
	uint64_t id = 0;
	json_t *o;

	o = json_loadb(json, n, 0, NULL);
	s = json_string_value(json_object_get(o, "write"));
	if (s != NULL)
		id = strtoull(s, NULL, 16);
	json_decref(o);
	return (id);
}

/* Takes over an assignment as read; json NULL is none: nobody owns a shard. */
void
plan_load(struct cell *c, struct cell_service *s, const char *json, size_t n,
    uint64_t *id)
{
	json_t *o, *names, *owner, *fence;
	int *map;
	size_t i, k;

	for (i = 0; i < s->shards; i++) {
		s->owner[i] = NOBODY;
		s->fence[i] = 0;
	}
	s->top_fence = 0;
	if (json == NULL)
		return;
	o = json_loadb(json, n, 0, NULL);
	names = json_object_get(o, "targets");
	owner = json_object_get(o, "owner");
	fence = json_object_get(o, "fence");
	s->top_fence =
	    (uint64_t)json_integer_value(json_object_get(o, "top_fence"));
	map = calloc(json_array_size(names) + 1, sizeof(*map));
	map[0] = NOBODY;
	for (i = 0; i < json_array_size(names); i++)
		map[i + 1] = target_index(
		    c, s, json_string_value(json_array_get(names, i)));
	for (i = 0; i < s->shards; i++) {
		k = (size_t)json_integer_value(json_array_get(owner, i));
		if (k <= json_array_size(names))
			s->owner[i] = map[k];
		s->fence[i] =
		    (uint64_t)json_integer_value(json_array_get(fence, i));
	}
	*id = plan_write_id(json, n);
	free(map);
	json_decref(o);
}

/* The JSON of the open write; the caller frees it. */
char *
plan_json(struct cell *c, struct cell_service *s)
{
	json_t *o, *names, *owner, *fence;
	char id[20], *text;
	int *place, i, k = (int)(s - c->services);
	uint32_t n;

	o = json_object();
	names = json_array();
	owner = json_array();
	fence = json_array();
	place = calloc((size_t)c->ntargets + 1, sizeof(*place));
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service != k)
			continue;
		json_array_append_new(
		    names, json_string(c->targets[i].conf.name));
		place[i] = (int)json_array_size(names);
	}
	for (n = 0; n < s->shards; n++) {
		i = s->write.owner[n];
		json_array_append_new(
		    owner, json_integer(i == NOBODY ? 0 : place[i]));
		json_array_append_new(
		    fence, json_integer((json_int_t)s->write.fence[n]));
	}
	snprintf(id, sizeof(id), "%016" PRIx64, s->write.id);
	json_object_set_new(o, "term", json_integer((json_int_t)c->term));
	json_object_set_new(o, "write", json_string(id));
	json_object_set_new(
	    o, "top_fence", json_integer((json_int_t)s->top_fence + 1));
	json_object_set_new(o, "targets", names);
	json_object_set_new(o, "owner", owner);
	json_object_set_new(o, "fence", fence);
	text = json_dumps(o, JSON_COMPACT);
	free(place);
	json_decref(o);
	return (text);
}

/* Opens a write of s->write; where nothing was planned it is a claim. */
static void
open_write(struct cell *c, struct cell_service *s)
{
	c->seed = c->seed * 6364136223846793005u + 1442695040888963407u;
	s->write.id = c->seed | 1;
	s->write.open = 1;
	s->write.lost = 0;
	c->out->put(c->arg, s->name, s->version, plan_json(c, s));
}

/* Copies what is in force into the write, to be changed there. */
static void
start_write(struct cell_service *s)
{
	memcpy(s->write.owner, s->owner, s->shards * sizeof(*s->owner));
	memcpy(s->write.fence, s->fence, s->shards * sizeof(*s->fence));
}

/* Writes the assignment as it is, under this term. */
void
plan_write(struct cell *c, struct cell_service *s)
{
	start_write(s);
	open_write(c, s);
}

/* A view number that rises, and word of it to whoever spreads views. */
void
plan_changed(struct cell *c)
{
	c->view_seq++;
	c->out->changed(c->arg);
}

/* The open write is known to have taken effect: it is now in force. */
void
plan_commit(struct cell *c, struct cell_service *s, uint64_t version)
{
	char text[200];
	uint32_t i, n = 0;

	for (i = 0; i < s->shards; i++) {
		if (s->write.owner[i] != s->owner[i]) {
			n++;
			s->moving_to[i] = NOBODY;
			s->freed[i] = 0;
		}
	}
	memcpy(s->owner, s->write.owner, s->shards * sizeof(*s->owner));
	memcpy(s->fence, s->write.fence, s->shards * sizeof(*s->fence));
	s->version = version;
	s->top_fence++;
	s->write.open = 0;
	s->write.lost = 0;
	s->moved += n;
	snprintf(text, sizeof(text), "%s: %s, %" PRIu32 " shards placed",
	    s->name, s->claimed ? "assignment written" : "assignment claimed",
	    n);
	s->claimed = 1;
	c->out->event(c->arg, text);
	plan_changed(c);
}

/* True where the target may be given shards. */
static int
usable(const struct cell *c, int i)
{
	const struct cell_target *t = &c->targets[i];

	return (!t->gone && !t->conf.leaving && !t->leaving &&
	    t->disp != NOBODY && t->reported && t->up && t->granted);
}

/*
 * True where the shards of a target are free to go elsewhere: it holds no
 * grant for sure, and will get none before a later epoch.  Its dispatcher
 * speaks for its own grants; those of earlier dispatchers lapse by clear_at.
 */
static int
lost(const struct cell *c, int i, usec now)
{
	const struct cell_target *t = &c->targets[i];

	if (now < t->clear_at)
		return (0);
	if (t->disp == NOBODY)
		return (t->gone && c->settled);
	return (t->reported && !t->granted && (!t->up || t->gone));
}

/* What place.c needs to know of the targets. */
static void
survey(
    const struct cell *c, const struct cell_service *s, struct place_target *pt)
{
	int i, o, k = (int)(s - c->services);
	uint32_t n;

	for (i = 0; i < c->ntargets; i++) {
		memset(&pt[i], 0, sizeof(pt[i]));
		pt[i].slots = c->targets[i].conf.slots;
		pt[i].usable = c->targets[i].service == k && usable(c, i);
	}
	for (n = 0; n < s->shards; n++) {
		o = s->moving_to[n] != NOBODY ? s->moving_to[n] : s->owner[n];
		if (o == NOBODY)
			continue;
		pt[o].shards++;
		pt[o].load += s->load[n];
	}
}

/*
 * True where shards that nobody owns may be placed: once all targets are
 * there, or after some patience, else the first to answer would get them all.
 */
static int
may_fill(const struct cell *c, const struct cell_service *s, usec now)
{
	int i, k = (int)(s - c->services);

	if (now >= c->patient_until)
		return (1);
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service == k && !c->targets[i].gone &&
		    !c->targets[i].conf.leaving && !usable(c, i))
			return (0);
	}
	return (1);
}

/* Plans new owners for shards that may be placed now; true if any. */
static int
plan_owners(
    struct cell *c, struct cell_service *s, struct place_target *pt, usec now)
{
	uint32_t n;
	int o, to, any = 0, fill = may_fill(c, s, now);

	start_write(s);
	for (n = 0; n < s->shards; n++) {
		o = s->owner[n];
		if (o != NOBODY && s->freed[n])
			to = s->moving_to[n];
		else if (o == NOBODY ? fill : lost(c, o, now))
			to = place_pick(pt, c->ntargets);
		else
			continue;
		if (to == NOBODY ||
		    (!usable(c, to) &&
			(to = place_pick(pt, c->ntargets)) == NOBODY))
			continue;
		pt[to].shards++;
		pt[to].load += s->load[n];
		s->write.owner[n] = to;
		s->write.fence[n] = s->top_fence + 1;
		any = 1;
	}
	return (any);
}

/* Marks a shard as on its way to a target, or no more, from the next view. */
static void
flag(struct cell *c, struct cell_service *s, uint32_t n, int to)
{
	s->moving_to[n] = to;
	s->freed[n] = 0;
	s->flag_seq[n] = c->view_seq + 1;
}

/* How many shards are on their way. */
static int
moving(const struct cell_service *s)
{
	uint32_t n;
	int k = 0;

	for (n = 0; n < s->shards; n++)
		k += s->moving_to[n] != NOBODY;
	return (k);
}

/*
 * Starts moves away from targets that leave, all at once: a leaving target is
 * to get no new work within seconds.  True if any.
 */
static int
plan_leaving(struct cell *c, struct cell_service *s, struct place_target *pt)
{
	const struct cell_target *t;
	uint32_t n;
	int to, any = 0;

	for (n = 0; n < s->shards; n++) {
		if (s->owner[n] == NOBODY || s->moving_to[n] != NOBODY)
			continue;
		t = &c->targets[s->owner[n]];
		if (!t->gone && !t->conf.leaving && !t->leaving)
			continue;
		to = place_pick(pt, c->ntargets);
		if (to == NOBODY)
			break;
		pt[to].shards++;
		flag(c, s, n, to);
		any = 1;
	}
	return (any);
}

/* Starts moves that even out the load, within the budget; true if any. */
static int
plan_balance(struct cell *c, struct cell_service *s, struct place_target *pt,
    usec now, int room)
{
	const struct weighing *w = &weighings[s->weigh];
	struct place_move moves[MOVES_AT_ONCE];
	uint8_t *fixed;
	uint32_t k;
	int i, n;

	s->budget += (double)(now - s->budget_at) / US_PER_SEC * w->moves_per_s;
	s->budget_at = now;
	if (s->budget > w->burst)
		s->budget = w->burst;
	if (room > (int)s->budget)
		room = (int)s->budget;
	if (room <= 0)
		return (0);
	fixed = calloc(s->shards, 1);
	for (k = 0; k < s->shards; k++)
		fixed[k] = s->moving_to[k] != NOBODY;
	n = place_balance(pt, c->ntargets, s->owner, s->load, fixed, s->shards,
	    w->tolerance, moves, room);
	for (i = 0; i < n; i++) {
		flag(c, s, moves[i].shard, moves[i].to);
	}
	s->budget -= n;
	free(fixed);
	return (n > 0);
}

/*
 * Calls off moves to a target that can no longer take them; true if any.  The
 * shards stay where they are: their dispatcher is told by the next view.
 */
static int
call_off(struct cell *c, struct cell_service *s)
{
	uint32_t n;
	int any = 0;

	for (n = 0; n < s->shards; n++) {
		if (s->moving_to[n] == NOBODY || s->freed[n] ||
		    usable(c, s->moving_to[n]))
			continue;
		flag(c, s, n, NOBODY);
		any = 1;
	}
	return (any);
}

/* Plans for one service and opens a write where one is due; true where a
 * view must tell of it. */
int
plan_tick(struct cell *c, struct cell_service *s, usec now)
{
	struct place_target pt[CELL_TARGETS];
	int changed, room;

	if (s->write.open)
		return (0);
	survey(c, s, pt);
	if (plan_owners(c, s, pt, now)) {
		open_write(c, s);
		return (0);
	}
	changed = call_off(c, s);
	if (plan_leaving(c, s, pt))
		return (1);
	room = MOVES_AT_ONCE - moving(s);
	if (room <= 0)
		return (changed);
	return (plan_balance(c, s, pt, now, room) || changed);
}
