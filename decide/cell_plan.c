#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cell_plan.h"

/* Maximum number of shards of a service that move at the same time. */
#define MAX_CONCURRENT_MOVES 8

/* When shards are moved for balance, and how often. */
struct balance_policy {
	double tolerance; /* highest load allowed, relative to the mean */
	double moves_per_s;
	double burst;
};

/*
 * By enum weigh: an organisation chooses for each service whether imbalance
 * costs it more, or the short unavailability of a shard that moves.
 */
static const struct balance_policy balance_policies[] = {
    [WEIGH_IMBALANCE] = {1.15, 2.0, 16},
    [WEIGH_UNAVAILABLE] = {1.5, 0.25, 4},
};

/* Returns the write id in an assignment's JSON, or 0 if there is none. */
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

/* Returns element i of an array of numbers in an assignment. */
static uint64_t
json_number_at(json_t *o, const char *key, size_t i)
{
	return ((uint64_t)json_integer_value(
	    json_array_get(json_object_get(o, key), i)));
}

/* Maps a target number of an assignment to a target index; 0 is no target. */
static int
map_target(const int *map, size_t ntargets, uint64_t number)
{
	return (number == 0 || number > ntargets ? CELL_NONE : map[number]);
}

/*
 * Loads an assignment as read from the platform and sets *id to its write id.
 * If json is NULL there is none yet: no shard has an owner, *id stays as it is.
 */
void
plan_load(struct cell *c, struct cell_service *s, const char *json, size_t n,
    uint64_t *id)
{
	json_t *o, *names;
	int *map;
	size_t i, k;

	for (i = 0; i < s->shards; i++) {
		s->owner[i] = CELL_NONE;
		s->next[i] = CELL_NONE;
		s->fence[i] = 0;
		s->next_fence[i] = 0;
		s->freed[i] = 0;
	}
	s->top_fence = 0;
	if (json == NULL)
		return;
	o = json_loadb(json, n, 0, NULL);
	names = json_object_get(o, "targets");
	s->top_fence =
	    (uint64_t)json_integer_value(json_object_get(o, "top_fence"));
	k = json_array_size(names);
	map = calloc(k + 1, sizeof(*map));
	for (i = 0; i < k; i++)
		map[i + 1] = cell_add_target(c, (int)(s - c->services),
		    json_string_value(json_array_get(names, i)));
	for (i = 0; i < s->shards; i++) {
		s->owner[i] = map_target(map, k, json_number_at(o, "owner", i));
		s->next[i] = map_target(map, k, json_number_at(o, "next", i));
		s->fence[i] = json_number_at(o, "fence", i);
		s->next_fence[i] = json_number_at(o, "next_fence", i);
		/* All views of this term announce moves begun earlier. */
		s->move_seq[i] = 0;
	}
	*id = plan_write_id(json, n);
	free(map);
	json_decref(o);
}

/* Converts target indexes to the JSON array of target numbers. */
static json_t *
json_targets(const int *target, const int *number_of, uint32_t n)
{
	json_t *a = json_array();
	uint32_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(a,
		    json_integer(
			target[i] == CELL_NONE ? 0 : number_of[target[i]]));
	return (a);
}

/* Converts fences to a JSON array. */
static json_t *
json_fences(const uint64_t *fence, uint32_t n)
{
	json_t *a = json_array();
	uint32_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(a, json_integer((json_int_t)fence[i]));
	return (a);
}

