/* Available hosts of a cell, and the choice of the controller's standbys. */
#include <string.h>

#include "cell.h"
#include "cell_plan.h"

/*
 * Lists up to max processes of available hosts other than the one named, in
 * table order; returns how many.
 */
int
cell_available_hosts(const struct cell *c, usec now, struct member *out,
    int max, const char *except)
{
	int i, n = 0;

	for (i = 0; i < c->nhosts && n < max; i++) {
		if (cell_host_available(c, i, now) &&
		    strcmp(c->hosts[i].process.host, except) != 0)
			out[n++] = c->hosts[i].process;
	}
	return (n);
}

/*
 * Rates a host as a standby: hosts that are one already and hosts in another
 * data centre score higher; prefer_other_dc decides which counts more.
 */
static int
standby_score(const struct cell *c, int h, const char *dc,
    const struct control_record *r, int prefer_other_dc)
{
	int i, is_standby = 0, other_dc = strcmp(c->hosts[h].dc, dc) != 0;

	for (i = 0; i < r->nstandby; i++)
		is_standby |= r->standby[i].boot == c->hosts[h].process.boot;
	return (prefer_other_dc ? 2 * other_dc + is_standby
				: 2 * is_standby + other_dc);
}

/*
 * Chooses the standbys of a controller on `host` in `dc`; returns how many.
 * Present standbys are kept while they are available.  In a cell of several
 * data centres one standby is in another one: if all standbys were cut off
 * together with the controller, their promises would keep it in control, and
 * no other data centre could take over.
 */
int
cell_choose_standbys(const struct cell *c, usec now, const char *host,
    const char *dc, const struct control_record *r,
    struct member out[STANDBYS_MAX])
{
	int h, best, score, best_score, n, chosen = CELL_NONE;

	for (n = 0; n < STANDBYS_MAX; n++) {
		best = CELL_NONE;
		best_score = -1;
		for (h = 0; h < c->nhosts; h++) {
			if (h == chosen || !cell_host_available(c, h, now) ||
			    strcmp(c->hosts[h].process.host, host) == 0)
				continue;
			score = standby_score(c, h, dc, r, n == 0);
			if (score > best_score) {
				best = h;
				best_score = score;
			}
		}
		if (best == CELL_NONE)
			break;
		chosen = best;
		out[n] = c->hosts[best].process;
	}
	return (n);
}
