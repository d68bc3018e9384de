#include <stdlib.h>
#include <string.h>

#include "view.h"
#include "viewdelta.h"

/* Counts the shards of a full view that differ from its base; -1 if the two
 * cannot be compared. */
static long
count_changes(const Gspar__View *base, const Gspar__View *v)
{
	const Gspar__ServiceView *a, *b;
	size_t i, n;
	long k = 0;

	for (i = 0; i < v->n_services; i++) {
		b = v->services[i];
		a = view_service(base, b->service);
		if (a == NULL || a->n_owner != b->n_owner ||
		    a->n_fence != b->n_fence)
			return (-1);
		for (n = 0; n < b->n_owner; n++)
			k += a->owner[n] != b->owner[n] ||
			    a->fence[n] != b->fence[n];
	}
	return (k);
}

/* True if both views have the same dispatchers. */
static int
same_dispatch(const Gspar__View *a, const Gspar__View *b)
{
	size_t i;

	if (a->n_dispatch != b->n_dispatch)
		return (0);
	for (i = 0; i < a->n_dispatch; i++) {
		if (strcmp(a->dispatch[i]->target, b->dispatch[i]->target) !=
			0 ||
		    strcmp(a->dispatch[i]->host, b->dispatch[i]->host) != 0 ||
		    strcmp(a->dispatch[i]->addr, b->dispatch[i]->addr) != 0)
			return (0);
	}
	return (1);
}

/* True if both list the same targets in the same order. */
static int
same_targets(const Gspar__ServiceView *a, const Gspar__ServiceView *b)
{
	size_t i;

	if (a->n_targets != b->n_targets)
		return (0);
	for (i = 0; i < a->n_targets; i++) {
		if (strcmp(a->targets[i], b->targets[i]) != 0)
			return (0);
	}
	return (1);
}

/* Writes a service's difference to out, with its changes from index `at` on;
 * returns the next free index. */
static size_t
list_changes(struct viewdelta *d, size_t at, const Gspar__ServiceView *a,
    const Gspar__ServiceView *b, Gspar__ServiceView *out)
{
	Gspar__ShardChange *c;
	size_t n;

	*out = *b;
	out->owner = NULL;
	out->fence = NULL;
	out->n_owner = 0;
	out->n_fence = 0;
	if (same_targets(a, b)) {
		out->same_targets = 1;
		out->targets = NULL;
		out->n_targets = 0;
	}
	out->changes = d->change_list + at;
	for (n = 0; n < b->n_owner; n++) {
		if (a->owner[n] == b->owner[n] && a->fence[n] == b->fence[n])
			continue;
		c = &d->changes[at];
		gspar__shard_change__init(c);
		c->shard = (uint32_t)n;
		c->owner = b->owner[n];
		c->fence = b->fence[n];
		d->change_list[at++] = c;
		out->n_changes++;
	}
	return (at);
}

/*
 * Makes the difference between a full view and its base, the view sent before.
 * 0, or -1 if the full view is to be sent: there is no base, it is of another
 * term, more than half of the shards changed, or memory ran out.  The
 * difference points into v, which must outlive it; viewdelta_free frees it.
 */
int
viewdelta_make(
    struct viewdelta *d, const Gspar__View *base, const Gspar__View *v)
{
	size_t i, at = 0, shards = 0;
	long k;

	memset(d, 0, sizeof(*d));
	if (base == NULL || base->term != v->term)
		return (-1);
	for (i = 0; i < v->n_services; i++)
		shards += v->services[i]->n_owner;
	k = count_changes(base, v);
	if (k < 0 || (size_t)k * 2 > shards)
		return (-1);
	d->services = calloc(v->n_services + 1, sizeof(*d->services));
	d->service_list = calloc(v->n_services + 1, sizeof(*d->service_list));
	d->changes = calloc((size_t)k + 1, sizeof(*d->changes));
	d->change_list = calloc((size_t)k + 1, sizeof(*d->change_list));
	if (d->services == NULL || d->service_list == NULL ||
	    d->changes == NULL || d->change_list == NULL) {
		viewdelta_free(d);
		return (-1);
	}
	for (i = 0; i < v->n_services; i++) {
		at = list_changes(d, at,
		    view_service(base, v->services[i]->service), v->services[i],
		    &d->services[i]);
		d->service_list[i] = &d->services[i];
	}
	d->view = *v;
	d->view.services = d->service_list;
	d->view.since = view_number(base);
	if (same_dispatch(base, v)) {
		d->view.same_dispatch = 1;
		d->view.dispatch = NULL;
		d->view.n_dispatch = 0;
	}
	return (0);
}

