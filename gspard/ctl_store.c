/* Reads and writes a cell's control record and assignments in the platform. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "record.h"

/* Returns a store call for the cell's control record. */
static struct store *
record_store(const struct local_cell *c, enum store_op op)
{
	struct store *st;
	char path[CELL_NAME_MAX + 16];

	snprintf(path, sizeof(path), "control/%s", c->name);
	st = store_new(op, "control", path);
	snprintf(st->tag, sizeof(st->tag), "term %s", c->name);
	return (st);
}

/* Returns a store call for a service's assignment in the cell. */
static struct store *
assignment_store(
    const struct local_cell *c, enum store_op op, const char *service)
{
	struct store *st;
	char path[CELL_NAME_MAX + NAME_MAX_GS + 16];

	snprintf(path, sizeof(path), "assign/%s/%s", c->name, service);
	st = store_new(op, "control", path);
	snprintf(st->tag, sizeof(st->tag), "assign %s %s", c->name, service);
	return (st);
}

/* Requests the control record from the platform. */
void
local_cell_read_record(void *arg)
{
	struct local_cell *c = arg;

	store_send(c->s->kernel, record_store(c, STORE_GET));
}

/* Writes the control record if its version is still base. */
void
local_cell_write_record(
    void *arg, uint64_t base, const struct control_record *r)
{
	struct local_cell *c = arg;
	struct store *st;

	st = record_store(c, STORE_PUT);
	st->base = base;
	st->generation = r->write_id;
	record_encode(r, &st->body);
	store_send(c->s->kernel, st);
}

/* Requests an assignment from the platform. */
void
local_cell_read_assignment(void *arg, const char *service)
{
	struct local_cell *c = arg;

	store_send(c->s->kernel, assignment_store(c, STORE_GET, service));
}

/* Writes an assignment if its version is base; takes ownership of json. */
void
local_cell_write_assignment(
    void *arg, const char *service, uint64_t base, char *json)
{
	struct local_cell *c = arg;
	struct store *st;

	st = assignment_store(c, STORE_PUT, service);
	st->base = base;
	st->generation = c->cell->term;
	st->body.p = json;
	st->body.n = strlen(json);
	store_send(c->s->kernel, st);
}

/* Maps the HTTP status of a write to its result. */
static enum put_result
put_result(int status)
{
	if (status == 200)
		return (PUT_DONE);
	return (status == 412 ? PUT_CONFLICT : PUT_UNKNOWN);
}

/* Handles the outcome of a call for the control record. */
static void
record_store_done(struct local_cell *c, const struct store *st, usec now)
{
	struct control_record r;

	if (st->op == STORE_PUT) {
		if (st->generation == c->term.put_rec.write_id)
			term_put_done(
			    &c->term, now, put_result(st->status), st->version);
		return;
	}
	if (st->status == 404)
		term_get_done(&c->term, now, 0, 0, NULL);
	else if (st->status == 200 && record_decode(&st->body, &r) == 0)
		term_get_done(&c->term, now, 1, st->version, &r);
	else
		term_get_failed(&c->term, now);
}

/* Handles the outcome of a store call for this cell. */
void
local_cell_store_done(struct local_cell *c, const struct store *st, usec now)
{
	const char *service;

	if (strncmp(st->tag, "term ", 5) == 0) {
		record_store_done(c, st, now);
		return;
	}
	service = strrchr(st->tag, ' ') + 1;
	/*
	 * The outcome of an earlier term's write must not be taken for that of
	 * the pending one: the cell would act on an assignment that the
	 * platform does not hold.
	 */
	if (st->op == STORE_PUT && st->generation != c->cell->term)
		return;
	if (st->op == STORE_PUT)
		cell_put_done(
		    c->cell, now, service, put_result(st->status), st->version);
	else if (st->status == 200 || st->status == 404)
		cell_get_done(c->cell, now, service, st->status == 200,
		    st->version, st->body.p, st->body.n);
	else
		cell_get_failed(c->cell, service);
}
