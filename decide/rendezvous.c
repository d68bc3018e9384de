#include <string.h>

#include "rendezvous.h"

/* How long a host that did not reply is passed over; doubled for each further
 * time, up to the maximum.  One request at a time is delayed to find out that
 * it is still silent. */
#define SILENT_FIRST MS(1000)
#define SILENT_MAX MS(8000)

/* Returns a host's weight for a key: the finalizer of splitmix64. */
static uint64_t
weight(const struct rendezvous_host *h, uint64_t key)
{
	uint64_t x = h->digest ^ (key * 0x9e3779b97f4a7c15u);

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
	x = (x ^ x >> 27) * 0x94d049bb133111ebu;
	return (x ^ x >> 31);
}

/* Writes the indices of the up to `max` hosts of a data centre that have the
 * highest weights for a key, in this order, and returns their number. */
int
rendezvous_top(const struct rendezvous_host *hosts, int n, const char *dc,
    uint64_t key, int *top, int max)
{
	int i, at, chosen = 0;

	for (i = 0; i < n; i++) {
		if (strcmp(hosts[i].dc, dc) != 0)
			continue;
		for (at = chosen; at > 0; at--) {
			if (weight(&hosts[top[at - 1]], key) >=
			    weight(&hosts[i], key))
				break;
			if (at < max)
				top[at] = top[at - 1];
		}
		if (at < max)
			top[at] = i;
		if (at < max && chosen < max)
			chosen++;
	}
	return (chosen);
}

/* Returns the host of a set of indices that has the highest weight for a key,
 * or -1 if all are silent. */
int
rendezvous_pick(const struct rendezvous_host *hosts, const int *set, int n,
    uint64_t key, usec now)
{
	int i, best = -1;

	for (i = 0; i < n; i++) {
		if (now < hosts[set[i]].silent_until)
			continue;
		if (best < 0 ||
		    weight(&hosts[set[i]], key) > weight(&hosts[best], key))
			best = set[i];
	}
	return (best);
}

/* Records that a host did not reply. */
void
rendezvous_silent(struct rendezvous_host *h, usec now)
{
	usec span = SILENT_FIRST
	    << (h->silent_streak < 4 ? h->silent_streak : 4);

	h->silent_until = now + (span < SILENT_MAX ? span : SILENT_MAX);
	h->silent_streak++;
}

/* Records that a host has replied. */
void
rendezvous_heard(struct rendezvous_host *h)
{
	h->silent_until = 0;
	h->silent_streak = 0;
}
