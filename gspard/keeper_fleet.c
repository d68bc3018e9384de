/* The targets, told from the controller to all other hosts. */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"

/* A change reaches hosts by frames, and their reports, each 200 ms, name what
 * they had before it so much longer. */
#define ON_THE_WAY MS(400)
/* A host that knows other targets than its controller for so long has missed
 * something, and asks the store anew, not more often than this. */
#define FLEET_DIFFERS MS(1300)
#define RELIST_EVERY MS(2500)

/* A target of a list by its id, or NULL.  Lists keep their order but for what
 * has come or gone, so it is likely to be at the same place as in the other. */
static const struct fleet_target *
find(const struct fleet *f, const char *id, int place)
{
	int i;

	if (f == NULL)
		return (NULL);
	if (place < f->ntargets && strcmp(f->targets[place].id, id) == 0)
		return (&f->targets[place]);
	for (i = 0; i < f->ntargets; i++) {
		if (strcmp(f->targets[i].id, id) == 0)
			return (&f->targets[i]);
	}
	return (NULL);
}

/* True where others need to hear of a target's state. */
static int
differs(const struct fleet_target *a, const struct fleet_target *b)
{
	return (b == NULL || a->leaving != b->leaving || a->gone != b->gone ||
	    a->cold_until != b->cold_until || strcmp(a->addr, b->addr) != 0);
}

/* Fills in one target. */
void
fleet_fill_target(Gspar__TargetTold *w, const struct fleet_target *t, usec now)
{
	gspar__target_told__init(w);
	w->id = (char *)t->id;
	w->addr = (char *)t->addr;
	w->service = (char *)t->service;
	w->dc = (char *)t->dc;
	w->slots = (uint32_t)t->slots;
	w->leaving = t->leaving;
	w->gone = t->gone;
	if (t->cold_until > now)
		w->cold_ms = (uint32_t)((t->cold_until - now) / 1000);
}

/* Fills in what is evacuated; the number of items. */
size_t
fleet_fill_evacuations(const struct evacuations *e, Gspar__Evacuation *items,
    Gspar__Evacuation **list, usec now)
{
	int i;

	for (i = 0; i < e->n; i++) {
		gspar__evacuation__init(&items[i]);
		items[i].dc = (char *)e->list[i].dc;
		items[i].ended = e->list[i].ended;
		if (e->list[i].since != 0)
			items[i].age =
			    1 + (uint32_t)((now - e->list[i].since) / 1000);
		list[i] = &items[i];
	}
	return ((size_t)e->n);
}

/* Sends targets that differ from those of an earlier list, or all, to a host
 * or, where that is NULL, to all hosts. */
static void
tell(struct keeper *k, const struct fleet *f, const struct fleet *was,
    const char *host, usec now)
{
	const char *self = keeper_self(k);
	Gspar__Frame fr = GSPAR__FRAME__INIT;
	Gspar__FleetTold w = GSPAR__FLEET_TOLD__INIT;
	Gspar__TargetTold *told;
	Gspar__Evacuation items[EVACUATIONS_MAX], *list[EVACUATIONS_MAX];
	int i;

	told = calloc((size_t)f->ntargets + 1, sizeof(*told));
	w.targets = calloc((size_t)f->ntargets + 1, sizeof(*w.targets));
	if (told == NULL || w.targets == NULL) {
		free(told);
		free(w.targets);
		return;
	}
	w.term = k->term.rec.term;
	w.whole = was == NULL;
	for (i = 0; i < f->ntargets; i++) {
		if (was != NULL &&
		    !differs(&f->targets[i], find(was, f->targets[i].id, i)))
			continue;
		fleet_fill_target(&told[w.n_targets], &f->targets[i], now);
		w.targets[w.n_targets] = &told[w.n_targets];
		w.n_targets++;
	}
	w.evacuations_as_of = f->evacuations.as_of;
	w.evacuations = list;
	w.n_evacuations =
	    fleet_fill_evacuations(&f->evacuations, items, list, now);
	fr.body_case = GSPAR__FRAME__BODY_FLEET_TOLD;
	fr.fleet_told = &w;
	for (i = 0; i < k->nhosts; i++) {
		if (host != NULL ? strcmp(k->hosts[i].who.host, host) == 0
				 : keeper_tells(&k->hosts[i], now) &&
			    strcmp(k->hosts[i].who.host, self) != 0)
			send_frame(k->s->kernel, k->hosts[i].who.host, 0, &fr);
	}
	free(told);
	free(w.targets);
}

/*
 * Tells all hosts what changed, as controller.  If each followed the store by
 * itself, each change would cost a call for each host: 3,201 calls on a calm
 * day of 76 hosts.
 */
