#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "conf.h"
#include "entry.h"

static const struct class classes[] = {
    {"lookup", 1, 0},
    {"reserve", 0, 0},
    {"export", 1, 1},
};
#define NCLASSES (sizeof(classes) / sizeof(classes[0]))

struct check {
	char *why;
	size_t size;
	int bad;
};

/* Records a fault: where it is and what is allowed.  Only the first is kept. */
static void __attribute__((format(printf, 2, 3)))
bad(struct check *c, const char *fmt, ...)
{
	va_list ap;

	if (c->bad)
		return;
	c->bad = 1;
	va_start(ap, fmt);
	vsnprintf(c->why, c->size, fmt, ap);
	va_end(ap);
}

/* Rejects keys that are not in the NULL-terminated list, to catch typos. */
static void
only(struct check *c, json_t *o, const char *at, const char *const *allowed)
{
	const char *key;
	json_t *v;
	int i;

	if (!json_is_object(o)) {
		bad(c, "%s: allowed: an object", at);
		return;
	}
	json_object_foreach(o, key, v)
	{
		for (i = 0; allowed[i] != NULL; i++) {
			if (strcmp(allowed[i], key) == 0)
				break;
		}
		if (allowed[i] == NULL)
			bad(c, "%s.%s: unknown field", at, key);
	}
}

/* Reads an integer; returns `other` if it is absent.  The field is mandatory if
 * `other` is below low. */
static int
number(struct check *c, json_t *o, const char *at, const char *key, int low,
    int high, int other)
{
	json_t *v = json_object_get(o, key);
	json_int_t n;

	if (v == NULL && other >= low)
		return (other);
	n = json_integer_value(v);
	if (!json_is_integer(v) || n < low || n > high) {
		bad(c, "%s.%s: %s; allowed: %d to %d", at, key,
		    v == NULL ? "missing" : "not in range", low, high);
		return (low);
	}
	return ((int)n);
}

/* Reads a name into dst, of NAME_MAX_GS bytes. */
static void
name(struct check *c, json_t *o, const char *at, const char *key, char *dst)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_string(v) ||
	    !name_ok(json_string_value(v), json_string_length(v))) {
		bad(c,
		    "%s.%s: allowed: 1 to 63 letters, digits, '.', '-', '_', "
		    "'+'",
		    at, key);
		return;
	}
	name_copy(dst, NAME_MAX_GS, json_string_value(v));
}

/* Reads text of 1 to size - 1 bytes into dst. */
static void
text(struct check *c, json_t *o, const char *at, const char *key, char *dst,
    size_t size)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_string(v) || json_string_length(v) == 0 ||
	    json_string_length(v) >= size) {
		bad(c, "%s.%s: allowed: text of 1 to %zu bytes", at, key,
		    size - 1);
		return;
	}
	name_copy(dst, size, json_string_value(v));
}

/* Reads a boolean; false if absent. */
static int
flag(struct check *c, json_t *o, const char *at, const char *key)
{
	json_t *v = json_object_get(o, key);

	if (v != NULL && !json_is_boolean(v))
		bad(c, "%s.%s: allowed: true or false", at, key);
	return (json_is_true(v));
}

/* Reads one target. */
static void
target(struct check *c, json_t *o, const char *at, struct target_conf *t)
{
	static const char *const keys[] = {
	    "name", "dc", "address", "slots", "leaving", "checks", NULL};
	json_t *v;
	char ip[64];
	int port;

	only(c, o, at, keys);
	name(c, o, at, "name", t->name);
	name(c, o, at, "dc", t->dc);
	v = json_object_get(o, "address");
	if (!json_is_string(v) || json_string_length(v) >= sizeof(t->addr) ||
	    addr_split(json_string_value(v), ip, sizeof(ip), &port) != 0)
		bad(c, "%s.address: allowed: IP number, ':' and port", at);
	else
		name_copy(t->addr, sizeof(t->addr), json_string_value(v));
	t->slots = number(c, o, at, "slots", 1, 1024, -1);
	t->leaving = flag(c, o, at, "leaving");
	t->checks = flag(c, o, at, "checks");
}

/* Reads the data centres of a cell; the cell's name is their names joined by
 * '+'. */