/* Returns the JSON of the current write; the caller frees it. */
char *
plan_json(struct cell *c, struct cell_service *s)
{
	const struct cell_write *w = &s->write;
	json_t *o, *names;
	char id[20], *text;
	int *number_of, i, k = (int)(s - c->services);

	names = json_array();
	number_of = calloc((size_t)c->ntargets + 1, sizeof(*number_of));
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service != k)
			continue;
		json_array_append_new(
		    names, json_string(c->targets[i].conf.name));
		number_of[i] = (int)json_array_size(names);
	}
	snprintf(id, sizeof(id), "%016" PRIx64, w->id);
	o = json_pack("{s:I, s:s, s:I, s:o, s:o, s:o, s:o, s:o}", "term",
	    (json_int_t)c->term, "write", id, "top_fence",
	    (json_int_t)s->top_fence + 1, "targets", names, "owner",
	    json_targets(w->owner, number_of, s->shards), "next",
	    json_targets(w->next, number_of, s->shards), "fence",
	    json_fences(w->fence, s->shards), "next_fence",
	    json_fences(w->next_fence, s->shards));
	text = json_dumps(o, JSON_COMPACT);
	free(number_of);
	json_decref(o);
	return (text);
}

/* Sends s->write to the platform under a new id.  If it has no changes to the
 * assignment in force, it is a claim. */
static void
send_write(struct cell *c, struct cell_service *s)
{
	c->seed = c->seed * 6364136223846793005u + 1442695040888963407u;
	s->write.id = c->seed | 1;
	s->write.pending = 1;
	s->write.unknown = 0;
	c->cb->put(c->arg, s->name, s->version, plan_json(c, s));
}

/* Initializes the write with the assignment in force. */
static void
init_write(struct cell_service *s)
{
	memcpy(s->write.owner, s->owner, s->shards * sizeof(*s->owner));
	memcpy(s->write.fence, s->fence, s->shards * sizeof(*s->fence));
	memcpy(s->write.next, s->next, s->shards * sizeof(*s->next));
	memcpy(s->write.next_fence, s->next_fence,
	    s->shards * sizeof(*s->next_fence));
}

/* Claims the assignment: writes it unchanged, under this term. */
void
plan_claim(struct cell *c, struct cell_service *s)
{
	init_write(s);
	send_write(c, s);
}

/* Starts a new view and notifies the publisher of views. */
void
plan_view_changed(struct cell *c)
{
	c->view_seq++;
	c->cb->changed(c->arg);
}

/* Applies the write, which is known to have taken effect. */
void
plan_commit(struct cell *c, struct cell_service *s, uint64_t version)
{
	struct cell_write *w = &s->write;
	uint32_t i, moved = 0, begun = 0;
	char text[200];

	for (i = 0; i < s->shards; i++) {
		if (w->owner[i] != cell_shard_target(s, i, NULL))
			moved++;
		if (w->next[i] != CELL_NONE && w->next[i] != s->next[i]) {
			begun++;
			s->move_seq[i] = c->view_seq + 1;
		}
		if (w->next[i] != s->next[i])
			s->freed[i] = 0;
	}
	memcpy(s->owner, w->owner, s->shards * sizeof(*s->owner));
	memcpy(s->fence, w->fence, s->shards * sizeof(*s->fence));
	memcpy(s->next, w->next, s->shards * sizeof(*s->next));
	memcpy(
	    s->next_fence, w->next_fence, s->shards * sizeof(*s->next_fence));
	s->version = version;
	s->top_fence++;
	w->pending = 0;
	w->unknown = 0;
	s->moved += moved;
	snprintf(text, sizeof(text),
	    "%s: %s, %" PRIu32 " shards placed, %" PRIu32 " begin to move",
	    s->name, s->claimed ? "assignment written" : "assignment claimed",
	    moved, begun);
	if (!s->claimed || moved + begun > 0)
		c->cb->event(c->arg, text);
	s->claimed = 1;
	plan_view_changed(c);
}

/* True if the target may be given shards. */
static int
target_usable(const struct cell *c, int i)
{
	const struct cell_target *t = &c->targets[i];

	return (!t->removed && !t->conf.leaving && !t->leaving &&
	    t->dispatcher != CELL_NONE && t->reported && t->up && t->granted);
}

/*
 * True if the shards of a target may be assigned elsewhere: it certainly holds
 * no grant, and gets none before a later epoch.  The dispatcher reports on its
 * own grants; those of earlier dispatchers have lapsed at grants_lapse_at.
 */
