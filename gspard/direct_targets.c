/* The state of targets at the router: what is listed of them, and at which of
 * them something is due. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "direct.h"
#include "incarnation.h"

/* Interval at which limits of targets are updated. */
#define LIMITS_INTERVAL MS(20)
/* Number of hosts assumed to share a rate limit until their number is known. */
#define RATE_HOSTS_ASSUMED 512

/* Returns a target's state by id, or NULL. */
struct target_state *
target_state_find(struct direct *d, const char *id)
{
	return (apr_hash_get(d->by_id, id, APR_HASH_KEY_STRING));
}

/* Returns a service of the current configuration by name, or NULL. */
static const struct site_service *
service_of(const struct direct *d, const char *name)
{
	const struct site *site = d->site == NULL ? NULL : d->site->p;
	int n = site == NULL ? -1 : site_service(site, name);

	return (n < 0 ? NULL : &site->services[n]);
}

/*
 * Returns for how long a target that must get no new requests after `bound`
 * still gets some: not at all, or for half of that time if it owns keys, which
 * are moved first.
 */
usec
target_grace(const struct direct *d, const char *service, usec bound)
{
	const struct site_service *v = service_of(d, service);

	return (v != NULL && v->keyed ? bound / 2 : 0);
}

/* Returns when a target stops getting requests because its data centre is
 * evacuated. */
static usec
closed_from(
    const struct direct *d, const struct fleet *f, const struct fleet_target *t)
{
	usec bound = MS(kernel_conf(d->s->kernel)->bounds.evacuate_ms);

	return (evacuations_closed_from(
	    &f->evacuations, t->dc, target_grace(d, t->service, bound)));
}

/* Sets the time until which a target is cold, and its rate limit until then. */
static void
set_cold(struct dest *d, const struct site_service *v, const struct fleet *f,
    const struct fleet_target *t)
{
	usec evacuation_cold_until = evacuations_cold_until(
	    &f->evacuations, t->dc, v == NULL ? 0 : v->cold_start);

	d->cold_until = t->cold_until > evacuation_cold_until
	    ? t->cold_until
	    : evacuation_cold_until;
	d->cold_rate = v == NULL ? 0 : v->cold_rate;
}

/* Returns this host's turns at targets whose limit is shared by all hosts. */
static struct rate_turns
own_turns(const struct direct *d, usec now)
{
	struct rate_turns t = {d->conf.hosts, d->rank, now - clock_wall()};
	const char *host = kernel_conf(d->s->kernel)->host;

	if (d->hosts_known)
		return (t);
	/* Too small a share only delays requests; too large a one exceeds the
	 * limits. */
	t.hosts = RATE_HOSTS_ASSUMED;
	t.rank = (int)(XXH3_64bits(host, strlen(host)) % RATE_HOSTS_ASSUMED);
	return (t);
}

/* True if something may be due at a target without a request to it. */
static int
needs_note(const struct target_state *s, usec now)
{
	return (!s->listed || s->mine || s->admitted || s->answers > 0 ||
	    (s->dest.leaving_from != 0 && !s->dest.leaving) ||
	    s->dest.rate.limit >= 0 || dest_limit(&s->dest, now) >= 0);
}

/*
 * Adds a target to those that are looked at periodically: to report it, apply
 * its limit, admit to it or free it.  Most targets of a large fleet have
 * nothing of this, and looking at each would take most of a small host's time.
 */
void
target_note(struct direct *d, struct target_state *s)
{
	if (s->is_noted)
		return;
	s->is_noted = 1;
	s->next_noted = d->noted;
	d->noted = s;
}

/* Drops the targets at which nothing is due any more. */
void
targets_drop_notes(struct direct *d, usec now)
{
	struct target_state **at = &d->noted, *s;

	while ((s = *at) != NULL) {
		if (needs_note(s, now)) {
			at = &s->next_noted;
			continue;
		}
		*at = s->next_noted;
		s->is_noted = 0;
	}
}

/* Updates the limits of all targets that have one. */
void
targets_update_limits(struct direct *d, usec now)
{
	struct rate_turns t = own_turns(d, now);
	struct target_state *p;

	d->next_limits = now + LIMITS_INTERVAL;
	for (p = d->noted; p != NULL; p = p->next_noted)
		dest_apply_limit(&p->dest, &t, now);
}

/* Adds or updates a target from its entry. */
static void
update_entry(struct direct *d, const struct fleet *f,
    const struct fleet_target *t, usec now)
{
	const struct conf *conf = kernel_conf(d->s->kernel);
	struct target_state *p = target_state_find(d, t->id);

	if (p == NULL) {
		p = calloc(1, sizeof(*p));
		if (p == NULL)
			return;
		name_copy(p->id, sizeof(p->id), t->id);
		p->digest = incarnation_digest(p->id);
		dest_init(&p->dest, t->slots);
		p->next = d->targets;
		d->targets = p;
		apr_hash_set(d->by_id, p->id, APR_HASH_KEY_STRING, p);
	}
	name_copy(p->addr, sizeof(p->addr), t->addr);
	p->service = t->service;
	p->dc = t->dc;
	p->dest.slots = t->slots;
	p->dest.same_dc = strcmp(t->dc, conf->dc) == 0;
	set_cold(&p->dest, service_of(d, t->service), f, t);
	p->dest.closed_from = closed_from(d, f, t);
	if (t->gone && !p->dest.leaving)
		crash_add_end(d, p);
	if (t->leaving && !t->gone)
		dest_announce_leave(&p->dest,
		    now +
			target_grace(d, t->service, MS(conf->bounds.leave_ms)));
	p->dest.leaving = t->leaving && !t->leave_unwritten;
	p->listed = 1;
	if (needs_note(p, now))
		target_note(d, p);
}

