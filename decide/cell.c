#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell.h"
#include "cell_plan.h"
#include "lease.h"

/* Time in addition to a host lease that the first placement waits. */
#define PLACEMENT_WAIT MS(700)
/* A host silent for this many renewal intervals gets no new duty. */
#define MAX_MISSED_RENEWALS 2
/* Low bits of an epoch, which count within a term. */
#define EPOCH_BITS 24

/* Initializes an inactive cell; cb must outlive it. */
void
cell_init(struct cell *c, const char *name, const struct cell_times *times,
    const struct cell_callbacks *cb, void *arg, uint64_t seed)
{
	memset(c, 0, sizeof(*c));
	name_copy(c->name, sizeof(c->name), name);
	c->times = *times;
	c->cb = cb;
	c->arg = arg;
	c->seed = seed;
}

/* Frees the arrays of all services. */
void
cell_free(struct cell *c)
{
	struct cell_service *s;
	int i;

	for (i = 0; i < c->nservices; i++) {
		s = &c->services[i];
		free(s->owner);
		free(s->fence);
		free(s->next);
		free(s->next_fence);
		free(s->move_seq);
		free(s->freed);
		free(s->load);
		free(s->write.owner);
		free(s->write.fence);
		free(s->write.next);
		free(s->write.next_fence);
	}
	c->nservices = 0;
}

/* Returns a service of the cell by name, or NULL. */
struct cell_service *
cell_service(struct cell *c, const char *name)
{
	int i;

	for (i = 0; i < c->nservices; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return (&c->services[i]);
	}
	return (NULL);
}

/*
 * Returns the index of the target that serves a shard now, or CELL_NONE, and in
 * *fence (unless NULL) the fence that it serves under.  A moving shard is
 * served by the next target as soon as its owner has released it.
 */
int
cell_shard_target(const struct cell_service *s, uint32_t n, uint64_t *fence)
{
	int moved = s->next[n] != CELL_NONE && s->freed[n];

	if (fence != NULL)
		*fence = moved ? s->next_fence[n] : s->fence[n];
	return (moved ? s->next[n] : s->owner[n]);
}

/* Returns the index of a service's target by name, or CELL_NONE. */
static int
find_target(const struct cell *c, int service, const char *name)
{
	int i;

	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service == service &&
		    strcmp(c->targets[i].conf.name, name) == 0)
			return (i);
	}
	return (CELL_NONE);
}

/*
 * Finds or adds a target; returns its index, or CELL_NONE if the table is full.
 */
int
cell_add_target(struct cell *c, int service, const char *name)
{
	struct cell_target *t;
	int i;

	i = find_target(c, service, name);
	if (i != CELL_NONE)
		return (i);
	if (c->ntargets == CELL_TARGETS)
		return (CELL_NONE);
	t = &c->targets[c->ntargets];
	memset(t, 0, sizeof(*t));
	name_copy(t->conf.name, sizeof(t->conf.name), name);
	t->conf.slots = 1;
	t->service = service;
	t->removed = 1;
	t->dispatcher = CELL_NONE;
	return (c->ntargets++);
}

/* Allocates a service's arrays; returns 0, or -1 if out of memory. */
static int
init_service(
    struct cell_service *s, const char *name, uint32_t first, uint32_t shards)
{
	uint32_t i;

	name_copy(s->name, sizeof(s->name), name);
	s->first = first;
	s->shards = shards;
	s->owner = calloc(shards, sizeof(*s->owner));
	s->fence = calloc(shards, sizeof(*s->fence));
	s->next = calloc(shards, sizeof(*s->next));
	s->next_fence = calloc(shards, sizeof(*s->next_fence));
	s->move_seq = calloc(shards, sizeof(*s->move_seq));
	s->freed = calloc(shards, sizeof(*s->freed));
	s->load = calloc(shards, sizeof(*s->load));
	s->write.owner = calloc(shards, sizeof(*s->write.owner));
	s->write.fence = calloc(shards, sizeof(*s->write.fence));
	s->write.next = calloc(shards, sizeof(*s->write.next));
	s->write.next_fence = calloc(shards, sizeof(*s->write.next_fence));
	if (s->owner == NULL || s->fence == NULL || s->next == NULL ||
	    s->next_fence == NULL || s->move_seq == NULL || s->freed == NULL ||
	    s->load == NULL || s->write.owner == NULL ||
	    s->write.fence == NULL || s->write.next == NULL ||
	    s->write.next_fence == NULL)
		return (-1);
	for (i = 0; i < shards; i++) {
		s->owner[i] = CELL_NONE;
		s->next[i] = CELL_NONE;
	}
	return (0);
}