static void
dcs(struct check *c, json_t *a, const char *at, struct cell_conf *cell)
{
	json_t *v;
	size_t i;

	if (json_array_size(a) < 1 || json_array_size(a) > CELL_DCS) {
		bad(c, "%s.dcs: allowed: 1 to %d names", at, CELL_DCS);
		return;
	}
	json_array_foreach(a, i, v)
	{
		if (!json_is_string(v) ||
		    !name_ok(json_string_value(v), json_string_length(v)) ||
		    strchr(json_string_value(v), '+') != NULL) {
			bad(c, "%s.dcs[%zu]: allowed: a name without '+'", at,
			    i);
			return;
		}
		name_copy(cell->dcs[i], NAME_MAX_GS, json_string_value(v));
		if (i > 0 && strcmp(cell->dcs[i - 1], cell->dcs[i]) >= 0)
			bad(c, "%s.dcs[%zu]: allowed: names in order, once", at,
			    i);
		if (i > 0)
			strncat(cell->name, "+",
			    sizeof(cell->name) - strlen(cell->name) - 1);
		strncat(cell->name, cell->dcs[i],
		    sizeof(cell->name) - strlen(cell->name) - 1);
	}
	cell->ndcs = (int)i;
}

/* True if the data centre is one of the cell's. */
static int
has_dc(const struct cell_conf *cell, const char *dc)
{
	int i;

	for (i = 0; i < cell->ndcs; i++) {
		if (strcmp(cell->dcs[i], dc) == 0)
			return (1);
	}
	return (0);
}

/* Reads one cell. */
static void
cell_of(struct check *c, json_t *o, const char *at, struct cell_conf *cell)
{
	static const char *const keys[] = {
	    "dcs", "first", "last", "targets", NULL};
	json_t *a, *v;
	char where[80];
	size_t i;

	only(c, o, at, keys);
	dcs(c, json_object_get(o, "dcs"), at, cell);
	cell->first =
	    (uint32_t)number(c, o, at, "first", 0, SHARDS_MAX - 1, -1);
	cell->last = (uint32_t)number(c, o, at, "last", 0, SHARDS_MAX - 1, -1);
	a = json_object_get(o, "targets");
	if (json_array_size(a) < 1 || json_array_size(a) > ENTRY_TARGETS) {
		bad(c, "%s.targets: allowed: 1 to %d targets", at,
		    ENTRY_TARGETS);
		return;
	}
	cell->targets = calloc(json_array_size(a), sizeof(*cell->targets));
	if (cell->targets == NULL) {
		bad(c, "%s.targets: out of memory", at);
		return;
	}
	json_array_foreach(a, i, v)
	{
		snprintf(where, sizeof(where), "%s.targets[%zu]", at, i);
		target(c, v, where, &cell->targets[i]);
		if (!c->bad && !has_dc(cell, cell->targets[i].dc))
			bad(c, "%s.dc: allowed: one of the cell's dcs", where);
		if (!c->bad &&
		    cell_conf_target(cell, cell->targets[i].name) != NULL)
			bad(c, "%s.name: duplicate target '%s'", where,
			    cell->targets[i].name);
		cell->ntargets++;
	}
}

/* Reads the cells, which must cover each shard exactly once, in order. */
static void
cells(struct check *c, json_t *a, struct entry *e)
{
	json_t *v;
	char at[32];
	size_t i;
	uint32_t next = 0;

	if (json_array_size(a) < 1 || json_array_size(a) > ENTRY_CELLS) {
		bad(c, "cells: allowed: 1 to %d cells", ENTRY_CELLS);
		return;
	}
	json_array_foreach(a, i, v)
	{
		snprintf(at, sizeof(at), "cells[%zu]", i);
		e->ncells++;
		cell_of(c, v, at, &e->cells[i]);
		if (c->bad)
			return;
		if (e->cells[i].first != next ||
		    e->cells[i].last < e->cells[i].first)
			bad(c, "%s.first: allowed: %u, and last not below it",
			    at, next);
		next = e->cells[i].last + 1;
	}
	if (next != e->shards)
		bad(c, "cells: cover %u shards; allowed: all shards, %u", next,
		    e->shards);
}

