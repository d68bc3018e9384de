/*
 * The catalogue: entries read from the platform or received from a peer are
 * validated, and applied only if their version is newer.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

/* Poll interval of a controller, and of a host that has no entry yet. */
#define LIST_INTERVAL MS(500)
/* Poll interval of a host that learns of changes from a controller. */
#define LIST_INTERVAL_LONG MS(60000)
#define CATALOGUE_PREFIX "catalogue/"

/* Returns a service's entry, or NULL if there is none. */
static struct catalogue_entry *
find_entry(struct control *c, const char *service)
{
	int i;

	for (i = 0; i < c->nentries; i++) {
		if (strcmp(c->entries[i].service, service) == 0)
			return (&c->entries[i]);
	}
	return (NULL);
}

/* Returns a service's entry, added if missing; NULL if the table is full. */
static struct catalogue_entry *
add_entry(struct control *c, const char *service)
{
	struct catalogue_entry *entry = find_entry(c, service);

	if (entry != NULL || c->nentries == CELL_SERVICES * 2 ||
	    !name_ok(service, strlen(service)))
		return (entry);
	entry = &c->entries[c->nentries++];
	memset(entry, 0, sizeof(*entry));
	name_copy(entry->service, sizeof(entry->service), service);
	return (entry);
}

/* A digest of all names and versions that does not depend on their order. */
static uint64_t
catalogue_digest(const struct control *c)
{
	uint64_t sum = 0, h;
	const char *p;
	int i;

	for (i = 0; i < c->nentries; i++) {
		if (c->entries[i].entry == NULL)
			continue;
		h = 1469598103934665603u ^ c->entries[i].version;
		for (p = c->entries[i].service; *p != '\0'; p++)
			h = (h ^ (unsigned char)*p) * 1099511628211u;
		sum += h * 0x9e3779b97f4a7c15u;
	}
	return (sum);
}

/* Frees a catalogue once no service uses it. */
static void
free_catalogue(void *arg)
{
	struct catalogue *cat = arg;
	int i;

	for (i = 0; i < cat->n; i++)
		entry_free(cat->entries[i]);
	free(cat->entries);
	free(cat);
}

/* Sends the current entries to the daemon's other services. */
static void
publish_catalogue(struct service *s)
{
	static const char *const receivers[] = {"router", "dispatch", "door"};
	struct control *c = s->state;
	struct catalogue *cat;
	struct shared *sh;
	char why[200];
	size_t k;
	int i;

	cat = calloc(1, sizeof(*cat));
	cat->entries = calloc((size_t)c->nentries + 1, sizeof(*cat->entries));
	for (i = 0; i < c->nentries; i++) {
		if (c->entries[i].entry == NULL)
			continue;
		cat->entries[cat->n] = entry_parse(c->entries[i].json.p,
		    c->entries[i].json.n, why, sizeof(why));
		if (cat->entries[cat->n] != NULL)
			cat->entries[cat->n++]->version = c->entries[i].version;
	}
	c->digest = catalogue_digest(c);
	cat->digest = c->digest;
	sh = shared_new(cat, free_catalogue);
	for (k = 0; k < sizeof(receivers) / sizeof(receivers[0]); k++)
		msg_post(s->kernel, receivers[k], MSG_CATALOGUE, shared_ref(sh),
		    shared_unref);
	shared_unref(sh);
}

/* True if the cell covers this host's data centre. */
static int
is_member(const struct conf *conf, const struct cell_conf *cc)
{
	int i;

	for (i = 0; i < cc->ndcs; i++) {
		if (strcmp(cc->dcs[i], conf->dc) == 0)
			return (1);
	}
	return (0);
}