static int
may_reassign(const struct cell *c, int i, usec now)
{
	const struct cell_target *t = &c->targets[i];

	if (now < t->grants_lapse_at)
		return (0);
	/*
	 * Dispatchers that this controller does not know may send grants until
	 * all earlier leases have lapsed.  Only a target that checks the order
	 * of grants and has accepted one of this term refuses them.
	 */
	if (!c->settled && !(t->confirmed && t->conf.checks))
		return (0);
	if (t->dispatcher == CELL_NONE)
		return (t->removed);
	return (t->reported && !t->granted && (!t->up || t->removed));
}

/* Collects the state of all targets for place.c. */
static void
collect_targets(
    const struct cell *c, const struct cell_service *s, struct place_target *pt)
{
	int i, o, k = (int)(s - c->services);
	uint32_t n;

	for (i = 0; i < c->ntargets; i++) {
		memset(&pt[i], 0, sizeof(pt[i]));
		pt[i].slots = c->targets[i].conf.slots;
		pt[i].usable =
		    c->targets[i].service == k && target_usable(c, i);
	}
	for (n = 0; n < s->shards; n++) {
		o = s->next[n] != CELL_NONE ? s->next[n] : s->owner[n];
		if (o == CELL_NONE)
			continue;
		pt[o].shards++;
		pt[o].load += s->load[n];
	}
}

/*
 * True if shards without an owner may be placed: once all targets of the
 * service are usable or the wait for them is over.  Otherwise the first target
 * to answer would get all shards.
 */
static int
may_place(const struct cell *c, const struct cell_service *s, usec now)
{
	int i, k = (int)(s - c->services);

	if (now >= c->placement_wait_until)
		return (1);
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service == k && !c->targets[i].removed &&
		    !c->targets[i].conf.leaving && !target_usable(c, i))
			return (0);
	}
	return (1);
}

/* Plans the least loaded target as owner of a shard; false if there is none.
 */
static int
assign_shard(
    struct cell *c, struct cell_service *s, struct place_target *pt, uint32_t n)
{
	int to = place_pick(pt, c->ntargets);

	if (to == CELL_NONE)
		return (0);
	pt[to].shards++;
	pt[to].load += s->load[n];
	s->write.owner[n] = to;
	s->write.fence[n] = s->top_fence + 1;
	s->write.next[n] = CELL_NONE;
	return (1);
}

/*
 * Plans the next step of a moving shard.  A move is never undone: the next
 * target may have been granted the shard under an earlier controller, so the
 * owner must not get it back.
 */
static int
plan_move(struct cell *c, struct cell_service *s, struct place_target *pt,
    uint32_t n, usec now)
{
	if (!s->freed[n] && may_reassign(c, s->owner[n], now))
		s->freed[n] = 1;
	if (!s->freed[n])
		return (0);
	if (may_reassign(c, s->next[n], now))
		return (assign_shard(c, s, pt, n));
	s->write.owner[n] = s->next[n];
	s->write.fence[n] = s->next_fence[n];
	s->write.next[n] = CELL_NONE;
	return (1);
}

/*
 * Plans owners for shards that have none or may be reassigned, and completes
 * moves.  True if anything is to change.
 */
static int
plan_owners(
    struct cell *c, struct cell_service *s, struct place_target *pt, usec now)
{
	uint32_t n;
	int o, any = 0, placing = may_place(c, s, now);

	for (n = 0; n < s->shards; n++) {
		o = s->owner[n];
		if (o == CELL_NONE
			? placing
			: s->next[n] == CELL_NONE && may_reassign(c, o, now))
			any |= assign_shard(c, s, pt, n);
		else if (s->next[n] != CELL_NONE)
			any |= plan_move(c, s, pt, n, now);
	}
	return (any);
}

/* Counts the moving shards in the planned assignment. */
static int
count_moving(const struct cell_service *s)
{
	uint32_t n;
	int k = 0;

	for (n = 0; n < s->shards; n++)
		k += s->write.next[n] != CELL_NONE;
	return (k);
}

