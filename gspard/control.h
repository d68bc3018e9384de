/*
 * The control service: holds this host's leases, runs the controllers of cells
 * and distributes the catalogue.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "cell.h"
#include "gspard.h"
#include "hostlease.h"
#include "term.h"

#define CELLS_MAX 32
#define PROMISE_REQUESTS_MAX 64

/* The catalogue entry of one service, as this host holds it. */
struct catalogue_entry {
	char service[NAME_MAX_GS];
	uint64_t version;
	uint64_t last_requested; /* newest version requested or rejected */
	struct str json;
	struct entry *entry;
};

/* A cell as this host sees it; the host controls it while it holds the term. */
struct local_cell {
	struct service *s;
	char name[CELL_NAME_MAX];
	int member;
	struct cell *cell;
	struct term term;
	struct hostlease lease;
	struct shared *view;
	uint64_t view_number;
	Gspar__LeaseAsk *report;
	int request_now;
	uint64_t promise_seq;
	usec promise_sent[PROMISE_REQUESTS_MAX];
	usec next_view_request;
	uint64_t control_event; /* latest one; the cause of later events */
};

struct control {
	struct local_cell *cells[CELLS_MAX];
	int ncells;
	struct catalogue_entry entries[CELL_SERVICES * 2];
	int nentries;
	uint64_t digest;
	struct shared *peers;
	int list_pending;
	usec list_requested_at;
	int hosts_pending;
	usec next_hosts_request;
	int stopping;
	int stop_reported;
	usec isolated_since;
	usec stop_since;
	int quit;
};

/*
 * A query from the admin service, answered by the control thread.  Both hold a
 * reference, as the admin service may stop waiting.
 */
struct query {
	const char *kind; /* "status", "owner", "catalogue" */
	const char *service;
	const char *key;
	char *text; /* JSON, malloced */
	int refs;
	int done;
};

/* control.c */
struct local_cell *local_cell_find(struct control *, const char *name);
void local_cell_set_view(struct local_cell *, Gspar__View *);

/* ctl_cell.c */
struct local_cell *local_cell_new(
    struct service *, const char *name, int member);
void local_cell_free(struct local_cell *);
void local_cell_tick(struct local_cell *, usec now);
void local_cell_handle_frame(struct local_cell *, const struct msg *, usec now);
int local_cell_is_controller(const struct local_cell *);

/* ctl_store.c */
void local_cell_read_record(void *);
void local_cell_write_record(
    void *, uint64_t base, const struct control_record *);
void local_cell_read_assignment(void *, const char *service);
void local_cell_write_assignment(
    void *, const char *service, uint64_t base, char *json);
void local_cell_store_done(struct local_cell *, const struct store *, usec now);

/* ctl_view.c */
void local_cell_broadcast_view(void *);

/* ctl_catalogue.c */
void catalogue_tick(struct service *, usec now);
void catalogue_store_done(struct service *, const struct store *, usec now);
void catalogue_handle_request(struct service *, const struct msg *);
void catalogue_handle_entry(
    struct service *, const Gspar__CatalogueEntry *, usec now);
void catalogue_check_digest(
    struct service *, const char *host, uint64_t digest);
void catalogue_free(struct control *);

/* ctl_stop.c */
void stop_begin(struct control *, usec now);
void stop_tick(struct service *, usec now);

/* ctl_status.c */
void query_answer(struct service *, struct query *, usec now);
void query_unref(void *);

#endif
