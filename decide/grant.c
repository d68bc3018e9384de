#include <string.h>

#include "grant.h"
#include "lease.h"

/*
 * A new target that has not answered for this long is considered down.  Grants
 * of an earlier dispatcher may still be valid; the controller allows for them.
 */
#define PROBE_TIMEOUT MS(320)

/* Initializes the grant of a target that this host starts to dispatch for. */
void
grant_init(
    struct grant *g, const struct grant_conf *conf, uint64_t epoch, usec now)
{
	memset(g, 0, sizeof(*g));
	g->conf = *conf;
	g->wanted_set = 1;
	/*
	 * A duty that is released and given to this host again may have the
	 * same epoch.  If its messages were numbered from zero again, the
	 * target would refuse them as old.
	 */
	g->seq = (uint64_t)now;
	grant_new_epoch(g, epoch, now);
}

/* Starts a later epoch, which allows grants again. */
void
grant_new_epoch(struct grant *g, uint64_t epoch, usec now)
{
	g->epoch = epoch;
	g->phase = GRANT_PROBING;
	g->epoch_start = now;
	g->held_set = 0;
}

/* True while a grant of this dispatcher may still be valid at the target. */
int
grant_maybe_valid(const struct grant *g, usec now)
{
	return (
	    g->last_expiry != 0 && now < lease_granter_end(g->last_expiry, 0));
}

/*
 * Makes the grant inactive if the target does not answer and the grant has
 * lapsed.  From then on nothing is granted in this epoch: the controller may
 * already be assigning the shards to others, and a target that was frozen and
 * answers again must not get them back under the old view.
 */
static void
check_lapsed(struct grant *g, usec now)
{
	if (grant_maybe_valid(g, now))
		return;
	if (g->phase == GRANT_PROBING && now - g->epoch_start < PROBE_TIMEOUT)
		return;
	if (g->phase == GRANT_ACTIVE && g->up)
		return;
	g->phase = GRANT_INACTIVE;
	g->held_set = 0;
}

/*
 * Returns the next message to send, or STEP_NONE.  For a grant or a renewal
 * sets *until_there to its expiry in the target's clock.  A grant never
 * outlives this host's lease: when the lease has lapsed, the controller
 * considers this target's grants lapsed too.
 */
enum grant_step
grant_next(struct grant *g, usec now, usec lease_until, int64_t *until_there)
{
	enum grant_step step;
	usec end;

	check_lapsed(g, now);
	if (g->pending)
		return (STEP_NONE);
	/*
	 * A target that did not answer is only asked for its clock: each
	 * renewal sent to a frozen target, or to one whose answers are lost,
	 * would postpone the time at which its shards can be reassigned.
	 */
	if (g->phase != GRANT_ACTIVE || g->last_heard == 0 || !g->up)
		step = STEP_CLOCK;
	else if (g->held_set != g->wanted_set)
		step = STEP_FULL;
	else
		step = STEP_RENEW;
	if (now - g->sent < g->conf.renew &&
	    !(step == STEP_FULL && g->sent_set != g->wanted_set))
		return (STEP_NONE);
	if (step != STEP_CLOCK) {
		end = now + g->conf.length;
		if (end > lease_until)
			end = lease_until;
		*until_there =
		    grant_expiry(g->target_clock, g->last_heard, end);
		if (end <= now || *until_there == 0)
			return (STEP_NONE);
		if (end > g->last_expiry)
			g->last_expiry = end;
		g->sent_expiry = end;
		g->seq++;
		g->sent_set = g->wanted_set;
	}
	g->pending = 1;
	g->sent = now;
	return (step);
}

/* Handles the target's answer to a message. */
void
grant_answered(struct grant *g, usec now, enum grant_step step, int accepted,
    int64_t target_clock, int64_t boot)
{
	g->pending = 0;
	g->up = 1;
	g->target_clock = target_clock;
	g->last_heard = now;
	if (boot != g->boot) {
		g->boot = boot;
		g->held_set = 0;
	}
	if (g->phase == GRANT_PROBING)
		g->phase = GRANT_ACTIVE;
	if (step == STEP_CLOCK)
		g->sent = now - g->conf.renew;
	if (step == STEP_CLOCK || g->phase != GRANT_ACTIVE)
		return;
	if (!accepted) {
		g->held_set = 0;
		g->valid_until = 0;
		return;
	}
	g->valid_until = g->sent_expiry;
	if (step == STEP_FULL)
		g->held_set = g->sent_set;
}

/* True if requests may be sent: the target holds the wanted set now. */
int
grant_usable(const struct grant *g, usec now)
{
	return (g->phase == GRANT_ACTIVE && g->held_set == g->wanted_set &&
	    now < g->valid_until);
}

/*
 * Handles a message that was not answered.  The grant in it may still be valid,
 * and may arrive after later ones.  Until it has lapsed, no release of shards
 * is certain: a target that does not check the order of grants would accept the
 * older set of shards again.
 */
void
grant_failed(struct grant *g, usec now)
{
	g->pending = 0;
	g->up = 0;
	g->uncertain_until = g->last_expiry;
}

/* True if the target certainly holds the wanted set and no other shards. */
int
grant_set_certain(const struct grant *g, usec now)
{
	return (g->held_set == g->wanted_set &&
	    (g->uncertain_until == 0 ||
		now >= lease_granter_end(g->uncertain_until, 0)));
}
