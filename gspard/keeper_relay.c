/*
 * Standbys relay news of the store while the controller is lost or cannot reach
 * the store itself.  Without them every host of the fleet would poll the store
 * until control has changed hands.
 */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"
#include "standby.h"

/* Interval of the broadcast; other hosts poll the store after three missed. */
#define NEWS_EVERY MS(250)
/* A standby starts after two missed heartbeats, before other hosts would. */
#define RELAY_AFTER MS(650)

/* True where this host is to relay.  A host that could not control so many
 * hosts is of no use to them: its broadcasts would take all of its processor.
 */
int
relay_due(const struct keeper *k, usec now)
{
	return (!k->acting && keeper_stands_by(k) &&
	    (!k->follows || now - k->heard > RELAY_AFTER) &&
	    !strained(keeper_bears(k), k->nhosts));
}

/* Lists the targets that get no new requests; returns how many. */
static size_t
fill_closed(const struct fleet *f, Gspar__TargetTold *told,
    Gspar__TargetTold **list, usec now)
{
	size_t n = 0;
	int i;

	for (i = 0; i < f->ntargets; i++) {
		if (!f->targets[i].leaving)
			continue;
		fleet_fill_target(&told[n], &f->targets[i], now);
		list[n] = &told[n];
		n++;
	}
	return (n);
}

/* Broadcasts to all other hosts. */
static void
tell(struct keeper *k, const struct fleet *f, usec now)
{
	Gspar__Frame fr = GSPAR__FRAME__INIT;
	Gspar__StoreNews w = GSPAR__STORE_NEWS__INIT;
	Gspar__Evacuation items[EVACUATIONS_MAX], *list[EVACUATIONS_MAX];
	Gspar__TargetTold *told, **targets;
	const struct site *t = keeper_site(k);
	int i;

	told = calloc((size_t)f->ntargets + 1, sizeof(*told));
	targets = calloc((size_t)f->ntargets + 1, sizeof(*targets));
	if (told == NULL || targets == NULL)
		goto out;
	w.term = k->controller_term;
	w.site = t == NULL ? 0 : t->version;
	w.targets = targets;
	w.n_targets = fill_closed(f, told, targets, now);
	w.evacuations = list;
	w.n_evacuations =
	    fleet_fill_evacuations(&f->evacuations, items, list, now);
	w.evacuations_as_of = f->evacuations.as_of;
	fr.body_case = GSPAR__FRAME__BODY_STORE_NEWS;
	fr.store_news = &w;
	for (i = 0; i < k->nhosts; i++) {
		if (strcmp(k->hosts[i].who.host, keeper_self(k)) != 0)
			send_frame(k->s->kernel, k->hosts[i].who.host, 0, &fr);
	}
out:
	free(told);
	free(targets);
}

/* Broadcasts when due, where the store answers this host. */
void
relay_tick(struct keeper *k, usec now)
{
	const struct fleet *f = keeper_fleet(k);

	if (!relay_due(k, now) || !k->fresh || f == NULL || now < k->next_news)
		return;
	k->next_news = now + NEWS_EVERY;
	count_add(C_STORE_NEWS, 1);
	tell(k, f, now);
}

/* Handles the broadcast of a standby. */
void
relay_take(struct keeper *k, const Gspar__StoreNews *w, usec now)
{
	const struct site *t = keeper_site(k);

	if (k->acting || w->term < k->controller_term)
		return;
	k->fleet_heard = now;
	behind_announced(
	    &k->behind, t == NULL ? 0 : t->version, w->site, 0, now);
	fleet_news(k, w, now);
}