/* Frees a difference. */
void
viewdelta_free(struct viewdelta *d)
{
	free(d->services);
	free(d->service_list);
	free(d->changes);
	free(d->change_list);
	memset(d, 0, sizeof(*d));
}

/* Copies the names of a service's targets from the base; 0, or -1. */
static int
copy_targets(Gspar__ServiceView *sv, const Gspar__ServiceView *base)
{
	if (sv->n_targets != 0)
		return (-1);
	sv->targets = calloc(base->n_targets + 1, sizeof(*sv->targets));
	if (sv->targets == NULL)
		return (-1);
	while (sv->n_targets < base->n_targets) {
		sv->targets[sv->n_targets] =
		    strdup(base->targets[sv->n_targets]);
		sv->n_targets++;
	}
	sv->same_targets = 0;
	return (0);
}

/* Copies the dispatchers from the base; 0, or -1. */
static int
copy_dispatch(Gspar__View *v, const Gspar__View *base)
{
	Gspar__DispatchView *d;

	if (v->n_dispatch != 0)
		return (-1);
	v->dispatch = calloc(base->n_dispatch + 1, sizeof(*v->dispatch));
	if (v->dispatch == NULL)
		return (-1);
	while (v->n_dispatch < base->n_dispatch) {
		d = malloc(sizeof(*d));
		if (d == NULL)
			return (-1);
		gspar__dispatch_view__init(d);
		d->target = strdup(base->dispatch[v->n_dispatch]->target);
		d->host = strdup(base->dispatch[v->n_dispatch]->host);
		d->addr = strdup(base->dispatch[v->n_dispatch]->addr);
		v->dispatch[v->n_dispatch++] = d;
	}
	v->same_dispatch = 0;
	return (0);
}

/* Expands a service's difference: takes owners and fences from the base and
 * applies the changes; 0, or -1. */
static int
expand_service(Gspar__ServiceView *sv, const Gspar__ServiceView *base)
{
	const Gspar__ShardChange *c;
	size_t i;

	if (base == NULL || sv->n_owner != 0 || sv->n_fence != 0 ||
	    base->n_owner != base->n_fence ||
	    (sv->same_targets && copy_targets(sv, base) != 0))
		return (-1);
	sv->owner = malloc(base->n_owner * sizeof(*sv->owner) + 1);
	sv->fence = malloc(base->n_fence * sizeof(*sv->fence) + 1);
	if (sv->owner == NULL || sv->fence == NULL)
		return (-1);
	sv->n_owner = base->n_owner;
	sv->n_fence = base->n_fence;
	memcpy(sv->owner, base->owner, sv->n_owner * sizeof(*sv->owner));
	memcpy(sv->fence, base->fence, sv->n_fence * sizeof(*sv->fence));
	for (i = 0; i < sv->n_changes; i++) {
		c = sv->changes[i];
		if (c->shard >= sv->n_owner)
			return (-1);
		sv->owner[c->shard] = c->owner;
		sv->fence[c->shard] = c->fence;
	}
	while (sv->n_changes > 0)
		gspar__shard_change__free_unpacked(
		    sv->changes[--sv->n_changes], NULL);
	return (0);
}

/*
 * Applies a difference to its base and returns the full view, to be freed with
 * gspar__view__free_unpacked; NULL if it has another base, is malformed, or
 * memory runs out.  Applied to another view, a difference would give owners
 * that never existed.
 */
Gspar__View *
viewdelta_apply(const Gspar__View *base, const Gspar__View *delta)
{
	Gspar__View *v;
	size_t i;
	int res = 0;

	if (base == NULL || delta->since != view_number(base) ||
	    strcmp(delta->cell, base->cell) != 0)
		return (NULL);
	v = view_copy(delta);
	if (v == NULL)
		return (NULL);
	for (i = 0; i < v->n_services && res == 0; i++)
		res = expand_service(v->services[i],
		    view_service(base, v->services[i]->service));
	if (res == 0 && v->same_dispatch)
		res = copy_dispatch(v, base);
	if (res != 0) {
		gspar__view__free_unpacked(v, NULL);
		return (NULL);
	}
	v->since = 0;
	return (v);
}