/* Creates the cells that an entry names, and configures them. */
static void
configure_cells(struct service *s, const struct entry *e)
{
	struct control *c = s->state;
	struct local_cell *cell;
	int i;

	for (i = 0; i < e->ncells; i++) {
		cell = local_cell_find(c, e->cells[i].name);
		if (cell == NULL && c->ncells < CELLS_MAX) {
			cell = local_cell_new(s, e->cells[i].name,
			    is_member(kernel_conf(s->kernel), &e->cells[i]));
			if (cell != NULL)
				c->cells[c->ncells++] = cell;
		}
		if (cell == NULL || cell_configure(cell->cell, e) != 0)
			log_line(LOG_ERR, "catalogue",
			    "Entry %s cannot be applied to cell %s.", e->name,
			    e->cells[i].name);
	}
}

/*
 * Adopts a version of an entry if it is newer than the current one.  A peer
 * that missed a change, or a delayed read, would otherwise bring an old version
 * back.
 */
static void
adopt_entry(struct service *s, const char *service, uint64_t version,
    const void *p, size_t n, usec now)
{
	struct control *c = s->state;
	struct catalogue_entry *entry = add_entry(c, service);
	struct entry *e;
	char why[300];

	if (entry == NULL || version <= entry->version)
		return;
	if (version > entry->last_requested)
		entry->last_requested = version;
	e = entry_parse(p, n, why, sizeof(why));
	if (e != NULL && strcmp(e->name, service) != 0) {
		snprintf(why, sizeof(why), "entry.name: allowed: %s", service);
		entry_free(e);
		e = NULL;
	}
	if (e == NULL) {
		event_add("catalogue", 0,
		    "entry %s version %llu is not valid: %s", service,
		    (unsigned long long)version, why);
		log_line(LOG_ERR, "catalogue",
		    "Entry %s version %llu is not valid, the last good one "
		    "stays: %s.",
		    service, (unsigned long long)version, why);
		return;
	}
	entry_free(entry->entry);
	entry->entry = e;
	entry->version = version;
	e->version = version;
	str_set(&entry->json, p, n);
	event_add("catalogue", 0, "entry %s version %llu in force", service,
	    (unsigned long long)version);
	log_line(LOG_INFO, "catalogue", "Entry %s version %llu in force.",
	    service, (unsigned long long)version);
	publish_catalogue(s);
	configure_cells(s, e);
}

/* Requests one entry from the platform. */
static void
request_entry(
    struct service *s, struct catalogue_entry *entry, uint64_t version)
{
	struct store *st;
	char path[NAME_MAX_GS + 16];

	entry->last_requested = version;
	snprintf(path, sizeof(path), CATALOGUE_PREFIX "%s", entry->service);
	st = store_new(STORE_GET, "control", path);
	snprintf(st->tag, sizeof(st->tag), "cat %s", entry->service);
	store_send(s->kernel, st);
}