void
fleet_spread(struct keeper *k, usec now)
{
	const struct fleet *f = keeper_fleet(k);
	const struct fleet *was = k->spread == NULL ? NULL : k->spread->p;

	if (f == NULL || f == was || !k->fresh ||
	    term_renewal_late(&k->term, now))
		return;
	if (was != NULL)
		tell(k, f, was, NULL, now);
	shared_unref(k->spread);
	k->spread = shared_ref(k->fleet);
}

/* Tells a host all targets, where its report shows that it knows others. */
void
fleet_compare(struct keeper *k, const char *host, uint64_t digest, usec now)
{
	const struct fleet *f = keeper_fleet(k);
	struct keeper_host *h = keeper_host(k, host);

	if (f == NULL || digest == f->digest ||
	    superseded_within(&k->fleet_was, digest, ON_THE_WAY, now) ||
	    !k->fresh || term_renewal_late(&k->term, now))
		return;
	if (h == NULL || now - h->fleet_at < TELL_AGAIN)
		return;
	h->fleet_at = now;
	log_line(LOG_INFO, "control",
	    "Host %s knows other targets, is told all %d of them.", host,
	    f->ntargets);
	tell(k, f, NULL, host, now);
}

/* Reads what is evacuated. */
static void
read_evacuations(struct evacuations *e, Gspar__Evacuation *const *list,
    size_t n, uint64_t as_of, usec now)
{
	struct evacuation *to;
	size_t i;

	e->as_of = as_of;
	for (i = 0; i < n && i < EVACUATIONS_MAX; i++) {
		to = &e->list[e->n++];
		name_copy(to->dc, sizeof(to->dc), list[i]->dc);
		to->ended = list[i]->ended;
		to->since = list[i]->age == 0 ? 0 : now - MS(list[i]->age);
	}
}

/* Reads targets; NULL without memory. */
static struct fleet *
read_targets(Gspar__TargetTold *const *list, size_t n)
{
	const Gspar__TargetTold *t;
	struct fleet_target *to;
	struct fleet *f;
	size_t i;

	f = calloc(1, sizeof(*f));
	if (f == NULL)
		return (NULL);
	f->targets = calloc(n + 1, sizeof(*f->targets));
	for (i = 0; f->targets != NULL && i < n; i++) {
		t = list[i];
		to = &f->targets[f->ntargets++];
		name_copy(to->id, sizeof(to->id), t->id);
		name_copy(to->addr, sizeof(to->addr), t->addr);
		name_copy(to->service, sizeof(to->service), t->service);
		name_copy(to->dc, sizeof(to->dc), t->dc);
		to->slots = (int)t->slots;
		to->leaving = t->leaving;
		to->gone = t->gone;
		to->cold_until = MS(t->cold_ms);
	}
	return (f);
}

/* Hands what another host told to who keeps the list. */
static void
hand_on(struct keeper *k, struct fleet *f)
{
	msg_post(k->s->kernel, "watch", MSG_FLEET_TOLD, f, fleet_free);
}

/* Takes in what the controller tells. */
void
fleet_take(struct keeper *k, const Gspar__FleetTold *w, usec now)
{
	struct fleet *f;

	if (k->acting || w->term < k->controller_term ||
	    (f = read_targets(w->targets, w->n_targets)) == NULL)
		return;
	f->whole = w->whole;
	read_evacuations(&f->evacuations, w->evacuations, w->n_evacuations,
	    w->evacuations_as_of, now);
	hand_on(k, f);
}

/* Takes in what a standby read in the store, while the controller does not. */
void
fleet_news(struct keeper *k, const Gspar__StoreNews *w, usec now)
{
	struct fleet *f = read_targets(w->targets, w->n_targets);

	if (f == NULL)
		return;
	read_evacuations(&f->evacuations, w->evacuations, w->n_evacuations,
	    w->evacuations_as_of, now);
	hand_on(k, f);
}

/*
 * Looks whether this host knows the targets that its controller knows.  Hosts
 * are told changes by the controller alone: where frames got lost, and telling
 * all again did not help, a leaving target would stay in use here.
 */
void
fleet_missed(struct keeper *k, usec now)
{
	const struct fleet *f = keeper_fleet(k);

	if (k->acting || f == NULL || k->told_fleet == 0 ||
	    k->told_fleet == f->digest) {
		k->differs_since = 0;
		return;
	}
	if (k->differs_since == 0)
		k->differs_since = now;
	if (now - k->differs_since < FLEET_DIFFERS || now < k->next_relist)
		return;
	k->next_relist = now + RELIST_EVERY;
	log_line(LOG_NOTICE, "control",
	    "Controller knows other targets for %lld ms, listing anew.",
	    (long long)((now - k->differs_since) / 1000));
	msg_post(k->s->kernel, "watch", MSG_RELIST, NULL, NULL);
}