/* True if another service already uses a target name of the entry. */
static int
name_taken(const struct cell *c, int service, const struct cell_conf *cc)
{
	int i;

	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service != service &&
		    !c->targets[i].removed &&
		    cell_conf_target(cc, c->targets[i].conf.name) != NULL)
			return (1);
	}
	return (0);
}

/*
 * Applies a catalogue entry: its shards and targets in this cell.  Returns 0,
 * or -1 if there is no room, if a target's name is used by another service
 * (hosts report targets by name alone), or if the entry changes the shards of
 * a service in use, which would hash keys to new owners while the old ones
 * still serve them.
 */
int
cell_configure(struct cell *c, const struct entry *e)
{
	const struct cell_conf *cc = NULL;
	struct cell_service *s;
	int i, k, t;

	for (i = 0; i < e->ncells; i++) {
		if (strcmp(e->cells[i].name, c->name) == 0)
			cc = &e->cells[i];
	}
	s = cell_service(c, e->name);
	if (cc == NULL)
		return (0);
	if (name_taken(c, s == NULL ? CELL_NONE : (int)(s - c->services), cc))
		return (-1);
	if (s == NULL) {
		if (c->nservices == CELL_SERVICES)
			return (-1);
		s = &c->services[c->nservices++];
		if (init_service(
			s, e->name, cc->first, cc->last - cc->first + 1) != 0)
			return (-1);
	}
	if (s->first != cc->first || s->shards != cc->last - cc->first + 1)
		return (-1);
	s->weigh = e->weigh;
	/* Cells may lose contact with each other: each has a fixed share. */
	s->limit = (double)e->rate * s->shards / e->shards;
	k = (int)(s - c->services);
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service == k)
			c->targets[i].removed = 1;
	}
	for (i = 0; i < cc->ntargets; i++) {
		t = cell_add_target(c, k, cc->targets[i].name);
		if (t == CELL_NONE)
			return (-1);
		c->targets[t].conf = cc->targets[i];
		c->targets[t].removed = 0;
	}
	return (0);
}

/*
 * Starts controlling the cell in a term.  No state of an earlier controller
 * is used: assignments are read and claimed, and hosts report their targets.
 */
void
cell_begin(struct cell *c, uint64_t term, usec now)
{
	struct cell_target *t;
	struct cell_service *s;
	int i;
	uint32_t k;

	c->active = 1;
	c->term = term;
	c->view_seq = 1;
	c->epochs = 0;
	c->nhosts = 0;
	c->settled = 0;
	c->placement_wait_until = now + c->times.host_lease + PLACEMENT_WAIT;
	for (i = 0; i < c->ntargets; i++) {
		t = &c->targets[i];
		t->dispatcher = CELL_NONE;
		t->handover = 0;
		t->epoch = 0;
		t->reported = 0;
		t->confirmed = 0;
		t->granted = 1;
		t->up = 0;
		t->leaving = 0;
		t->share = (struct share){0, 0, 0};
		/*
		 * The dispatcher may have changed under an earlier controller
		 * just before.
		 */
		t->grants_lapse_at =
		    lease_granter_end(now, c->times.host_lease);
	}
	for (i = 0; i < c->nservices; i++) {
		s = &c->services[i];
		s->known = 0;
		s->claimed = 0;
		s->get_pending = 0;
		s->next_try = now;
		s->write.pending = 0;
		s->write.unknown = 0;
		for (k = 0; k < s->shards; k++)
			s->freed[k] = 0;
	}
}

/* Stops controlling the cell. */
void
cell_end(struct cell *c)
{
	c->active = 0;
}

/* True once all assignments are claimed, so that views may be published. */
int
cell_ready(const struct cell *c)
{
	int i;

	for (i = 0; i < c->nservices; i++) {
		if (!c->services[i].claimed)
			return (0);
	}
	return (c->active);
}

/*
 * True if each target has a dispatcher that has reported it and is not
 * stopping.  If control were returned earlier, the next controller would find
 * targets that no host reports and would have to wait a whole host lease
 * before it assigned dispatchers; requests would be refused for that long.
 */
