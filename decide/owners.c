#include <stdlib.h>
#include <string.h>

#include "owners.h"

/* Frees a snapshot; takes void * so that it can be a shared object's
 * destructor.
 */
void
owners_free(void *arg)
{
	struct owners *o = arg;
	int i;

	if (o == NULL)
		return;
	for (i = 0; i < o->nservices; i++)
		free(o->services[i].ranges);
	free(o->services);
	free(o->targets);
	free(o);
}

/* Returns the range that contains a key, or NULL if the service or key is not
 * in the snapshot. */
const struct owner_range *
owners_find(const struct owners *o, const char *service, uint32_t key)
{
	const struct owner_service *s = NULL;
	int i, low = 0, high, mid;

	for (i = 0; o != NULL && i < o->nservices; i++) {
		if (strcmp(o->services[i].name, service) == 0)
			s = &o->services[i];
	}
	if (s == NULL || s->nranges == 0)
		return (NULL);
	high = s->nranges - 1;
	while (low < high) {
		mid = (low + high + 1) / 2;
		if (s->ranges[mid].from <= key)
			low = mid;
		else
			high = mid - 1;
	}
	if (key < s->ranges[low].from || key > s->ranges[low].to)
		return (NULL);
	return (&s->ranges[low]);
}

/* Availability times closer together than this count as equal. */
#define SERVED_AT_TOLERANCE MS(200)

/* Returns the name of a range's owner, or "" if it has none. */
static const char *
owner_name(const struct owners *o, const struct owner_range *r)
{
	return (r->target < 0 ? "" : o->targets[r->target]);
}

/* Finds a service by name; NULL if absent. */
static const struct owner_service *
find_service(const struct owners *o, const char *name)
{
	int i;

	for (i = 0; i < o->nservices; i++) {
		if (strcmp(o->services[i].name, name) == 0)
			return (&o->services[i]);
	}
	return (NULL);
}

/* Allocates an empty snapshot for up to the given numbers of services and
 * targets; NULL if out of memory. */
static struct owners *
owners_new(int services, int targets)
{
	struct owners *o;

	o = calloc(1, sizeof(*o));
	if (o == NULL)
		return (NULL);
	o->services = calloc((size_t)services + 1, sizeof(*o->services));
	o->targets = calloc((size_t)targets + 1, sizeof(*o->targets));
	if (o->services != NULL && o->targets != NULL)
		return (o);
	owners_free(o);
	return (NULL);
}

/* Returns the index of a target name, adding it if it is new; -1 for an empty
 * name.  The caller has allocated space for it. */
static int
intern_target(struct owners *o, const char *name)
{
	int i;

	if (name[0] == '\0')
		return (-1);
	for (i = 0; i < o->ntargets; i++) {
		if (strcmp(o->targets[i], name) == 0)
			return (i);
	}
	name_copy(o->targets[o->ntargets], NAME_MAX_GS, name);
	return (o->ntargets++);
}

/* True if an earlier snapshot has the same range with the same owner and
 * state. */
static int
is_unchanged(const struct owners *old, const struct owner_service *old_service,
    const struct owners *new, const struct owner_range *r)
{
	const struct owner_range *earlier = old_service == NULL
	    ? NULL
	    : owners_find(old, old_service->name, r->from);
	usec difference;

	if (earlier == NULL || earlier->from != r->from ||
	    earlier->to != r->to || earlier->moving != r->moving ||
	    strcmp(owner_name(old, earlier), owner_name(new, r)) != 0)
		return (0);
	difference = earlier->served_at > r->served_at
	    ? earlier->served_at - r->served_at
	    : r->served_at - earlier->served_at;
	return (difference < SERVED_AT_TOLERANCE);
}

/*
 * Returns the difference between two snapshots: the ranges that are new or have
 * changed, and the names of their owners; NULL if out of memory.  While keys
 * move, sending full snapshots to a hundred hosts would cost the controller
 * 3.8 MB a second.
 */
struct owners *
owners_diff(const struct owners *old, const struct owners *new)
{
	const struct owner_service *s, *old_service;
	struct owner_service *to;
	struct owners *d = owners_new(new->nservices, new->ntargets);
	int i, k;

	if (d == NULL)
		return (NULL);
	d->number = new->number;
	for (i = 0; i < new->nservices; i++) {
		s = &new->services[i];
		old_service = find_service(old, s->name);
		to = &d->services[d->nservices++];
		name_copy(to->name, sizeof(to->name), s->name);
		to->ranges =
		    calloc((size_t)s->nranges + 1, sizeof(*to->ranges));
		for (k = 0; to->ranges != NULL && k < s->nranges; k++) {
			if (is_unchanged(old, old_service, new, &s->ranges[k]))
				continue;
			to->ranges[to->nranges] = s->ranges[k];
			to->ranges[to->nranges++].target =
			    intern_target(d, owner_name(new, &s->ranges[k]));
		}
	}
	return (d);
}

/* Appends the keys from..to of a range to a service. */
static void
add_keys(struct owner_service *s, const struct owner_range *r, uint32_t from,
    uint32_t to, int target)
{
	struct owner_range *n = &s->ranges[s->nranges++];

	*n = *r;
	n->from = from;
	n->to = to;
	n->target = target;
}

/* Merges the ranges of a difference into those of a service's base. */
static void
apply_service(struct owners *o, struct owner_service *to,
    const struct owners *base, const struct owner_service *b,
    const struct owners *diff, const struct owner_service *d)
{
	const struct owner_range *r;
	int i = 0, k, target;
	uint32_t at;

	for (k = 0; b != NULL && k < b->nranges; k++) {
		r = &b->ranges[k];
		target = intern_target(o, owner_name(base, r));
		for (at = r->from; at <= r->to;) {
			while (i < d->nranges && d->ranges[i].to < at)
				i++;
			if (i == d->nranges || d->ranges[i].from > r->to) {
				add_keys(to, r, at, r->to, target);
				break;
			}
			if (d->ranges[i].from > at)
				add_keys(
				    to, r, at, d->ranges[i].from - 1, target);
			/* Add each range of the difference only once. */
			if (d->ranges[i].from >= r->from)
				add_keys(to, &d->ranges[i], d->ranges[i].from,
				    d->ranges[i].to,
				    intern_target(
					o, owner_name(diff, &d->ranges[i])));
			at = d->ranges[i].to + 1;
		}
	}
	for (k = 0; b == NULL && k < d->nranges; k++)
		add_keys(to, &d->ranges[k], d->ranges[k].from, d->ranges[k].to,
		    intern_target(o, owner_name(diff, &d->ranges[k])));
}

/* Applies a difference to a snapshot and returns the result; NULL if out of
 * memory. */
struct owners *
owners_apply(const struct owners *base, const struct owners *diff)
{
	const struct owner_service *b, *d;
	struct owner_service *to;
	struct owners *o;
	int i;

	o = owners_new(diff->nservices, base->ntargets + diff->ntargets);
	if (o == NULL)
		return (NULL);
	o->number = diff->number;
	for (i = 0; i < diff->nservices; i++) {
		d = &diff->services[i];
		b = find_service(base, d->name);
		to = &o->services[o->nservices++];
		name_copy(to->name, sizeof(to->name), d->name);
		to->ranges = calloc((size_t)(b == NULL ? 0 : b->nranges) * 2 +
			(size_t)d->nranges * 2 + 1,
		    sizeof(*to->ranges));
		if (to->ranges != NULL)
			apply_service(o, to, base, b, diff, d);
	}
	return (o);
}