/*
 * Plans the start of a move.  It is written before the owner is asked to
 * release the shard: otherwise, if the platform failed in between, neither
 * target could serve the shard for the whole outage.
 */
static void
begin_move(struct cell_service *s, uint32_t n, int to)
{
	s->write.next[n] = to;
	s->write.next_fence[n] = s->top_fence + 1;
}

/*
 * Plans moves of all shards of leaving targets at the same time, as a leaving
 * target must stop getting new work within seconds.  True if there are any.
 */
static int
plan_leaving(struct cell *c, struct cell_service *s, struct place_target *pt)
{
	const struct cell_target *t;
	uint32_t n;
	int to, any = 0;

	for (n = 0; n < s->shards; n++) {
		if (s->write.owner[n] == CELL_NONE ||
		    s->write.next[n] != CELL_NONE)
			continue;
		t = &c->targets[s->write.owner[n]];
		if (!t->removed && !t->conf.leaving && !t->leaving)
			continue;
		to = place_pick(pt, c->ntargets);
		if (to == CELL_NONE)
			break;
		pt[to].shards++;
		begin_move(s, n, to);
		any = 1;
	}
	return (any);
}

/*
 * Logs the loads that balancing was based on, which explain the move of a
 * shard whose owner is neither lost nor leaving.
 */
static void
log_moves(const struct cell *c, const struct cell_service *s,
    const struct place_target *pt, const struct place_move *m, int n)
{
	const struct place_target *from = &pt[m->from], *to = &pt[m->to];
	char text[400];

	snprintf(text, sizeof(text),
	    "%s: balance moves %d, first shard %" PRIu32 " from %s (%.2f of %d "
	    "slots busy, %d shards) to %s (%.2f of %d, %d), highest load %.2f "
	    "times the mean",
	    s->name, n, m->shard + s->first, c->targets[m->from].conf.name,
	    from->load, from->slots, from->shards, c->targets[m->to].conf.name,
	    to->load, to->slots, to->shards, place_imbalance(pt, c->ntargets));
	c->cb->event(c->arg, text);
}

/* Plans moves that balance the load, within the budget; true if any. */
static int
plan_balance(struct cell *c, struct cell_service *s, struct place_target *pt,
    usec now, int max_moves)
{
	const struct balance_policy *w = &balance_policies[s->weigh];
	struct place_target before[CELL_TARGETS];
	struct place_move moves[MAX_CONCURRENT_MOVES];
	uint8_t *fixed;
	uint32_t k;
	int i, n;

	s->budget += (double)(now - s->budget_at) / US_PER_SEC * w->moves_per_s;
	s->budget_at = now;
	if (s->budget > w->burst)
		s->budget = w->burst;
	if (max_moves > (int)s->budget)
		max_moves = (int)s->budget;
	if (max_moves <= 0)
		return (0);
	fixed = calloc(s->shards, 1);
	for (k = 0; k < s->shards; k++)
		fixed[k] = s->write.next[k] != CELL_NONE;
	memcpy(before, pt, sizeof(*pt) * (size_t)c->ntargets);
	n = place_balance(pt, c->ntargets, s->write.owner, s->load, fixed,
	    s->shards, w->tolerance, moves, max_moves);
	for (i = 0; i < n; i++)
		begin_move(s, moves[i].shard, moves[i].to);
	if (n > 0)
		log_moves(c, s, before, moves, n);
	s->budget -= n;
	free(fixed);
	return (n > 0);
}

/* Plans one service's assignment and writes it if anything changes. */
void
plan_tick(struct cell *c, struct cell_service *s, usec now)
{
	struct place_target pt[CELL_TARGETS];
	int any, max_moves;

	if (s->write.pending)
		return;
	collect_targets(c, s, pt);
	init_write(s);
	any = plan_owners(c, s, pt, now);
	any |= plan_leaving(c, s, pt);
	max_moves = MAX_CONCURRENT_MOVES - count_moving(s);
	if (!any && max_moves > 0)
		any = plan_balance(c, s, pt, now, max_moves);
	if (any)
		send_write(c, s);
}