/* True if two lists have the same entry at a position.  A list keeps the order
 * of the one before, but for entries that take the place of removed ones. */
static int
is_same(const struct fleet *was, const struct fleet *f, int i)
{
	return (i < was->ntargets && i < f->ntargets &&
	    memcmp(&was->targets[i], &f->targets[i], sizeof(*f->targets)) == 0);
}

/* True if all targets must be updated, as what does not stand in their entries
 * may have changed; was is the earlier list, or NULL. */
static int
must_update_all(
    const struct direct *d, const struct fleet *was, const struct fleet *f)
{
	return (was == NULL || d->site != d->targets_site ||
	    was->evacuations.n > 0 || f->evacuations.n > 0);
}

/* Marks a target that is on no list as leaving. */
static void
drop_unlisted(struct direct *d, struct target_state *s)
{
	if (s == NULL || s->listed)
		return;
	s->dest.leaving = 1;
	target_note(d, s);
}

/* Updates all targets. */
static void
update_all(struct direct *d, const struct fleet *f, usec now)
{
	struct target_state *s;
	int i;

	for (s = d->targets; s != NULL; s = s->next)
		s->listed = 0;
	for (i = 0; i < f->ntargets; i++)
		update_entry(d, f, &f->targets[i], now);
	for (s = d->targets; s != NULL; s = s->next)
		drop_unlisted(d, s);
	shared_unref(d->targets_site);
	d->targets_site = d->site == NULL ? NULL : shared_ref(d->site);
}

/* Lists the positions at which two lists differ, and their number; the caller
 * frees the list.  NULL if memory runs out. */
static int *
find_changed(const struct fleet *was, const struct fleet *f, int *count)
{
	int n = was->ntargets > f->ntargets ? was->ntargets : f->ntargets, i;
	int *changed = calloc((size_t)n + 1, sizeof(*changed));

	for (*count = 0, i = 0; changed != NULL && i < n; i++) {
		if (!is_same(was, f, i))
			changed[(*count)++] = i;
	}
	return (changed);
}

/* Updates the targets whose entries differ from those of the earlier list; 0,
 * or -1 if memory runs out.  A change of one of 10,000 targets is frequent, and
 * hosts may be small. */
static int
update_changed(
    struct direct *d, const struct fleet *was, const struct fleet *f, usec now)
{
	struct target_state *s;
	int i, n, *changed = find_changed(was, f, &n);

	if (changed == NULL)
		return (-1);
	for (i = 0; i < n; i++) {
		if (changed[i] < was->ntargets &&
		    (s = target_state_find(d, was->targets[changed[i]].id)) !=
			NULL)
			s->listed = 0;
	}
	for (i = 0; i < n; i++) {
		if (changed[i] < f->ntargets)
			update_entry(d, f, &f->targets[changed[i]], now);
	}
	for (i = 0; i < n; i++) {
		if (changed[i] < was->ntargets)
			drop_unlisted(d,
			    target_state_find(d, was->targets[changed[i]].id));
	}
	free(changed);
	return (0);
}

/* Updates the targets from a new list; those not on it are leaving.  was is the
 * list that they were updated from before, or NULL. */
void
targets_update(
    struct direct *d, const struct fleet *was, const struct fleet *f, usec now)
{
	if (must_update_all(d, was, f) || update_changed(d, was, f, now) != 0)
		update_all(d, f, now);
	d->have_fleet = 1;
	d->pools_changed = 1;
	targets_update_limits(d, now);
}

/* True if a target is not listed and no request refers to it. */
static int
is_unused(const struct target_state *s)
{
	return (!s->listed && s->users == 0 && s->queue.waiting == 0);
}

/* Frees the unused targets. */
static void
free_unused(struct direct *d)
{
	struct target_state **at = &d->targets, *p;

	while ((p = *at) != NULL) {
		if (!is_unused(p)) {
			at = &p->next;
			continue;
		}
		*at = p->next;
		apr_hash_set(d->by_id, p->id, APR_HASH_KEY_STRING, NULL);
		free(p);
	}
}

/* Frees targets that are not listed and that no request refers to. */
void
targets_sweep(struct direct *d)
{
	struct target_state **at = &d->noted, *s;
	int unused = 0;

	while ((s = *at) != NULL) {
		if (!is_unused(s)) {
			at = &s->next_noted;
			continue;
		}
		*at = s->next_noted;
		unused = 1;
	}
	if (unused)
		free_unused(d);
}