int
cell_handover_done(const struct cell *c)
{
	const struct cell_target *t;
	int i;

	for (i = 0; i < c->ntargets; i++) {
		t = &c->targets[i];
		if (t->removed)
			continue;
		if (t->dispatcher == CELL_NONE || !t->reported ||
		    c->hosts[t->dispatcher].stopping)
			return (0);
	}
	return (1);
}

/* Handles the result of reading an assignment. */
void
cell_get_done(struct cell *c, usec now, const char *service, int found,
    uint64_t version, const char *json, size_t n)
{
	struct cell_service *s = cell_service(c, service);
	uint64_t id = 0;

	if (s == NULL || !c->active)
		return;
	s->get_pending = 0;
	if (s->write.pending && !s->write.unknown)
		return;
	if (!s->write.unknown) {
		plan_load(c, s, found ? json : NULL, n, &id);
		s->version = found ? version : 0;
		s->known = 1;
		/* Claim at once: host leases run out in the meantime. */
		s->next_try = now;
		return;
	}
	if (found)
		id = plan_write_id(json, n);
	if (id != 0 && id == s->write.id) {
		plan_commit(c, s, version);
		return;
	}
	if ((found ? version : 0) == s->version) {
		/*
		 * The lost write may still take effect; repeating it
		 * resolves the outcome.
		 */
		s->write.unknown = 0;
		c->cb->put(c->arg, s->name, s->version, plan_json(c, s));
		return;
	}
	/*
	 * Another controller, the only other writer, has changed the record:
	 * the pending write can no longer take effect, and the local copy is
	 * out of date.
	 */
	s->write.pending = 0;
	s->write.unknown = 0;
	s->known = 0;
	s->claimed = 0;
	c->cb->event(c->arg,
	    "assignment was written by another controller, reading it again");
}

/* Handles a failed read, which is retried. */
void
cell_get_failed(struct cell *c, const char *service)
{
	struct cell_service *s = cell_service(c, service);

	if (s != NULL)
		s->get_pending = 0;
}

/* Handles the outcome of the write of an assignment. */
void
cell_put_done(struct cell *c, usec now, const char *service,
    enum put_result res, uint64_t version)
{
	struct cell_service *s = cell_service(c, service);

	if (s == NULL || !c->active || !s->write.pending)
		return;
	if (res == PUT_DONE)
		plan_commit(c, s, version);
	else
		s->write.unknown = 1;
	s->next_try = now;
}

/* Returns the next epoch, higher than all of this and earlier terms. */
static uint64_t
new_epoch(struct cell *c)
{
	return (c->term << EPOCH_BITS | ++c->epochs);
}

/* True if the host may be given duties. */
int
cell_host_available(const struct cell *c, int h, usec now)
{
	const struct cell_host *p = &c->hosts[h];

	return (p->in_use && !p->stopping &&
	    now - p->last_heard < MAX_MISSED_RENEWALS * c->times.renew);
}

/*
 * Returns the available host with the fewest targets, preferring the given
 * data centre; CELL_NONE if there is none.
 */
static int
pick_host(const struct cell *c, const char *dc, usec now)
{
	int h, i, n, score, best = CELL_NONE, best_score = 0;

	for (h = 0; h < c->nhosts; h++) {
		if (!cell_host_available(c, h, now))
			continue;
		n = 0;
		for (i = 0; i < c->ntargets; i++)
			n += c->targets[i].dispatcher == h;
		score = n + (strcmp(c->hosts[h].dc, dc) == 0 ? 0 : 100000);
		if (best == CELL_NONE || score < best_score) {
			best = h;
			best_score = score;
		}
	}
	return (best);
}

/* Removes hosts whose lease has lapsed as dispatchers of their targets. */
static void
tick_hosts(struct cell *c, usec now)
{
	struct cell_host *h;
	char text[200];
	int i, k, used;

	for (i = 0; i < c->nhosts; i++) {
		h = &c->hosts[i];
		if (!h->in_use || (h->lease_end != 0 && now < h->lease_end) ||
		    (h->lease_end == 0 && now - h->last_heard < MS(5000)))
			continue;
		used = 0;
		for (k = 0; k < c->ntargets; k++) {
			if (c->targets[k].dispatcher != i)
				continue;
			used++;
			c->targets[k].dispatcher = CELL_NONE;
			c->targets[k].handover = 0;
			c->targets[k].reported = 0;
			c->targets[k].confirmed = 0;
			c->targets[k].granted = 0;
			c->targets[k].grants_lapse_at = now;
		}
		snprintf(text, sizeof(text),
		    "lease of %s lapsed, %d targets without dispatcher",
		    h->process.host, used);
		c->cb->event(c->arg, text);
		h->in_use = 0;
	}
}

