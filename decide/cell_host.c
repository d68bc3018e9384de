/* Hosts of a cell: their reports and their leases. */
#include <string.h>

#include "cell.h"
#include "cell_plan.h"
#include "lease.h"

/* Weight of a new sample in the smoothed load of a shard. */
#define LOAD_WEIGHT 0.3

/*
 * Returns the index of a target of any service, or CELL_NONE; a name belongs to
 * one service only.
 */
static int
find_any_target(const struct cell *c, const char *name)
{
	int i;

	for (i = 0; i < c->ntargets; i++) {
		if (strcmp(c->targets[i].conf.name, name) == 0)
			return (i);
	}
	return (CELL_NONE);
}

/* Finds or adds a host's process; returns CELL_NONE if the table is full. */
static int
find_host(struct cell *c, const char *host, uint64_t boot)
{
	struct cell_host *h;
	int i, free_slot = CELL_NONE;

	for (i = 0; i < c->nhosts; i++) {
		h = &c->hosts[i];
		if (h->in_use && h->process.boot == boot &&
		    strcmp(h->process.host, host) == 0)
			return (i);
		if (!h->in_use)
			free_slot = i;
	}
	if (free_slot == CELL_NONE) {
		if (c->nhosts == CELL_HOSTS)
			return (CELL_NONE);
		free_slot = c->nhosts++;
	}
	h = &c->hosts[free_slot];
	memset(h, 0, sizeof(*h));
	name_copy(h->process.host, sizeof(h->process.host), host);
	h->process.boot = boot;
	h->in_use = 1;
	return (free_slot);
}

/*
 * Records the shards that a dispatcher reports as released; true if any is
 * new.  Reports are ignored until the grants of earlier dispatchers have
 * lapsed, as the target may still hold shards under those.
 */
static int
update_released(struct cell *c, int t, const Gspar__TargetState *ts, usec now)
{
	struct cell_service *s;
	const Gspar__Freed *f;
	uint32_t k;
	size_t i, n;
	int any = 0;

	if (now < c->targets[t].grants_lapse_at)
		return (0);
	for (i = 0; i < ts->n_freed; i++) {
		f = ts->freed[i];
		s = cell_service(c, f->service);
		if (s == NULL || f->view >> 32 != (c->term & 0xffffffff))
			continue;
		for (n = 0; n < f->n_shards; n++) {
			k = f->shards[n] - s->first;
			if (k >= s->shards || s->owner[k] != t ||
			    s->next[k] == CELL_NONE || s->freed[k])
				continue;
			/*
			 * A release based on a view older than this move
			 * belongs to an earlier one, and a grant since then
			 * may have reverted it.
			 */
			if ((f->view & 0xffffffff) < s->move_seq[k])
				continue;
			s->freed[k] = 1;
			any = 1;
		}
	}
	return (any);
}

/*
 * Updates the loads of a target's shards: the busiest are reported one by one,
 * the rest of the busy time is divided evenly among the others.  Loads are
 * smoothed, as noise would cause shards to be moved.
 */
static void
update_loads(struct cell *c, int t, const Gspar__TargetState *ts)
{
	struct cell_service *s = &c->services[c->targets[t].service];
	uint32_t i, n, unreported = 0;
	double rest;
	size_t k;

	for (i = 0; i < s->shards; i++) {
		if (cell_shard_target(s, i, NULL) == t)
			unreported++;
	}
	unreported -=
	    ts->n_loads < unreported ? (uint32_t)ts->n_loads : unreported;
	rest = unreported > 0 ? ts->rest_busy / 1000.0 / unreported : 0;
	for (i = 0; i < s->shards; i++) {
		if (cell_shard_target(s, i, NULL) == t)
			s->load[i] += (rest - s->load[i]) * LOAD_WEIGHT;
	}
	for (k = 0; k < ts->n_loads; k++) {
		n = ts->loads[k]->shard - s->first;
		if (n < s->shards)
			s->load[n] +=
			    (ts->loads[k]->busy / 1000.0 - rest) * LOAD_WEIGHT;
	}
}

/*
 * Updates a target's share of the rate limit.  The dispatcher may be using the
 * rate it reports, or the one it was given if the reply has arrived since.
 */
static void
update_share(struct share *s, const Gspar__TargetState *ts)
{
	double rate = ts->rate / 1000.0;

	s->held = rate > s->given ? rate : s->given;
	if (ts->has_loads)
		s->demand += (ts->demand / 1000.0 - s->demand) * LOAD_WEIGHT;
}

