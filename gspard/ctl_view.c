/* Builds the view of a cell and broadcasts it to the hosts. */
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "view.h"
#include "viewdelta.h"

/* Fills in one service's part of a view; free_service_view() frees its
 * arrays. */
static void
fill_service_view(const struct cell *c, int k, Gspar__ServiceView *sv)
{
	const struct cell_service *s = &c->services[k];
	int *index, i;
	uint32_t n;

	gspar__service_view__init(sv);
	sv->service = (char *)s->name;
	sv->version = s->version;
	sv->targets = calloc((size_t)c->ntargets + 1, sizeof(char *));
	sv->owner = calloc(s->shards, sizeof(*sv->owner));
	sv->fence = calloc(s->shards, sizeof(*sv->fence));
	sv->moving = calloc(s->shards, sizeof(*sv->moving));
	sv->n_owner = s->shards;
	sv->n_fence = s->shards;
	index = calloc((size_t)c->ntargets + 1, sizeof(*index));
	for (i = 0; i < c->ntargets; i++) {
		if (c->targets[i].service != k)
			continue;
		sv->targets[sv->n_targets++] = (char *)c->targets[i].conf.name;
		index[i] = (int)sv->n_targets;
	}
	for (n = 0; n < s->shards; n++) {
		i = cell_shard_target(s, n, &sv->fence[n]);
		if (i != CELL_NONE)
			sv->owner[n] = (uint32_t)index[i];
		if (s->next[n] != CELL_NONE && !s->freed[n])
			sv->moving[sv->n_moving++] = s->first + n;
	}
	free(index);
}

/* Frees the arrays that fill_service_view() allocated. */
static void
free_service_view(Gspar__ServiceView *sv)
{
	free(sv->targets);
	free(sv->owner);
	free(sv->fence);
	free(sv->moving);
}

/*
 * Sends a view to every host on the list, and adopts it here.  If smaller, the
 * difference to the previous view is sent instead: a move changes one shard,
 * and whole views of hundreds of shards to each host at each step of each move
 * would be most of the control traffic.  A host that lacks the previous view
 * requests the whole one.
 */
static void
broadcast_view(struct local_cell *c, const Gspar__View *v)
{
	struct control *ctl = c->s->state;
	const struct peers *l = ctl->peers == NULL ? NULL : ctl->peers->p;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	struct viewdelta d;
	int i;

	f.body_case = GSPAR__FRAME__BODY_VIEW;
	f.view = (Gspar__View *)v;
	if (viewdelta_make(&d, c->view == NULL ? NULL : c->view->p, v) == 0)
		f.view = &d.view;
	for (i = 0; l != NULL && i < l->n; i++) {
		if (strcmp(l->list[i].host, kernel_conf(c->s->kernel)->host) !=
		    0)
			send_frame(c->s->kernel, l->list[i].host, 0, &f);
	}
	viewdelta_free(&d);
	if (view_number(v) > c->view_number)
		local_cell_set_view(c, view_copy(v));
}

/* Builds the view of the current assignment and broadcasts it. */
void
local_cell_broadcast_view(void *arg)
{
	struct local_cell *c = arg;
	struct cell *cell = c->cell;
	Gspar__View v = GSPAR__VIEW__INIT;
	Gspar__ServiceView sv[CELL_SERVICES], *svp[CELL_SERVICES];
	Gspar__DispatchView *dv, **dvp;
	int i;

	if (!cell_ready(cell))
		return;
	dv = calloc(CELL_TARGETS, sizeof(*dv));
	dvp = calloc(CELL_TARGETS, sizeof(*dvp));
	v.cell = c->name;
	v.term = cell->term;
	v.seq = cell->view_seq;
	v.controller = (char *)kernel_conf(c->s->kernel)->host;
	v.controller_addr = (char *)kernel_conf(c->s->kernel)->advertised;
	v.services = svp;
	v.dispatch = dvp;
	for (i = 0; i < cell->nservices; i++) {
		fill_service_view(cell, i, &sv[i]);
		svp[v.n_services++] = &sv[i];
	}
	for (i = 0; i < cell->ntargets; i++) {
		if (cell->targets[i].dispatcher == CELL_NONE)
			continue;
		gspar__dispatch_view__init(&dv[i]);
		dv[i].target = cell->targets[i].conf.name;
		dv[i].host =
		    cell->hosts[cell->targets[i].dispatcher].process.host;
		dv[i].addr = cell->hosts[cell->targets[i].dispatcher].addr;
		dvp[v.n_dispatch++] = &dv[i];
	}
	broadcast_view(c, &v);
	for (i = 0; i < cell->nservices; i++)
		free_service_view(&sv[i]);
	free(dv);
	free(dvp);
}
