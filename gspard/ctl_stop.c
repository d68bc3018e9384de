/* Orderly stop: hands targets over first, then releases control. */
#include "control.h"

/* A stopping host that is isolated for this long does not wait for others. */
#define ISOLATED_AFTER MS(1500)
/* How long a stopping controller waits for the new dispatchers to confirm. */
#define HANDOVER_MAX MS(4000)

/* Begins the stop; the next lease requests report it. */
void
stop_begin(struct control *c, usec now)
{
	int i;

	c->stopping = 1;
	c->isolated_since = now;
	c->stop_since = now;
	for (i = 0; i < c->ncells; i++)
		c->cells[i]->request_now = 1;
}

/* True if this host's dispatcher holds no target in any cell. */
static int
holds_nothing(const struct control *c)
{
	int i;

	for (i = 0; i < c->ncells; i++) {
		if (c->cells[i]->report != NULL &&
		    c->cells[i]->report->n_targets > 0)
			return (0);
	}
	return (1);
}

/*
 * True if no other host can take over from this one: in each of its cells it is
 * the controller and hears from no other host, or from no controller.
 */
static int
is_isolated(const struct control *c, usec now)
{
	struct member m;
	const struct local_cell *cell;
	int i;

	for (i = 0; i < c->ncells; i++) {
		cell = c->cells[i];
		if (!cell->member)
			continue;
		if (cell->cell->active
			? cell_available_hosts(cell->cell, now, &m, 1,
			      cell->term.conf.self.host) > 0
			: now - cell->lease.last_heard < ISOLATED_AFTER)
			return (0);
	}
	return (1);
}

/* True if other hosts dispatch all targets of the cells controlled here. */
static int
handovers_done(const struct control *c)
{
	int i;

	for (i = 0; i < c->ncells; i++) {
		if (c->cells[i]->cell->active &&
		    !cell_handover_done(c->cells[i]->cell))
			return (0);
	}
	return (1);
}

/*
 * Advances the stop.  Targets are handed over first, while this host may still
 * control cells.  Then it releases control, so that a standby can take it at
 * once.  If a new dispatcher fails meanwhile, the wait ends after HANDOVER_MAX.
 */
void
stop_tick(struct service *s, usec now)
{
	struct control *c = s->state;
	int i, any_holder = 0;

	if (!c->stopping || c->stop_reported)
		return;
	if (!is_isolated(c, now))
		c->isolated_since = now;
	if (!(holds_nothing(c) && handovers_done(c)) &&
	    now - c->isolated_since < ISOLATED_AFTER &&
	    (!holds_nothing(c) || now - c->stop_since < HANDOVER_MAX))
		return;
	for (i = 0; i < c->ncells; i++) {
		if (!c->cells[i]->term.resigned)
			term_resign(&c->cells[i]->term, now);
		any_holder |= c->cells[i]->term.role != TERM_FOLLOWER;
	}
	if (any_holder)
		return;
	c->stop_reported = 1;
	kernel_step_done(s->kernel, "control");
}