/* Reads the limits; all of them are optional. */
static void
limits(struct check *c, json_t *o, struct entry *e)
{
	static const char *const keys[] = {
	    "queue", "deadline_ms", "body", "answer", "rate", NULL};

	if (o != NULL)
		only(c, o, "limits", keys);
	e->queue = number(c, o, "limits", "queue", 1, 100000, 64);
	e->deadline_ms = number(c, o, "limits", "deadline_ms", 1, 600000, 2000);
	e->body = number(c, o, "limits", "body", 0, 1 << 24, 1 << 16);
	e->answer = number(c, o, "limits", "answer", 1, 1 << 24, 1 << 22);
	e->rate = number(c, o, "limits", "rate", 0, 10000000, 0);
}

/* Reads the class and the balance policy. */
static void
class_of(struct check *c, json_t *o, struct entry *e)
{
	const char *s = json_string_value(json_object_get(o, "class"));
	size_t i;

	for (i = 0; s != NULL && i < NCLASSES; i++) {
		if (strcmp(classes[i].name, s) == 0)
			e->class = &classes[i];
	}
	if (e->class == NULL)
		bad(c, "class: allowed: lookup, reserve, export");
	s = json_string_value(json_object_get(o, "weigh"));
	if (s == NULL || strcmp(s, "imbalance") == 0)
		e->weigh = WEIGH_IMBALANCE;
	else if (strcmp(s, "unavailable") == 0)
		e->weigh = WEIGH_UNAVAILABLE;
	else
		bad(c, "weigh: allowed: imbalance, unavailable");
}

/*
 * Parses an entry from n bytes of JSON.  Returns NULL if anything is wrong, and
 * `why` tells where and what is allowed: no part of a faulty entry is used.
 * The caller frees the entry with entry_free.
 */
struct entry *
entry_parse(const char *p, size_t n, char *why, size_t size)
{
	static const char *const keys[] = {"name", "owner", "class", "weigh",
	    "shards", "limits", "cells", "edit", NULL};
	struct check c = {.why = why, .size = size};
	struct entry *e;
	json_error_t err;
	json_t *o;

	o = json_loadb(p, n, JSON_REJECT_DUPLICATES, &err);
	if (o == NULL) {
		snprintf(why, size, "line %d: %s", err.line, err.text);
		return (NULL);
	}
	e = calloc(1, sizeof(*e));
	if (e == NULL) {
		snprintf(why, size, "out of memory");
		goto out;
	}
	only(&c, o, "entry", keys);
	name(&c, o, "entry", "name", e->name);
	text(&c, o, "entry", "owner", e->owner, sizeof(e->owner));
	if (json_object_get(o, "edit") != NULL)
		text(&c, o, "entry", "edit", e->edit, sizeof(e->edit));
	class_of(&c, o, e);
	e->shards =
	    (uint32_t)number(&c, o, "entry", "shards", 1, SHARDS_MAX, -1);
	limits(&c, json_object_get(o, "limits"), e);
	if (!c.bad)
		cells(&c, json_object_get(o, "cells"), e);
	if (c.bad) {
		entry_free(e);
		e = NULL;
	}
out:
	json_decref(o);
	return (e);
}

/* Frees an entry. */
void
entry_free(struct entry *e)
{
	int i;

	if (e == NULL)
		return;
	for (i = 0; i < e->ncells; i++)
		free(e->cells[i].targets);
	free(e);
}

/* Returns the cell that a shard belongs to, or NULL. */
const struct cell_conf *
entry_cell(const struct entry *e, uint32_t shard)
{
	int i;

	for (i = 0; i < e->ncells; i++) {
		if (shard >= e->cells[i].first && shard <= e->cells[i].last)
			return (&e->cells[i]);
	}
	return (NULL);
}

/* Finds a target of the cell by name; NULL if absent. */
const struct target_conf *
cell_conf_target(const struct cell_conf *c, const char *target_name)
{
	int i;

	for (i = 0; i < c->ntargets; i++) {
		if (strcmp(c->targets[i].name, target_name) == 0)
			return (&c->targets[i]);
	}
	return (NULL);
}