/* Applies a host's report on one target; true if the view changes. */
static int
update_target(struct cell *c, int h, const Gspar__TargetState *ts, usec now)
{
	struct cell_target *t;
	int i, changed = 0;

	i = find_any_target(c, ts->target);
	if (i == CELL_NONE)
		return (0);
	t = &c->targets[i];
	if (t->dispatcher == CELL_NONE && t->epoch == 0) {
		/*
		 * The first report of it in this term: its dispatcher keeps
		 * it, so that a new controller interrupts no request.
		 */
		t->dispatcher = h;
		t->epoch = ts->epoch;
		t->duty_seq = 0;
		t->share.given = ts->rate / 1000.0;
		changed = 1;
	}
	if (t->dispatcher != h || t->epoch != ts->epoch)
		return (0);
	t->granted = ts->granted;
	t->up = ts->up;
	t->leaving = ts->leaving;
	update_share(&t->share, ts);
	t->reported = 1;
	if (ts->granted && ts->up)
		t->confirmed = 1;
	if (ts->has_loads)
		update_loads(c, i, ts);
	return (update_released(c, i, ts, now) || changed);
}

/* True if the lease request reports on the target. */
int
lease_ask_has_target(const Gspar__LeaseAsk *req, const char *target)
{
	size_t i;

	for (i = 0; i < req->n_targets; i++) {
		if (strcmp(req->targets[i]->target, target) == 0)
			return (1);
	}
	return (0);
}

/* Handles a host's lease request, which reports on its targets. */
void
cell_lease_request(
    struct cell *c, usec now, const char *host, const Gspar__LeaseAsk *req)
{
	struct cell_target *t;
	size_t i;
	int h, k, changed = 0;

	h = find_host(c, host, req->boot);
	if (h == CELL_NONE)
		return;
	c->hosts[h].last_heard = now;
	c->hosts[h].stopping = req->stopping;
	name_copy(c->hosts[h].dc, sizeof(c->hosts[h].dc), req->dc);
	name_copy(c->hosts[h].addr, sizeof(c->hosts[h].addr), req->addr);
	for (i = 0; i < req->n_targets; i++)
		changed |= update_target(c, h, req->targets[i], now);
	if (changed)
		plan_view_changed(c);
	for (k = 0; k < c->ntargets; k++) {
		t = &c->targets[k];
		/*
		 * A target that is missing in the report is released only if
		 * the host has received the reply that assigned it: a request
		 * sent before that does not report it either.
		 */
		if (t->dispatcher != h || t->duty_seq == 0 ||
		    req->ack < t->duty_seq ||
		    lease_ask_has_target(req, t->conf.name))
			continue;
		t->dispatcher = CELL_NONE;
		t->handover = 0;
		t->reported = 0;
		t->confirmed = 0;
		/*
		 * The host's last grant to the target may not have lapsed yet.
		 */
		t->grants_lapse_at =
		    lease_granter_end(now, c->times.host_lease);
	}
}

/*
 * Fills in the reply to a lease request: the lease, which starts now, and up
 * to max duties, whose names point into the cell.  Returns the number of
 * duties, or -1 if there is no room for the host.
 */
int
cell_lease_reply(struct cell *c, usec now, const char *host,
    const Gspar__LeaseAsk *req, Gspar__LeaseGive *reply, Gspar__Duty *duties,
    int max)
{
	struct cell_target *t;
	int h, i, n = 0;

	h = find_host(c, host, req->boot);
	if (h == CELL_NONE)
		return (-1);
	for (i = 0; i < c->ntargets && n < max; i++) {
		t = &c->targets[i];
		if (t->dispatcher != h || t->handover)
			continue;
		if (t->duty_seq == 0)
			t->duty_seq = req->seq;
		gspar__duty__init(&duties[n]);
		duties[n].target = t->conf.name;
		duties[n].epoch = t->epoch;
		duties[n].min_view = t->min_view;
		duties[n].limited = c->services[t->service].limit > 0;
		duties[n].rate = (uint32_t)(t->share.given * 1000);
		n++;
	}
	c->hosts[h].lease_end = lease_granter_end(now, c->times.host_lease);
	reply->lease_ms = (uint32_t)(c->times.host_lease / 1000);
	reply->given = 1;
	return (n);
}
