/*
 * How configurations get to hosts: the controller tells what changed, once;
 * whoever is behind then reads the store, or asks who has it.
 */
#include <stdlib.h>
#include <string.h>

#include "keeper.h"
#include "site_change.h"
#include "site_frame.h"

/* What can be told of a configuration: all of it, or a change. */
struct update {
	const struct site *site; /* NULL is nothing */
	struct site_frame frame;
	size_t size;
	int fits; /* may be told to all hosts at once */
};

/* Prepares what is to be told; nothing where there is none, or no memory. */
static void
update_make(const struct keeper *k, struct update *n, const struct site *t)
{
	double link = kernel_conf(k->s->kernel)->link_mbps;

	memset(n, 0, sizeof(*n));
	if (t == NULL || site_frame_fill(&n->frame, t) != 0)
		return;
	n->site = t;
	n->size = site_frame_size(&n->frame);
	n->fits = pace_fits(n->size, k->nhosts, link);
}

/* Tells a host. */
static void
tell(struct keeper *k, const char *host, struct update *n)
{
	Gspar__Frame f = GSPAR__FRAME__INIT;

	if (n->site == NULL)
		return;
	f.body_case = GSPAR__FRAME__BODY_SITE_TOLD;
	f.site_told = &n->frame.told;
	count_add(C_SITE_TOLD, 1);
	count_add(C_SITE_TOLD_BYTES, n->size);
	log_line(LOG_INFO, "control",
	    "Host %s is told configuration %llu, since %llu, %zu bytes.", host,
	    (unsigned long long)n->site->version,
	    (unsigned long long)n->site->since, n->size);
	send_frame(k->s->kernel, host, 0, &f);
}

/* Tells one host all of the configuration in force here; how many bytes. */
static size_t
tell_whole(struct keeper *k, const char *host)
{
	struct update whole;

	update_make(k, &whole, keeper_site(k));
	tell(k, host, &whole);
	site_frame_free(&whole.frame);
	return (whole.size);
}

/* True where a host has what the change is of, or will when it comes. */
static int
has_base(const struct keeper_host *h, const struct site *change)
{
	return (h->site == change->since || h->site_told == change->since);
}

/* Tells all hosts that lack a version the smallest that does for them, where
 * that fits. */
static void
tell_all(
    struct keeper *k, struct update *change, struct update *whole, usec now)
{
	uint64_t version = keeper_site(k)->version;
	struct keeper_host *h;
	int i;

	for (i = 0; i < k->nhosts; i++) {
		h = &k->hosts[i];
		if (!keeper_tells(h, now) || h->site >= version ||
		    strcmp(h->who.host, keeper_self(k)) == 0)
			continue;
		if (change->fits && has_base(h, change->site))
			tell(k, h->who.host, change);
		else if (whole->fits)
			tell(k, h->who.host, whole);
		else
			continue;
		h->site_told = version;
	}
}

/*
 * Tells all hosts, as controller, the configuration that is in force here now,
 * once: what changed where they have the one before, else all of it.  What is
 * too much for this host's link or theirs is not told: signs of life say which
 * version there is, and hosts read it from the store.
 */
void
site_spread(struct keeper *k, const struct site *was, usec now)
{
	struct site *changed =
	    was == NULL ? NULL : site_diff(was, keeper_site(k));
	struct update change, whole;

	update_make(k, &change, changed);
	update_make(k, &whole, keeper_site(k));
	tell_all(k, &change, &whole, now);
	k->site_fits = change.fits || whole.fits;
	k->next_spread = now; /* Hosts hear of it with the next sign of life. */
	site_frame_free(&change.frame);
	site_frame_free(&whole.frame);
	site_free(changed);
}

/* Control is new here: hosts know, or learn from signs of life, which version
 * there is. */
void
site_begin(struct keeper *k)
{
	int i;

	k->site_fits = 0;
	for (i = 0; i < k->nhosts; i++)
		k->hosts[i].site_told = 0;
}

/* Takes in what a host's report says of its configuration. */
void
site_report(struct keeper *k, struct keeper_host *h, const Gspar__HostReport *w,
    usec now)
{
	const struct site *t = keeper_site(k);
	uint64_t own = t == NULL ? 0 : t->version;

	h->site = w->site;
	if (w->site > own) {
		behind_announced(&k->behind, own, w->site, 0, now);
		name_copy(k->site_from, sizeof(k->site_from), h->who.host);
	}
	if (w->site < own && w->site_asked)
		h->site_asked = 1;
}

/* Tells hosts that asked, one after the other, as this host's link bears it. */
static void
serve_asked(struct keeper *k, usec now)
{
	double link = kernel_conf(k->s->kernel)->link_mbps;
	const struct site *t = keeper_site(k);
	struct keeper_host *h;
	int i;

	for (i = 0; i < k->nhosts && !k->hosts[i].site_asked; i++)
		;
	if (i == k->nhosts || t == NULL || !pace_ready(&k->site_pace, now))
		return;
	h = &k->hosts[i];
	h->site_asked = 0;
	if (h->site >= t->version)
		return;
	pace_sent(&k->site_pace, tell_whole(k, h->who.host), link, now);
	h->site_told = t->version;
}

/* Takes in what the controller's sign of life says of the configuration. */
void
site_heard(struct keeper *k, const Gspar__Owners *w, usec now)
{
	const struct site *t = keeper_site(k);
	uint64_t own = t == NULL ? 0 : t->version;

	behind_announced(&k->behind, own, w->site, w->site_told, now);
	if (w->site < own && w->controller[0] != '\0' &&
	    strcmp(w->site_from, keeper_self(k)) == 0)
		tell_whole(k, w->controller);
}

/* Gets a newer configuration that was heard of, and gives it to who asked. */
void
site_tick(struct keeper *k, usec now)
{
	const struct site *t = keeper_site(k);

	serve_asked(k, now);
	switch (behind_step(&k->behind, t == NULL ? 0 : t->version, now)) {
	case BEHIND_READ:
		msg_post(k->s->kernel, "watch", MSG_READ_SITE, NULL, NULL);
		break;
	case BEHIND_ASK:
		k->site_ask = 1;
		break;
	case BEHIND_WAIT:
		break;
	}
}

/* Passes a configuration that a host told on to who keeps it. */
void
site_take(struct keeper *k, const Gspar__SiteTold *told)
{
	const struct site *t = keeper_site(k);
	struct site *read;

	if (t != NULL && told->version <= t->version)
		return;
	if ((read = site_frame_read(told)) == NULL) {
		log_line(LOG_ERR, "control",
		    "Configuration %llu that was told makes no sense.",
		    (unsigned long long)told->version);
		return;
	}
	msg_post(k->s->kernel, "watch", MSG_TOLD, read, site_free);
}
