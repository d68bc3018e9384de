#include <stdlib.h>
#include <string.h>

#include "view.h"

/* Returns a number that orders the views of one cell: term, then sequence. */
uint64_t
view_number(const Gspar__View *v)
{
	return (v->term << 32 | v->seq);
}

/* Finds a service in a view; NULL if absent. */
const Gspar__ServiceView *
view_service(const Gspar__View *v, const char *service)
{
	size_t i;

	for (i = 0; i < v->n_services; i++) {
		if (strcmp(v->services[i]->service, service) == 0)
			return (v->services[i]);
	}
	return (NULL);
}

/* Returns the target that owns a service's nth shard in the cell, or NULL; sv
 * may be NULL. */
const char *
view_owner(const Gspar__ServiceView *sv, uint32_t n)
{
	if (sv == NULL || n >= sv->n_owner || sv->owner[n] == 0 ||
	    sv->owner[n] > sv->n_targets)
		return (NULL);
	return (sv->targets[sv->owner[n] - 1]);
}

/* Returns the host that dispatches for a target, or NULL. */
const char *
view_dispatcher(const Gspar__View *v, const char *target)
{
	size_t i;

	for (i = 0; i < v->n_dispatch; i++) {
		if (strcmp(v->dispatch[i]->target, target) == 0)
			return (v->dispatch[i]->host);
	}
	return (NULL);
}

/* Copies a view, to be freed with gspar__view__free_unpacked; NULL if out of
 * memory. */
Gspar__View *
view_copy(const Gspar__View *v)
{
	Gspar__View *copy;
	uint8_t *buf;
	size_t n;

	n = gspar__view__get_packed_size(v);
	buf = malloc(n + 1);
	if (buf == NULL)
		return (NULL);
	gspar__view__pack(v, buf);
	copy = gspar__view__unpack(NULL, n, buf);
	free(buf);
	return (copy);
}
