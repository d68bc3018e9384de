#include <string.h>

#include "copies.h"
#include "hearing.h"

/* A list of at most this size is sent by the controller itself, at once. */
#define SMALL_LIST 65536
/* Part of a link that copies may take; the rest is for callers, and at the
 * controller for heartbeats. */
#define LINK_SHARE_HOST 0.5
#define LINK_SHARE_OWN 0.25
/* Interval between searches for a host that can send, in a data centre where
 * there was none: each report of a host without the list begins one. */
#define SEARCH_INTERVAL MS(25)
/* Assumed link of a host that does not know its own, in Mbit/s. */
#define LINK_DEFAULT 100.0

/* Returns how long a copy takes on a link. */
usec
copy_time(size_t bytes, double link_mbps)
{
	double mbps = link_mbps > 0 ? link_mbps : LINK_DEFAULT;

	return ((usec)((double)bytes * 8 / mbps));
}

/* True if a host can send a copy now. */
static int
can_send(const struct copies *c, const struct hosts *t,
    const struct host_entry *h, const struct host_entry *to, usec now)
{
	return (h != to && h->fleet_reported == c->digest &&
	    now >= h->copies_until && !h->stopping &&
	    now - h->last_heard < report_silence(t->n) &&
	    strcmp(h->dc, to->dc) == 0);
}

/* True if no host of a data centre could send a copy a moment ago. */
static int
none_lately(const struct copies *c, const char *dc, usec now)
{
	int i;

	for (i = 0; i < COPIES_DCS_MAX; i++) {
		if (now < c->none[i].again && strcmp(c->none[i].dc, dc) == 0)
			return (1);
	}
	return (0);
}

/* Remembers for a moment that no host of a data centre can send a copy. */
static void
note_none(struct copies *c, const char *dc, usec now)
{
	unsigned i = c->nnone++ % COPIES_DCS_MAX;

	name_copy(c->none[i].dc, sizeof(c->none[i].dc), dc);
	c->none[i].again = now + SEARCH_INTERVAL;
}

/* Returns the host with the fastest link of those in the same data centre that
 * can send a copy now; NULL if there is none. */
static struct host_entry *
best_source(struct copies *c, const struct hosts *t,
    const struct host_entry *to, usec now)
{
	struct host_entry *h, *best = NULL;
	int i;

	if (none_lately(c, to->dc, now))
		return (NULL);
	for (i = 0; i < t->n; i++) {
		h = &t->list[i];
		if ((best == NULL || h->link_mbps > best->link_mbps) &&
		    can_send(c, t, h, to, now))
			best = h;
	}
	if (best == NULL)
		note_none(c, to->dc, now);
	return (best);
}

/*
 * Chooses who sends a copy to a host that lacks the list, and records that it
 * does.  Hosts that have it send it on within their data centre, so their
 * number doubles with each copy; 985 copies of 700 KB from the controller alone
 * would take its link of 1,000 Mbit/s for 6 s.
 */
enum copy_source
copies_choose(struct copies *c, struct hosts *t, struct host_entry *to,
    usec now, struct host_entry **from)
{
	usec took = copy_time(c->bytes, to->link_mbps);

	if (to->fleet_sent_at != 0 &&
	    now - to->fleet_sent_at < report_retry_delay(t->n) + 2 * took)
		return (COPY_NONE);
	*from = c->bytes <= SMALL_LIST ? NULL : best_source(c, t, to, now);
	if (*from != NULL) {
		(*from)->copies_until = now +
		    (usec)((double)copy_time(c->bytes, (*from)->link_mbps) /
			LINK_SHARE_HOST);
		to->fleet_sent_at = now;
		return (COPY_HOST);
	}
	if (c->bytes > SMALL_LIST && now < c->free_at)
		return (COPY_NONE);
	c->free_at = now +
	    (usec)((double)copy_time(c->bytes, c->link_mbps) / LINK_SHARE_OWN);
	to->fleet_sent_at = now;
	return (COPY_OWN);
}