/*
 * Assigns a dispatcher to a target that has none, or starts the handover of a
 * target whose dispatcher is stopping.
 */
static void
tick_dispatch(struct cell *c, int i, usec now, int may_dispatch, int *changed)
{
	struct cell_target *t = &c->targets[i];
	char text[300];
	int h;

	if (t->dispatcher != CELL_NONE) {
		if (c->hosts[t->dispatcher].stopping && !t->handover &&
		    pick_host(c, t->conf.dc, now) != CELL_NONE)
			t->handover = 1;
		return;
	}
	/* Until then a host that has not reported yet may dispatch for it. */
	if ((t->epoch == 0 && !may_dispatch) || t->removed)
		return;
	h = pick_host(c, t->conf.dc, now);
	if (h == CELL_NONE)
		return;
	t->dispatcher = h;
	t->handover = 0;
	t->epoch = new_epoch(c);
	t->min_view = c->term << 32 | c->view_seq;
	t->duty_seq = 0;
	t->granted = 1;
	t->up = 0;
	t->reported = 0;
	*changed = 1;
	snprintf(text, sizeof(text), "%s dispatches for %s",
	    c->hosts[h].process.host, t->conf.name);
	c->cb->event(c->arg, text);
}

/*
 * Allows grants again to a target that answers after its grant had lapsed.
 * The new epoch comes with the lowest view to grant from, in which the shards
 * that it lost are assigned elsewhere.
 */
static void
tick_regrant(struct cell *c, int i)
{
	struct cell_target *t = &c->targets[i];

	if (t->dispatcher == CELL_NONE || !t->reported || t->granted ||
	    !t->up || c->services[t->service].write.pending)
		return;
	t->epoch = new_epoch(c);
	t->min_view = c->term << 32 | c->view_seq;
	t->granted = 1;
	t->reported = 0;
}

/* Divides a service's rate limit among its targets. */
static void
tick_shares(struct cell *c, int k)
{
	struct share *list[CELL_TARGETS];
	struct cell_target *t;
	int i, n = 0;

	for (i = 0; i < c->ntargets; i++) {
		t = &c->targets[i];
		if (t->service != k)
			continue;
		/* Released or lapsed: its share is no longer in use. */
		if (t->dispatcher == CELL_NONE && (c->settled || t->epoch != 0))
			t->share = (struct share){0, 0, 0};
		if (t->dispatcher != CELL_NONE)
			list[n++] = &t->share;
	}
	if (n > 0 && c->services[k].limit > 0)
		share_plan(list, n, c->services[k].limit, c->settled);
}

/* Performs the next step of reading and claiming an assignment. */
static void
tick_claim(struct cell *c, struct cell_service *s, usec now)
{
	if (s->get_pending || now < s->next_try)
		return;
	if (s->write.pending && !s->write.unknown)
		return;
	s->next_try = now + c->times.renew;
	if (s->write.unknown || !s->known) {
		s->get_pending = 1;
		c->cb->get(c->arg, s->name);
		return;
	}
	/*
	 * The claim changes only the version, so that delayed writes of an
	 * earlier controller fail from now on.  Without it a move that a
	 * controller decided before it was paused could take effect after the
	 * shard's present owner got a new lease: the shard would have two
	 * owners.
	 */
	if (!s->claimed)
		plan_claim(c, s);
}

/*
 * Runs all periodic work of the controller; settled and may_dispatch are the
 * current results of term_old_leases_lapsed() and term_may_dispatch().
 */
void
cell_tick(struct cell *c, usec now, int settled, int may_dispatch)
{
	int i, changed = 0;

	if (!c->active)
		return;
	for (i = 0; i < c->nservices; i++)
		tick_claim(c, &c->services[i], now);
	if (!cell_ready(c))
		return;
	c->settled = settled;
	tick_hosts(c, now);
	for (i = 0; i < c->ntargets; i++)
		tick_dispatch(c, i, now, may_dispatch, &changed);
	for (i = 0; i < c->nservices; i++) {
		plan_tick(c, &c->services[i], now);
		tick_shares(c, i);
	}
	for (i = 0; i < c->ntargets; i++)
		tick_regrant(c, i);
	if (changed)
		plan_view_changed(c);
}
