/* A cell's objects in the platform: its control record and assignments. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "record.h"

/* A call about the cell's control record. */
static struct store *
record_store(const struct ccell *c, enum store_op op)
{
	struct store *st;
	char path[CELL_NAME_MAX + 16];

	snprintf(path, sizeof(path), "control/%s", c->name);
	st = store_new(op, "control", path);
	snprintf(st->tag, sizeof(st->tag), "term %s", c->name);
	return (st);
}

/* A call about the assignment of a service in the cell. */
static struct store *
assignment_store(const struct ccell *c, enum store_op op, const char *service)
{
	struct store *st;
	char path[CELL_NAME_MAX + NAME_MAX_GS + 16];

	snprintf(path, sizeof(path), "assign/%s/%s", c->name, service);
	st = store_new(op, "control", path);
	snprintf(st->tag, sizeof(st->tag), "assign %s %s", c->name, service);
	return (st);
}

/* Asks the platform for the control record. */
void
cell_read_record(void *arg)
{
	struct ccell *c = arg;

	store_send(c->s->kernel, record_store(c, STORE_GET));
}

/* Writes the control record where its version is still base. */
void
cell_write_record(void *arg, uint64_t base, const struct control_record *r)
{
	struct ccell *c = arg;
	struct store *st;

	st = record_store(c, STORE_PUT);
	st->base = base;
	st->gen = r->write_id;
	record_write(r, &st->body);
	store_send(c->s->kernel, st);
}

/* Asks the platform for an assignment. */
void
cell_read_assignment(void *arg, const char *service)
{
	struct ccell *c = arg;

	store_send(c->s->kernel, assignment_store(c, STORE_GET, service));
}

/* Writes an assignment; takes the text over. */
void
cell_write_assignment(void *arg, const char *service, uint64_t base, char *json)
{
	struct ccell *c = arg;
	struct store *st;

	st = assignment_store(c, STORE_PUT, service);
	st->base = base;
	st->gen = c->cell->term;
	st->body.p = json;
	st->body.n = strlen(json);
	store_send(c->s->kernel, st);
}

/* What came of a write, by its HTTP status. */
static enum put_result
put_result(int status)
{
	if (status == 200)
		return (PUT_DONE);
	return (status == 412 ? PUT_CONFLICT : PUT_UNKNOWN);
}

/* Takes the outcome of a call about the control record. */
static void
term_stored(struct ccell *c, const struct store *st, usec now)
{
	struct control_record r;

	if (st->op == STORE_PUT) {
		if (st->gen == c->term.put_rec.write_id)
			term_put_done(
			    &c->term, now, put_result(st->status), st->version);
		return;
	}
	if (st->status == 404)
		term_get_done(&c->term, now, 0, 0, NULL);
	else if (st->status == 200 && record_read(&st->body, &r) == 0)
		term_get_done(&c->term, now, 1, st->version, &r);
	else
		term_get_failed(&c->term, now);
}

/* Takes the outcome of a platform call of this cell. */
void
ccell_stored(struct ccell *c, const struct store *st, usec now)
{
	const char *service;

	if (strncmp(st->tag, "term ", 5) == 0) {
		term_stored(c, st, now);
		return;
	}
	service = strrchr(st->tag, ' ') + 1;
	/*
	 * An outcome of an earlier term must not be taken for the one that is
	 * open now: it would put in force what the platform does not hold.
	 */
	if (st->op == STORE_PUT && st->gen != c->cell->term)
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
