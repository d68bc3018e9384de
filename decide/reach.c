#include <string.h>

#include "reach.h"

/* A connection takes a round trip and about a millisecond.  After this time
 * without one more targets are probed, and then hosts are tried. */
#define PATIENCE MS(40)
/* Targets that have not been reached by then are not reachable. */
#define PROBE_MAX MS(200)
/* Interval between tries of hosts in a round. */
#define TRY_INTERVAL MS(25)
/* A round ends by then. */
#define ROUND_MAX MS(500)
/* Interval between rounds of a host that is in doubt. */
#define CHECK_INTERVAL MS(300)
/* The same for the next relaying host, which is needed sooner. */
#define SEARCH_INTERVAL MS(50)
/* Interval of the probes that look for the end of a cut, the targets probed,
 * and the successful rounds after which it has ended: a path that comes and
 * goes would cost callers more than one round of waiting. */
#define RETURN_INTERVAL MS(500)
#define RETURN_PROBES 3
#define RETURN_ROUNDS 2
/* A host through which no target was reached is tried last for this long. */
#define FAILED_TIME MS(3000)
/* Hosts of the own data centre that are tried before others: all of them may be
 * cut off together. */
#define NEAR_FIRST 2
/* Longest wait between steps of a round. */
#define STEP_MAX MS(5)

/* Initializes the state of a host that reaches the targets itself. */
void
reach_init(struct reach *r, const char *dc, uint64_t seed)
{
	memset(r, 0, sizeof(*r));
	name_copy(r->dc, sizeof(r->dc), dc);
	r->seed = seed;
}

/* Returns the host with a name, or NULL. */
static const struct reach_host *
find_host(const struct reach *r, const char *name)
{
	int i;

	for (i = 0; i < r->nhosts; i++) {
		if (strcmp(r->hosts[i].name, name) == 0)
			return (&r->hosts[i]);
	}
	return (NULL);
}

/* Sets the other hosts that relay connections; the list must last until
 * another is set. */
void
reach_set_hosts(struct reach *r, const struct reach_host *list, int n)
{
	r->hosts = list;
	r->nhosts = n;
}

/* Remembers that a target was not reached through a host. */
static void
note_failure(struct reach *r, const char *host, usec now)
{
	struct reach_failure *f =
	    &r->failures[r->nfailures++ % REACH_FAILURES_MAX];

	name_copy(f->name, sizeof(f->name), host);
	f->at = now;
}

/* True if a target was not reached through a host recently. */
static int
failed_recently(const struct reach *r, const char *host, usec now)
{
	const struct reach_failure *f;
	int i;

	for (i = 0; i < REACH_FAILURES_MAX; i++) {
		f = &r->failures[i];
		if (now - f->at < FAILED_TIME && strcmp(f->name, host) == 0)
			return (1);
	}
	return (0);
}

/* Records that a connection to a target failed, or that nothing has come from
 * any target for too long. */
void
reach_doubt(struct reach *r)
{
	if (r->path.via[0] == '\0')
		r->path.doubted = 1;
}

/* Records that no target was reached through the relaying host. */
void
reach_via_failed(struct reach *r, const char *host, usec now)
{
	if (r->path.via[0] == '\0' || strcmp(r->path.via, host) != 0)
		return;
	note_failure(r, host, now);
	r->via_failed = 1;
}

/* Begins a round. */
static void
begin_round(struct reach *r, enum reach_round round, usec now)
{
	r->round = round;
	r->round_number++;
	r->round_began = now;
	r->path.doubted = 0;
	r->via_failed = 0;
	r->probed = r->reached = r->unreached = 0;
	r->ntried = r->ntried_near = r->ntries_failed = 0;
	r->next_try = now + (round == REACH_SEARCH ? 0 : 2 * PATIENCE);
	r->found[0] = '\0';
}

/* Begins the round that is due, if any. */
static void
begin_due(struct reach *r, usec now)
{
	if (r->path.via[0] != '\0' && r->via_failed &&
	    now >= r->round_began + SEARCH_INTERVAL)
		begin_round(r, REACH_SEARCH, now);
	else if (r->round != REACH_IDLE || now < r->next_round)
		return;
	else if (r->path.via[0] != '\0')
		begin_round(r, REACH_RETURN, now);
	else if (r->path.doubted || r->path.unreachable)
		begin_round(r, REACH_CHECK, now);
}

