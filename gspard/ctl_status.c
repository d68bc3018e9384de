/* Answers queries of the admin service as JSON. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "control.h"
#include "view.h"
#include "shard.h"

/* Drops a reference to a query; frees it with the last one. */
void
query_unref(void *arg)
{
	struct query *q = arg;

	if (__atomic_sub_fetch(&q->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	free(q->text);
	free(q);
}

/* The name of this host's role in a cell. */
static const char *
role_name(const struct local_cell *c)
{
	int i;

	if (!c->member)
		return ("none");
	if (c->cell->active)
		return ("controller");
	for (i = 0; i < c->term.rec.nstandby; i++) {
		if (c->term.rec.standby[i].boot == c->term.conf.self.boot)
			return ("standby");
	}
	return ("member");
}

/* The status of one cell. */
static json_t *
cell_status(const struct local_cell *c, usec now)
{
	const Gspar__View *v = c->view == NULL ? NULL : c->view->p;
	json_t *o, *dispatch;
	size_t i;

	dispatch = json_object();
	for (i = 0; v != NULL && i < v->n_dispatch; i++)
		json_object_set_new(dispatch, v->dispatch[i]->target,
		    json_string(v->dispatch[i]->host));
	o = json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:b, s:o}", "cell",
	    c->name, "role", role_name(c), "controller",
	    v != NULL ? v->controller : c->lease.controller, "term",
	    (json_int_t)c->lease.term, "view",
	    (json_int_t)(c->view_number & 0xffffffff), "lease_ms",
	    (json_int_t)((c->lease.until - now) / 1000), "may_change",
	    local_cell_is_controller(c), "dispatch", dispatch);
	return (o);
}

/* The status of this host and all its cells. */
static json_t *
host_status(struct service *s, usec now)
{
	struct control *c = s->state;
	const struct conf *conf = kernel_conf(s->kernel);
	json_t *o, *cells, *versions, *hosts;
	const struct peers *l;
	char boot[24];
	int i;

	cells = json_array();
	for (i = 0; i < c->ncells; i++)
		json_array_append_new(cells, cell_status(c->cells[i], now));
	versions = json_object();
	for (i = 0; i < c->nentries; i++) {
		if (c->entries[i].entry != NULL)
			json_object_set_new(versions, c->entries[i].service,
			    json_integer((json_int_t)c->entries[i].version));
	}
	hosts = json_array();
	l = c->peers == NULL ? NULL : c->peers->p;
	for (i = 0; l != NULL && i < l->n; i++)
		json_array_append_new(hosts,
		    json_pack("{s:s, s:s, s:s, s:b}", "host", l->list[i].host,
			"dc", l->list[i].dc, "admin", l->list[i].admin,
			"leaving", l->list[i].leaving));
	snprintf(boot, sizeof(boot), "%016" PRIx64, kernel_boot(s->kernel));
	o = json_pack("{s:s, s:s, s:s, s:b, s:o, s:o, s:o}", "host", conf->host,
	    "dc", conf->dc, "boot", boot, "stopping", c->stopping, "catalogue",
	    versions, "cells", cells, "hosts", hosts);
	return (o);
}

/* The owner of a key, with the view that says so. */
static json_t *
owner_status(struct control *c, const char *service, const char *key)
{
	const Gspar__ServiceView *sv;
	const char *target, *host;
	const struct entry *e = NULL;
	const struct cell_conf *cc;
	const Gspar__View *v;
	struct local_cell *cell;
	uint32_t shard, n;
	int k;

	for (k = 0; k < c->nentries; k++) {
		if (strcmp(c->entries[k].service, service) == 0)
			e = c->entries[k].entry;
	}
	if (e == NULL)
		return (json_pack("{s:s}", "error", "unknown service"));
	shard = shard_of(service, key, strlen(key), e->shards);
	cc = entry_cell(e, shard);
	cell = local_cell_find(c, cc->name);
	if (cell == NULL || cell->view == NULL)
		return (json_pack("{s:i, s:s, s:s}", "shard", (int)shard,
		    "cell", cc->name, "error", "no view of the cell yet"));
	v = cell->view->p;
	sv = view_service(v, service);
	n = shard - cc->first;
	target = view_owner(sv, n);
	if (target == NULL)
		return (json_pack("{s:i, s:s, s:s}", "shard", (int)shard,
		    "cell", cc->name, "error", "nobody owns the shard"));
	host = view_dispatcher(v, target);
	return (json_pack("{s:i, s:s, s:s, s:s, s:I, s:s, s:I, s:I}", "shard",
	    (int)shard, "cell", cc->name, "target", target, "dispatcher",
	    host == NULL ? "" : host, "fence", (json_int_t)sv->fence[n],
	    "confirmed_by", v->controller, "term", (json_int_t)v->term, "view",
	    (json_int_t)v->seq));
}

/* The current catalogue entries with their versions. */
static json_t *
catalogue_status(const struct control *c)
{
	json_t *o, *e;
	int i;

	o = json_object();
	for (i = 0; i < c->nentries; i++) {
		if (c->entries[i].entry == NULL)
			continue;
		e = json_loadb(
		    c->entries[i].json.p, c->entries[i].json.n, 0, NULL);
		json_object_set_new(o, c->entries[i].service,
		    json_pack("{s:I, s:o}", "version",
			(json_int_t)c->entries[i].version, "entry", e));
	}
	return (o);
}

/* Answers a query; the admin service waits for q->done. */
void
query_answer(struct service *s, struct query *q, usec now)
{
	struct control *c = s->state;
	json_t *o;

	if (strcmp(q->kind, "owner") == 0)
		o = owner_status(c, q->service, q->key);
	else if (strcmp(q->kind, "catalogue") == 0)
		o = catalogue_status(c);
	else
		o = host_status(s, now);
	q->text = json_dumps(o, JSON_INDENT(1));
	json_decref(o);
	__atomic_store_n(&q->done, 1, __ATOMIC_RELEASE);
}
