#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "hearing.h"
#include "hosts.h"

/* Interval at which changes of the list are sent. */
#define LIST_INTERVAL MS(300)

/* Returns the host with a name, or NULL.  Valid until a host is added or
 * removed. */
struct host_entry *
hosts_find(const struct hosts *t, const char *name)
{
	int i;

	for (i = hash_index_first(&t->by_name, hash_name(name)); i >= 0;
	     i = hash_index_next(&t->by_name, i)) {
		if (strcmp(t->list[i].process.host, name) == 0)
			return (&t->list[i]);
	}
	return (NULL);
}

/* Makes room for one more host; 0, or -1 if memory runs out. */
static int
grow(struct hosts *t)
{
	struct host_entry *list = hash_index_grow(
	    &t->by_name, t->list, sizeof(*list), t->n, &t->capacity);

	if (list == NULL)
		return (-1);
	t->list = list;
	return (0);
}

/* Adds a host that is not in the table, with nothing known but its name; NULL
 * if memory runs out. */
struct host_entry *
hosts_add(struct hosts *t, const char *name)
{
	struct host_entry *h;

	if (grow(t) != 0)
		return (NULL);
	h = &t->list[t->n];
	memset(h, 0, sizeof(*h));
	name_copy(h->process.host, sizeof(h->process.host), name);
	hash_index_add(&t->by_name, t->n++, hash_name(name));
	return (h);
}

/* Notes a host that is removed, for the next difference.  Without memory the
 * hosts keep it until they are sent a whole list. */
static void
note_gone(struct hosts *t, const char *name)
{
	void *p;

	t->changed = 1;
	p = realloc(t->gone, sizeof(*t->gone) * (size_t)(t->ngone + 1));
	if (p == NULL)
		return;
	t->gone = p;
	name_copy(t->gone[t->ngone++], NAME_MAX_GS, name);
}

/* Removes a host; the last one takes its position. */
void
hosts_remove(struct hosts *t, int i)
{
	int last = --t->n;

	note_gone(t, t->list[i].process.host);
	hash_index_remove(&t->by_name, i);
	if (i == last)
		return;
	hash_index_remove(&t->by_name, last);
	t->list[i] = t->list[last];
	hash_index_add(&t->by_name, i, hash_name(t->list[i].process.host));
}

/* Frees the table and resets it to an empty one. */
void
hosts_free(struct hosts *t)
{
	free(t->list);
	free(t->gone);
	hash_index_free(&t->by_name);
	memset(t, 0, sizeof(*t));
}

/* Sets a text unless the new one is empty; returns 1 if it has changed. */
static int
set_text(char *at, size_t size, const char *text)
{
	if (text[0] == '\0' || strcmp(at, text) == 0)
		return (0);
	name_copy(at, size, text);
	return (1);
}

/*
 * Updates a host from a report or a list; an empty text is not known.  Another
 * process of the host has lost what was sent to the earlier one.  Returns 1 if
 * what other hosts need has changed: not which process it is, or each restart
 * would be told to all hosts.
 */
int
host_update(struct host_entry *h, const struct member *m, const char *dc,
    const char *tunnel)
{
	struct host_entry was = *h;
	int changed;

	if (h->process.boot != m->boot) {
		memset(h, 0, sizeof(*h));
		h->process = was.process;
		memcpy(h->dc, was.dc, sizeof(h->dc));
		memcpy(h->tunnel, was.tunnel, sizeof(h->tunnel));
		h->listed_at = was.listed_at;
		h->changed = was.changed;
		h->process.boot = m->boot;
	}
	changed = set_text(h->process.addr, sizeof(h->process.addr), m->addr);
	changed |= set_text(h->dc, sizeof(h->dc), dc);
	changed |= set_text(h->tunnel, sizeof(h->tunnel), tunnel);
	h->changed |= changed;
	return (changed);
}

/* Returns a digest of what is listed of a host.  The sum over hosts does not
 * depend on their order. */
static uint64_t
digest_of(const struct host_entry *h)
{
	uint64_t d = hash_name(h->process.host);

	d = XXH3_64bits_withSeed(h->process.addr, strlen(h->process.addr), d);
	d = XXH3_64bits_withSeed(h->dc, strlen(h->dc), d);
	return (XXH3_64bits_withSeed(h->tunnel, strlen(h->tunnel), d));
}

/* Returns the digest of all hosts, or of those that a controller has listed;
 * never 0. */
uint64_t
hosts_digest_of(const struct hosts *t, int listed)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < t->n; i++) {
		if (!listed || t->list[i].listed_at != 0)
			sum += digest_of(&t->list[i]);
	}
	return (sum == 0 ? 1 : sum);
}

/* Records that the changes were sent: the next difference begins here. */
void
hosts_list_sent(struct hosts *t)
{
	int i;

	for (i = 0; i < t->n && t->changed; i++)
		t->list[i].changed = 0;
	free(t->gone);
	t->gone = NULL;
	t->ngone = 0;
	t->changed = 0;
}

/* Begins to send the list as controller: what was sent and reported under an
 * earlier term does not count. */
void
hosts_list_begin(struct hosts *t)
{
	int i;

	for (i = 0; i < t->n; i++)
		t->list[i].has_reported = 0;
	hosts_list_sent(t);
	memset(&t->superseded, 0, sizeof(t->superseded));
	t->digest = 0;
	t->changed = 1;
}

/* Brings the digest of the list up to date before the list is sent; returns the
 * earlier one, to which the changes are a difference. */
uint64_t
hosts_list_renew(struct hosts *t, usec now)
{
	uint64_t was = t->digest;

	if (!t->changed && was != 0)
		return (was);
	t->digest = hosts_digest_of(t, 0);
	if (was != 0 && was != t->digest)
		superseded_add(&t->superseded, was, now);
	return (was);
}

/* True if a host has the list, or one that it has replaced lately. */
static int
in_step(const struct hosts *t, const struct host_entry *h, usec now)
{
	return (h->list_reported == t->digest ||
	    superseded_within(&t->superseded, h->list_reported,
		report_lag(t->n) + LIST_INTERVAL, now));
}

/*
 * Decides what a host is sent.  Sent to all hosts with each change, the list of
 * 985 hosts would take 79 MB each time.  A host that has not reported yet is
 * sent none: a new controller's hosts have the list of the one before.
 */
enum list_update
hosts_list_update(
    const struct hosts *t, const struct host_entry *h, uint64_t base, usec now)
{
	int may_arrive = in_step(t, h, now) ||
	    now - h->list_sent_at < report_retry_delay(t->n);

	if (!h->has_reported || h->list_reported == t->digest ||
	    (h->list_sent == t->digest && may_arrive))
		return (LIST_NONE);
	if (base != 0 && base != t->digest &&
	    (h->list_reported == base || (h->list_sent == base && may_arrive)))
		return (LIST_DIFFERENCE);
	return (LIST_WHOLE);
}

/* Records what a host was sent.  The time for a retry runs on while it lacks
 * what it was sent before. */
void
hosts_list_sent_to(const struct hosts *t, struct host_entry *h,
    enum list_update update, usec now)
{
	if (update == LIST_WHOLE || in_step(t, h, now))
		h->list_sent_at = now;
	h->list_sent = t->digest;
}
