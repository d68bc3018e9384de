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
	int failed;
};

/* Records a fault: where it is and what is allowed.  Only the first is kept. */
static void __attribute__((format(printf, 2, 3)))
reject(struct check *c, const char *fmt, ...)
{
	va_list ap;

	if (c->failed)
		return;
	c->failed = 1;
	va_start(ap, fmt);
	vsnprintf(c->why, c->size, fmt, ap);
	va_end(ap);
}

/* Rejects keys that are not in the NULL-terminated list, to catch typos. */
static void
check_keys(
    struct check *c, json_t *o, const char *path, const char *const *allowed)
{
	const char *key;
	json_t *v;
	int i;

	if (!json_is_object(o)) {
		reject(c, "%s: allowed: an object", path);
		return;
	}
	json_object_foreach(o, key, v)
	{
		for (i = 0; allowed[i] != NULL; i++) {
			if (strcmp(allowed[i], key) == 0)
				break;
		}
		if (allowed[i] == NULL)
			reject(c, "%s.%s: unknown field", path, key);
	}
}

/* Reads an integer; returns `other` if it is absent.  The field is mandatory if
 * `other` is below low. */
static int
read_number(struct check *c, json_t *o, const char *path, const char *key,
    int low, int high, int fallback)
{
	json_t *v = json_object_get(o, key);
	json_int_t n;

	if (v == NULL && fallback >= low)
		return (fallback);
	n = json_integer_value(v);
	if (!json_is_integer(v) || n < low || n > high) {
		reject(c, "%s.%s: %s; allowed: %d to %d", path, key,
		    v == NULL ? "missing" : "not in range", low, high);
		return (low);
	}
	return ((int)n);
}

/* Reads a name into dst, of NAME_MAX_GS bytes. */
static void
read_name(
    struct check *c, json_t *o, const char *path, const char *key, char *dst)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_string(v) ||
	    !name_ok(json_string_value(v), json_string_length(v))) {
		reject(c,
		    "%s.%s: allowed: 1 to 63 letters, digits, '.', '-', '_', "
		    "'+'",
		    path, key);
		return;
	}
	name_copy(dst, NAME_MAX_GS, json_string_value(v));
}

/* Reads text of 1 to size - 1 bytes into dst. */
static void
read_text(struct check *c, json_t *o, const char *path, const char *key,
    char *dst, size_t size)
{
	json_t *v = json_object_get(o, key);

	if (!json_is_string(v) || json_string_length(v) == 0 ||
	    json_string_length(v) >= size) {
		reject(c, "%s.%s: allowed: text of 1 to %zu bytes", path, key,
		    size - 1);
		return;
	}
	name_copy(dst, size, json_string_value(v));
}

/* Reads a boolean; false if absent. */
static int
read_flag(struct check *c, json_t *o, const char *path, const char *key)
{
	json_t *v = json_object_get(o, key);

	if (v != NULL && !json_is_boolean(v))
		reject(c, "%s.%s: allowed: true or false", path, key);
	return (json_is_true(v));
}

/* Reads one target. */
static void
read_target(struct check *c, json_t *o, const char *path, struct target_conf *t)
{
	static const char *const keys[] = {
	    "name", "dc", "address", "slots", "leaving", "checks", NULL};
	json_t *v;
	char ip[64];
	int port;

	check_keys(c, o, path, keys);
	read_name(c, o, path, "name", t->name);
	read_name(c, o, path, "dc", t->dc);
	v = json_object_get(o, "address");
	if (!json_is_string(v) || json_string_length(v) >= sizeof(t->addr) ||
	    addr_parse(json_string_value(v), ip, sizeof(ip), &port) != 0)
		reject(c, "%s.address: allowed: IP number, ':' and port", path);
	else
		name_copy(t->addr, sizeof(t->addr), json_string_value(v));
	t->slots = read_number(c, o, path, "slots", 1, 1024, -1);
	t->leaving = read_flag(c, o, path, "leaving");
	t->checks = read_flag(c, o, path, "checks");
}

/* Reads the data centres of a cell; the cell's name is their names joined by
 * '+'. */
