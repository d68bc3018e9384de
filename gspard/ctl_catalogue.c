/* The catalogue: from the platform or a peer, checked, applied upwards. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

/* Between looks by a controller, and by a host that has nothing yet. */
#define LOOK_EVERY MS(500)
/* Between looks by a host that a controller tells of changes. */
#define LOOK_RARELY MS(60000)
#define PATH "catalogue/"

/* What is held of a service; NULL where nothing is. */
static struct held *
held_of(struct control *c, const char *service)
{
	int i;

	for (i = 0; i < c->nheld; i++) {
		if (strcmp(c->held[i].service, service) == 0)
			return (&c->held[i]);
	}
	return (NULL);
}

/* What is held of a service, made where there is none; NULL without room. */
static struct held *
held_make(struct control *c, const char *service)
{
	struct held *h = held_of(c, service);

	if (h != NULL || c->nheld == CELL_SERVICES * 2 ||
	    !name_ok(service, strlen(service)))
		return (h);
	h = &c->held[c->nheld++];
	memset(h, 0, sizeof(*h));
	name_copy(h->service, sizeof(h->service), service);
	return (h);
}

/* A number that differs where any version does, in whatever order. */
static uint64_t
digest(const struct control *c)
{
	uint64_t sum = 0, h;
	const char *p;
	int i;

	for (i = 0; i < c->nheld; i++) {
		if (c->held[i].entry == NULL)
			continue;
		h = 1469598103934665603u ^ c->held[i].version;
		for (p = c->held[i].service; *p != '\0'; p++)
			h = (h ^ (unsigned char)*p) * 1099511628211u;
		sum += h * 0x9e3779b97f4a7c15u;
	}
	return (sum);
}

/* Frees a catalogue that no service uses any more. */
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

/* Gives each service of the daemon the entries in force. */
static void
publish(struct service *s)
{
	static const char *const whom[] = {"router", "dispatch", "door"};
	struct control *c = s->state;
	struct catalogue *cat;
	struct shared *sh;
	char why[200];
	size_t k;
	int i;

	cat = calloc(1, sizeof(*cat));
	cat->entries = calloc((size_t)c->nheld + 1, sizeof(*cat->entries));
	for (i = 0; i < c->nheld; i++) {
		if (c->held[i].entry == NULL)
			continue;
		cat->entries[cat->n] = entry_parse(
		    c->held[i].json.p, c->held[i].json.n, why, sizeof(why));
		if (cat->entries[cat->n] != NULL)
			cat->entries[cat->n++]->version = c->held[i].version;
	}
	c->digest = digest(c);
	cat->digest = c->digest;
	sh = shared_new(cat, free_catalogue);
	for (k = 0; k < sizeof(whom) / sizeof(whom[0]); k++)
		msg_post(s->kernel, whom[k], MSG_CATALOGUE, shared_ref(sh),
		    shared_unref);
	shared_unref(sh);
}

/* True where this host's data centre is one of the cell's. */
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

/* Makes the cells that the entry names, and configures them. */
static void
configure(struct service *s, const struct entry *e)
{
	struct control *c = s->state;
	struct ccell *cell;
	int i;

	for (i = 0; i < e->ncells; i++) {
		cell = ccell_find(c, e->cells[i].name);
		if (cell == NULL && c->ncells < MAX_CELLS) {
			cell = ccell_new(s, e->cells[i].name,
			    is_member(kernel_conf(s->kernel), &e->cells[i]));
			if (cell != NULL)
				c->cells[c->ncells++] = cell;
		}
		if (cell == NULL || cell_configure(cell->cell, e) != 0)
			log_line(LOG_ERR, "catalogue",
			    "Entry %s asks for what cell %s cannot take.",
			    e->name, e->cells[i].name);
	}
}

/*
 * Takes a version of an entry.  Only upwards: a peer that missed a change, or
 * a read that was long on its way, would otherwise bring an old one back.
 */
static void
adopt(struct service *s, const char *service, uint64_t version, const void *p,
    size_t n, usec now)
{
	struct control *c = s->state;
	struct held *h = held_make(c, service);
	struct entry *e;
	char why[300];

	if (h == NULL || version <= h->version)
		return;
	if (version > h->tried)
		h->tried = version;
	e = entry_parse(p, n, why, sizeof(why));
	if (e != NULL && strcmp(e->name, service) != 0) {
		snprintf(why, sizeof(why), "entry.name: allowed: %s", service);
		entry_free(e);
		e = NULL;
	}
	if (e == NULL) {
		event_add("catalogue", 0, "%s version %llu refused: %s",
		    service, (unsigned long long)version, why);
		log_line(LOG_ERR, "catalogue",
		    "Entry %s version %llu is not valid, the last good one "
		    "stays: %s.",
		    service, (unsigned long long)version, why);
		return;
	}
	entry_free(h->entry);
	h->entry = e;
	h->version = version;
	e->version = version;
	str_set(&h->json, p, n);
	event_add("catalogue", 0, "%s version %llu in force", service,
	    (unsigned long long)version);
	log_line(LOG_INFO, "catalogue", "Entry %s version %llu in force.",
	    service, (unsigned long long)version);
	publish(s);
	configure(s, e);
}

