/* How the control service stops: targets first, then control itself. */
#include "control.h"

/* A stopping host that is alone for so long waits for nobody. */
#define ALONE_AFTER MS(1500)
/* A stopping controller waits so long for the new dispatchers' word. */
#define HANDOVER_MAX MS(4000)

/* The order to stop has come. */
void
stop_begin(struct control *c, usec now)
{
	int i;

	c->stopping = 1;
	c->alone_since = now;
	c->stop_since = now;
	for (i = 0; i < c->ncells; i++)
		c->cells[i]->ask_now = 1;
}

/* True where the dispatcher here holds nothing in any cell. */
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
 * True where nobody can take a cell over from this host: it controls the cell
 * and hears no other host, or hears no controller at all.
 */
static int
is_alone(const struct control *c, usec now)
{
	struct member m;
	const struct ccell *cell;
	int i;

	for (i = 0; i < c->ncells; i++) {
		cell = c->cells[i];
		if (!cell->member)
			continue;
		if (cell->cell->active
			? cell_available_hosts(cell->cell, now, &m, 1,
			      cell->term.conf.self.host) > 0
			: now - cell->lease.last_heard < ALONE_AFTER)
			return (0);
	}
	return (1);
}

/* True where the targets of each cell controlled here are in others' hands. */
static int
handed_over(const struct control *c)
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
 * Stops in order: targets are handed over first, while control still runs,
 * then control itself is given back so that a standby takes it at once.  A
 * dispatcher that dies meanwhile is not waited for longer than HANDOVER_MAX.
 */
void
stop_tick(struct service *s, usec now)
{
	struct control *c = s->state;
	int i, held = 0;

	if (!c->stopping || c->told_stop)
		return;
	if (!is_alone(c, now))
		c->alone_since = now;
	if (!(holds_nothing(c) && handed_over(c)) &&
	    now - c->alone_since < ALONE_AFTER &&
	    (!holds_nothing(c) || now - c->stop_since < HANDOVER_MAX))
		return;
	for (i = 0; i < c->ncells; i++) {
		if (!c->cells[i]->term.resigned)
			term_resign(&c->cells[i]->term, now);
		held |= c->cells[i]->term.role != TERM_FOLLOWER;
	}
	if (held)
		return;
	c->told_stop = 1;
	kernel_done(s->kernel, "control");
}