/* Parses the list of entries and requests those that are newer. */
static void
parse_list(struct service *s, struct str *body)
{
	struct control *c = s->state;
	struct catalogue_entry *entry;
	char *line, *rest, name[NAME_MAX_GS];
	unsigned long long version;

	if (body->p == NULL)
		return;
	for (line = strtok_r(body->p, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		if (sscanf(line, "%llu " CATALOGUE_PREFIX "%63s", &version,
			name) != 2)
			continue;
		entry = add_entry(c, name);
		if (entry != NULL && version > entry->version &&
		    version > entry->last_requested)
			request_entry(s, entry, version);
	}
}

/* Handles the outcome of a store call for the catalogue. */
void
catalogue_store_done(struct service *s, const struct store *st, usec now)
{
	struct control *c = s->state;
	struct catalogue_entry *entry;
	const char *name = st->tag + 4;

	if (st->op == STORE_LIST) {
		c->list_pending = 0;
		if (st->status == 200)
			parse_list(s, (struct str *)&st->body);
		return;
	}
	entry = find_entry(c, name);
	if (st->status == 200)
		adopt_entry(s, name, st->version, st->body.p, st->body.n, now);
	else if (entry != NULL)
		entry->last_requested = entry->version;
}

/* True if this host controls any cell. */
static int
controls_any(const struct control *c)
{
	int i;

	for (i = 0; i < c->ncells; i++) {
		if (c->cells[i]->cell->active)
			return (1);
	}
	return (0);
}

/*
 * The interval between reads of the list.  Controllers read it often and inform
 * their hosts.  Other hosts read it rarely, each at its own interval; otherwise
 * calls to the platform would grow with the number of hosts.
 */
static usec
list_interval(const struct service *s)
{
	const struct control *c = s->state;

	if (controls_any(c) || c->ncells == 0)
		return (LIST_INTERVAL);
	return (LIST_INTERVAL_LONG +
	    (usec)(kernel_boot(s->kernel) % (LIST_INTERVAL_LONG / 5)));
}

/*
 * Reads the list when it is due.  The interval depends on this host's present
 * role, as a host that has just taken control must not wait out the long
 * interval of other hosts.
 */
void
catalogue_tick(struct service *s, usec now)
{
	struct control *c = s->state;
	struct store *st;

	if (c->list_pending ||
	    (c->list_requested_at != 0 &&
		now - c->list_requested_at < list_interval(s)))
		return;
	c->list_requested_at = now;
	c->list_pending = 1;
	st = store_new(STORE_LIST, "control", CATALOGUE_PREFIX);
	snprintf(st->tag, sizeof(st->tag), "cat ");
	store_send(s->kernel, st);
}

/* Sends a host the entries that it lacks. */
void
catalogue_handle_request(struct service *s, const struct msg *m)
{
	const Gspar__CatalogueAsk *ask = m->frame->catalogue_ask;
	struct control *c = s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__CatalogueEntry e = GSPAR__CATALOGUE_ENTRY__INIT;
	struct catalogue_entry *entry;
	size_t k;
	int i;

	f.body_case = GSPAR__FRAME__BODY_CATALOGUE_ENTRY;
	f.catalogue_entry = &e;
	for (i = 0; i < c->nentries; i++) {
		entry = &c->entries[i];
		for (k = 0; k < ask->n_seen; k++) {
			if (strcmp(ask->seen[k]->service, entry->service) == 0)
				break;
		}
		if (entry->entry == NULL ||
		    (k < ask->n_seen &&
			ask->seen[k]->version >= entry->version))
			continue;
		e.service = entry->service;
		e.version = entry->version;
		e.json.data = (uint8_t *)entry->json.p;
		e.json.len = entry->json.n;
		send_frame(s->kernel, m->host, m->conn, &f);
	}
}

/* Handles an entry from a peer. */
void
catalogue_handle_entry(
    struct service *s, const Gspar__CatalogueEntry *e, usec now)
{
	adopt_entry(s, e->service, e->version, e->json.data, e->json.len, now);
}

/* Requests what this host lacks if the controller's digest is different. */
void
catalogue_check_digest(struct service *s, const char *host, uint64_t other)
{
	struct control *c = s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__CatalogueAsk ask = GSPAR__CATALOGUE_ASK__INIT;
	Gspar__CatalogueSeen seen[CELL_SERVICES * 2], *list[CELL_SERVICES * 2];
	int i;

	if (other == c->digest || other == 0 ||
	    strcmp(host, kernel_conf(s->kernel)->host) == 0)
		return;
	for (i = 0; i < c->nentries; i++) {
		gspar__catalogue_seen__init(&seen[i]);
		seen[i].service = c->entries[i].service;
		seen[i].version = c->entries[i].version;
		list[i] = &seen[i];
	}
	ask.seen = list;
	ask.n_seen = (size_t)c->nentries;
	f.body_case = GSPAR__FRAME__BODY_CATALOGUE_ASK;
	f.catalogue_ask = &ask;
	send_frame(s->kernel, host, 0, &f);
}

/* Frees all entries. */
void
catalogue_free(struct control *c)
{
	int i;

	for (i = 0; i < c->nentries; i++) {
		entry_free(c->entries[i].entry);
		str_free(&c->entries[i].json);
	}
}