/* Asks the platform for one entry. */
static void
fetch(struct service *s, struct held *h, uint64_t version)
{
	struct store *st;
	char path[NAME_MAX_GS + 16];

	h->tried = version;
	snprintf(path, sizeof(path), PATH "%s", h->service);
	st = store_new(STORE_GET, "control", path);
	snprintf(st->tag, sizeof(st->tag), "cat %s", h->service);
	store_send(s->kernel, st);
}

/* Reads the list of entries and asks for those that are newer. */
static void
read_list(struct service *s, struct str *body)
{
	struct control *c = s->state;
	struct held *h;
	char *line, *rest, name[NAME_MAX_GS];
	unsigned long long version;

	if (body->p == NULL)
		return;
	for (line = strtok_r(body->p, "\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\n", &rest)) {
		if (sscanf(line, "%llu " PATH "%63s", &version, name) != 2)
			continue;
		h = held_make(c, name);
		if (h != NULL && version > h->version && version > h->tried)
			fetch(s, h, version);
	}
}

/* Takes the outcome of a call about the catalogue. */
void
cat_stored(struct service *s, const struct store *st, usec now)
{
	struct control *c = s->state;
	struct held *h;
	const char *name = st->tag + 4;

	if (st->op == STORE_LIST) {
		c->list_open = 0;
		if (st->status == 200)
			read_list(s, (struct str *)&st->body);
		return;
	}
	h = held_of(c, name);
	if (st->status == 200)
		adopt(s, name, st->version, st->body.p, st->body.n, now);
	else if (h != NULL)
		h->tried = h->version;
}

/* True where this host controls some cell. */
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
 * Between looks at the list.  Controllers look often and tell their hosts; the
 * others look rarely, each at its own time, or calls to the platform would
 * grow with the hosts.
 */
static usec
look_every(const struct service *s)
{
	const struct control *c = s->state;

	if (controls_any(c) || c->ncells == 0)
		return (LOOK_EVERY);
	return (
	    LOOK_RARELY + (usec)(kernel_boot(s->kernel) % (LOOK_RARELY / 5)));
}

/*
 * Looks for changes when it is due, by what this host is now: one that has
 * just taken control must not wait for the look it planned as a plain host.
 */
void
cat_tick(struct service *s, usec now)
{
	struct control *c = s->state;
	struct store *st;

	if (c->list_open ||
	    (c->last_list != 0 && now - c->last_list < look_every(s)))
		return;
	c->last_list = now;
	c->list_open = 1;
	st = store_new(STORE_LIST, "control", PATH);
	snprintf(st->tag, sizeof(st->tag), "cat ");
	store_send(s->kernel, st);
}

/* Answers a host that lacks some entries. */
void
cat_asked(struct service *s, const struct msg *m)
{
	const Gspar__CatalogueAsk *ask = m->frame->catalogue_ask;
	struct control *c = s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__CatalogueEntry e = GSPAR__CATALOGUE_ENTRY__INIT;
	struct held *h;
	size_t k;
	int i;

	f.body_case = GSPAR__FRAME__BODY_CATALOGUE_ENTRY;
	f.catalogue_entry = &e;
	for (i = 0; i < c->nheld; i++) {
		h = &c->held[i];
		for (k = 0; k < ask->n_seen; k++) {
			if (strcmp(ask->seen[k]->service, h->service) == 0)
				break;
		}
		if (h->entry == NULL ||
		    (k < ask->n_seen && ask->seen[k]->version >= h->version))
			continue;
		e.service = h->service;
		e.version = h->version;
		e.json.data = (uint8_t *)h->json.p;
		e.json.len = h->json.n;
		send_frame(s->kernel, m->host, m->conn, &f);
	}
}

/* Takes an entry from a peer. */
void
cat_entry(struct service *s, const Gspar__CatalogueEntry *e, usec now)
{
	adopt(s, e->service, e->version, e->json.data, e->json.len, now);
}

/* Asks the controller for what it has and this host lacks. */
void
cat_differs(struct service *s, const char *host, uint64_t other)
{
	struct control *c = s->state;
	Gspar__Frame f = GSPAR__FRAME__INIT;
	Gspar__CatalogueAsk ask = GSPAR__CATALOGUE_ASK__INIT;
	Gspar__CatalogueSeen seen[CELL_SERVICES * 2], *list[CELL_SERVICES * 2];
	int i;

	if (other == c->digest || other == 0 ||
	    strcmp(host, kernel_conf(s->kernel)->host) == 0)
		return;
	for (i = 0; i < c->nheld; i++) {
		gspar__catalogue_seen__init(&seen[i]);
		seen[i].service = c->held[i].service;
		seen[i].version = c->held[i].version;
		list[i] = &seen[i];
	}
	ask.seen = list;
	ask.n_seen = (size_t)c->nheld;
	f.body_case = GSPAR__FRAME__BODY_CATALOGUE_ASK;
	f.catalogue_ask = &ask;
	send_frame(s->kernel, host, 0, &f);
}

/* Frees what is held. */
void
cat_free(struct control *c)
{
	int i;

	for (i = 0; i < c->nheld; i++) {
		entry_free(c->held[i].entry);
		str_free(&c->held[i].json);
	}
}