/* Ends a round; this host then reaches targets through a host, or itself if
 * that is NULL. */
static void
end_round(struct reach *r, const struct reach_host *via, usec now)
{
	if (via == NULL || strcmp(via->name, r->path.via) != 0)
		r->returns = 0;
	name_copy(
	    r->path.via, sizeof(r->path.via), via == NULL ? "" : via->name);
	name_copy(
	    r->path.addr, sizeof(r->path.addr), via == NULL ? "" : via->addr);
	r->path.unreachable = 0;
	r->round = REACH_IDLE;
	r->verdicts++;
	r->next_round =
	    now + (r->path.via[0] != '\0' ? RETURN_INTERVAL : CHECK_INTERVAL);
}

/* Ends a round that looks for the end of a cut, if its result is clear. */
static void
settle_return(struct reach *r, usec now)
{
	if (r->reached + r->unreached < RETURN_PROBES &&
	    now - r->round_began < PROBE_MAX)
		return;
	r->returns = r->reached + 1 >= RETURN_PROBES ? r->returns + 1 : 0;
	end_round(r,
	    r->returns >= RETURN_ROUNDS ? NULL : find_host(r, r->path.via),
	    now);
}

/* True if all targets and hosts that a round may try have failed. */
static int
nobody_reaches(const struct reach *r)
{
	int ntries = r->nhosts < REACH_TRIES_MAX ? r->nhosts : REACH_TRIES_MAX;

	return (
	    (r->round == REACH_SEARCH || r->unreached == REACH_TARGETS_MAX) &&
	    r->ntries_failed == ntries);
}

/* Ends a round if its result is clear. */
static void
settle(struct reach *r, usec now)
{
	usec age = now - r->round_began;
	int unreached = r->round == REACH_SEARCH ||
	    r->unreached == REACH_TARGETS_MAX || age >= PROBE_MAX;

	if (r->round == REACH_RETURN)
		settle_return(r, now);
	else if (r->reached > 0)
		end_round(r, NULL, now);
	else if (r->found[0] != '\0' && unreached)
		end_round(r, find_host(r, r->found), now);
	else if (age >= ROUND_MAX || nobody_reaches(r)) {
		end_round(r, NULL, now);
		r->path.unreachable = 1;
	}
}

/* Returns the rank of a host among those to try: less is earlier.  It differs
 * from round to round, so that all are tried in the end. */
static uint64_t
rank(const struct reach *r, const struct reach_host *h, usec now)
{
	uint64_t x = r->seed ^ r->round_number * 0x9e3779b97f4a7c15u;
	const char *p;
	int is_near = strcmp(h->dc, r->dc) == 0;

	for (p = h->name; *p != '\0'; p++)
		x = (x ^ (unsigned char)*p) * 0x100000001b3u;
	x ^= x >> 29;
	x *= 0xbf58476d1ce4e5b9u;
	x >>= 3;
	if (is_near != (r->ntried_near < NEAR_FIRST))
		x |= 1ull << 61;
	if (failed_recently(r, h->name, now))
		x |= 1ull << 62;
	return (x);
}

/* True if a host has been tried in this round. */
static int
was_tried(const struct reach *r, const char *host)
{
	int i;

	for (i = 0; i < r->ntried; i++) {
		if (strcmp(r->tried[i], host) == 0)
			return (1);
	}
	return (0);
}

/* Chooses the next host to try; NULL if all have been tried. */
static const struct reach_host *
choose_host(const struct reach *r, usec now)
{
	const struct reach_host *h, *best = NULL;
	uint64_t key, least = 0;
	int i;

	for (i = 0; i < r->nhosts; i++) {
		h = &r->hosts[i];
		if (was_tried(r, h->name))
			continue;
		key = rank(r, h, now);
		if (best == NULL || key < least) {
			best = h;
			least = key;
		}
	}
	return (best);
}