static void
read_dcs(struct check *c, json_t *a, const char *path, struct cell_conf *cell)
{
	json_t *v;
	size_t i;

	if (json_array_size(a) < 1 || json_array_size(a) > CELL_DCS_MAX) {
		reject(c, "%s.dcs: allowed: 1 to %d names", path, CELL_DCS_MAX);
		return;
	}
	json_array_foreach(a, i, v)
	{
		if (!json_is_string(v) ||
		    !name_ok(json_string_value(v), json_string_length(v)) ||
		    strchr(json_string_value(v), '+') != NULL) {
			reject(c, "%s.dcs[%zu]: allowed: a name without '+'",
			    path, i);
			return;
		}
		name_copy(cell->dcs[i], NAME_MAX_GS, json_string_value(v));
		if (i > 0 && strcmp(cell->dcs[i - 1], cell->dcs[i]) >= 0)
			reject(c, "%s.dcs[%zu]: allowed: names in order, once",
			    path, i);
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
read_cell(struct check *c, json_t *o, const char *path, struct cell_conf *cell)
{
	static const char *const keys[] = {
	    "dcs", "first", "last", "targets", NULL};
	json_t *a, *v;
	char target_path[80];
	size_t i;

	check_keys(c, o, path, keys);
	read_dcs(c, json_object_get(o, "dcs"), path, cell);
	cell->first =
	    (uint32_t)read_number(c, o, path, "first", 0, SHARDS_MAX - 1, -1);
	cell->last =
	    (uint32_t)read_number(c, o, path, "last", 0, SHARDS_MAX - 1, -1);
	a = json_object_get(o, "targets");
	if (json_array_size(a) < 1 || json_array_size(a) > ENTRY_TARGETS_MAX) {
		reject(c, "%s.targets: allowed: 1 to %d targets", path,
		    ENTRY_TARGETS_MAX);
		return;
	}
	cell->targets = calloc(json_array_size(a), sizeof(*cell->targets));
	if (cell->targets == NULL) {
		reject(c, "%s.targets: out of memory", path);
		return;
	}
	json_array_foreach(a, i, v)
	{
		snprintf(target_path, sizeof(target_path), "%s.targets[%zu]",
		    path, i);
		read_target(c, v, target_path, &cell->targets[i]);
		if (!c->failed && !has_dc(cell, cell->targets[i].dc))
			reject(c, "%s.dc: allowed: one of the cell's dcs",
			    target_path);
		if (!c->failed &&
		    cell_conf_target(cell, cell->targets[i].name) != NULL)
			reject(c, "%s.name: duplicate target '%s'", target_path,
			    cell->targets[i].name);
		cell->ntargets++;
	}
}

/* Reads the cells, which must cover each shard exactly once, in order. */
static void
read_cells(struct check *c, json_t *a, struct entry *e)
{
	json_t *v;
	char path[32];
	size_t i;
	uint32_t next = 0;

	if (json_array_size(a) < 1 || json_array_size(a) > ENTRY_CELLS_MAX) {
		reject(c, "cells: allowed: 1 to %d cells", ENTRY_CELLS_MAX);
		return;
	}
	json_array_foreach(a, i, v)
	{
		snprintf(path, sizeof(path), "cells[%zu]", i);
		e->ncells++;
		read_cell(c, v, path, &e->cells[i]);
		if (c->failed)
			return;
		if (e->cells[i].first != next ||
		    e->cells[i].last < e->cells[i].first)
			reject(c,
			    "%s.first: allowed: %u, and last not below it",
			    path, next);
		next = e->cells[i].last + 1;
	}
	if (next != e->shards)
		reject(c, "cells: cover %u shards; allowed: all shards, %u",
		    next, e->shards);
}

/* Reads the limits; all of them are optional. */
static void
read_limits(struct check *c, json_t *o, struct entry *e)
{
	static const char *const keys[] = {
	    "queue", "deadline_ms", "body", "answer", "rate", NULL};

	if (o != NULL)
		check_keys(c, o, "limits", keys);
	e->queue = read_number(c, o, "limits", "queue", 1, 100000, 64);
	e->deadline_ms =
	    read_number(c, o, "limits", "deadline_ms", 1, 600000, 2000);
	e->body = read_number(c, o, "limits", "body", 0, 1 << 24, 1 << 16);
	e->answer = read_number(c, o, "limits", "answer", 1, 1 << 24, 1 << 22);
	e->rate = read_number(c, o, "limits", "rate", 0, 10000000, 0);
}

/* Reads the class and the balance policy. */
static void
read_class(struct check *c, json_t *o, struct entry *e)
{
	const char *s = json_string_value(json_object_get(o, "class"));
	size_t i;

	for (i = 0; s != NULL && i < NCLASSES; i++) {
		if (strcmp(classes[i].name, s) == 0)
			e->class = &classes[i];
	}
	if (e->class == NULL)
		reject(c, "class: allowed: lookup, reserve, export");
	s = json_string_value(json_object_get(o, "weigh"));
	if (s == NULL || strcmp(s, "imbalance") == 0)
		e->weigh = WEIGH_IMBALANCE;
	else if (strcmp(s, "unavailable") == 0)
		e->weigh = WEIGH_UNAVAILABLE;
	else
		reject(c, "weigh: allowed: imbalance, unavailable");
}

/*
 * Parses an entry from n bytes of JSON.  Returns NULL if anything is wrong, and
 * `why` says where and what is allowed: no part of a faulty entry is used.
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
	check_keys(&c, o, "entry", keys);
	read_name(&c, o, "entry", "name", e->name);
	read_text(&c, o, "entry", "owner", e->owner, sizeof(e->owner));
	if (json_object_get(o, "edit") != NULL)
		read_text(&c, o, "entry", "edit", e->edit, sizeof(e->edit));
	read_class(&c, o, e);
	e->shards =
	    (uint32_t)read_number(&c, o, "entry", "shards", 1, SHARDS_MAX, -1);
	read_limits(&c, json_object_get(o, "limits"), e);
	if (!c.failed)
		read_cells(&c, json_object_get(o, "cells"), e);
	if (c.failed) {
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