/* True if the next target is to be probed now. */
static int
probe_due(const struct reach *r, usec now)
{
	switch (r->round) {
	case REACH_RETURN:
		return (r->probed < RETURN_PROBES);
	case REACH_CHECK:
		/* One usually suffices, as most doubts are about a single
		 * target. */
		return (r->probed == 0 ||
		    (r->probed < REACH_TARGETS_MAX && r->reached == 0 &&
			(r->unreached > 0 ||
			    now - r->round_began >= PATIENCE)));
	default:
		return (0);
	}
}

/* True if the next host is to be tried now. */
static int
try_due(const struct reach *r, usec now)
{
	if (r->round != REACH_CHECK && r->round != REACH_SEARCH)
		return (0);
	if (r->found[0] != '\0' || r->ntried == REACH_TRIES_MAX)
		return (0);
	/* No need to wait once all targets and hosts so far have failed. */
	if (r->unreached == REACH_TARGETS_MAX && r->ntries_failed == r->ntried)
		return (1);
	return (now >= r->next_try && r->reached == 0);
}

/* Decides what to do next; for REACH_TRY_HOST sets the host. */
enum reach_action
reach_next(struct reach *r, usec now, const struct reach_host **host)
{
	const struct reach_host *h;

	if (r->round != REACH_IDLE)
		settle(r, now);
	if (r->round == REACH_IDLE ||
	    (r->round == REACH_RETURN && r->via_failed))
		begin_due(r, now);
	if (r->round == REACH_IDLE)
		return (REACH_WAIT);
	if (probe_due(r, now)) {
		r->probed++;
		return (REACH_PROBE_TARGET);
	}
	if (!try_due(r, now) || (h = choose_host(r, now)) == NULL)
		return (REACH_WAIT);
	name_copy(r->tried[r->ntried++], NAME_MAX_GS, h->name);
	r->ntried_near += strcmp(h->dc, r->dc) == 0;
	r->next_try = now + TRY_INTERVAL;
	*host = h;
	return (REACH_TRY_HOST);
}

/* Records the result of a probe of this round. */
void
reach_target_done(struct reach *r, int reached)
{
	if (reached)
		r->reached++;
	else
		r->unreached++;
}

/* Records whether a target was reached through a host, in this round. */
void
reach_host_done(struct reach *r, const char *host, int reached, usec now)
{
	if (!reached) {
		note_failure(r, host, now);
		r->ntries_failed++;
	} else if (r->found[0] == '\0')
		name_copy(r->found, sizeof(r->found), host);
}

/* Returns after which time reach_next() is due at the latest, in microseconds;
 * -1 if it is not until something happens. */
usec
reach_timeout(const struct reach *r, usec now)
{
	usec due = r->next_round;

	if (r->round != REACH_IDLE)
		return (STEP_MAX);
	if (r->path.via[0] == '\0' && !r->path.doubted && !r->path.unreachable)
		return (-1);
	if (r->via_failed && r->path.via[0] != '\0')
		due = r->round_began + SEARCH_INTERVAL;
	return (due > now ? due - now : 0);
}

/* True if a target of this data centre has been chosen. */
static int
has_centre(const struct fleet *f, const int *chosen, int n, const char *dc)
{
	int i;

	for (i = 0; i < n; i++) {
		if (strcmp(f->targets[chosen[i]].dc, dc) == 0)
			return (1);
	}
	return (0);
}

/* True if a target has been chosen. */
static int
is_chosen(const int *chosen, int n, int target)
{
	int i;

	for (i = 0; i < n; i++) {
		if (chosen[i] == target)
			return (1);
	}
	return (0);
}

/*
 * Chooses up to `max` targets to probe, at random and in as many data centres
 * as possible, so that the loss of one is not taken for the loss of all.
 * Returns their number.
 */
int
reach_choose_targets(const struct fleet *f, uint64_t seed, int *chosen, int max)
{
	const struct fleet_target *t;
	int apart, i, at, n = 0;

	for (apart = 1; apart >= 0 && f != NULL; apart--) {
		for (i = 0; i < f->ntargets && n < max; i++) {
			at =
			    (int)((seed + (uint64_t)i) % (uint64_t)f->ntargets);
			t = &f->targets[at];
			if (t->gone || is_chosen(chosen, n, at) ||
			    (apart && has_centre(f, chosen, n, t->dc)))
				continue;
			chosen[n++] = at;
		}
	}
	return (n);
}
