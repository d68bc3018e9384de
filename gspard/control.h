/* The control service: host leases, control of cells, the catalogue. */
#ifndef CONTROL_H
#define CONTROL_H

#include "cell.h"
#include "gspard.h"
#include "hostlease.h"
#include "term.h"

#define MAX_CELLS 32
#define ASKED_KEPT 64

/* One service's entry as held here. */
struct held {
	char service[NAME_MAX_GS];
	uint64_t version;
	uint64_t tried; /* newest version asked for or refused */
	struct str json;
	struct entry *entry;
};

/* A cell as this host sees it, and controls it where it holds the term. */
struct ccell {
	struct service *s;
	char name[CELL_NAME_MAX];
	int member;
	struct cell *cell;
	struct term term;
	struct hostlease lease;
	struct shared *view;
	uint64_t view_number;
	Gspar__LeaseAsk *report;
	int ask_now;
	uint64_t promise_seq;
	usec asked_at[ASKED_KEPT];
	usec next_view_ask;
	uint64_t took; /* event of taking control: cause of what follows */
};

struct control {
	struct ccell *cells[MAX_CELLS];
	int ncells;
	struct held held[CELL_SERVICES * 2];
	int nheld;
	uint64_t digest;
	struct shared *peers;
	int list_open;
	usec last_list;
	int hosts_open;
	usec next_hosts;
	int stopping;
	int told_stop;
	usec alone_since;
	usec stop_since;
	int stop;
};

/* A question of the admin service, answered by the control thread. */
struct question {
	const char *what; /* "status", "owner", "catalogue" */
	const char *service;
	const char *key;
	char *text; /* JSON, malloced */
	int refs;
	int done;
};

/* control.c */
struct ccell *ccell_find(struct control *, const char *name);
void ccell_view(struct ccell *, Gspar__View *);

/* ctl_cell.c */
struct ccell *ccell_new(struct service *, const char *name, int member);
void ccell_free(struct ccell *);
void ccell_tick(struct ccell *, usec now);
void ccell_frame(struct ccell *, const struct msg *, usec now);
int ccell_controls(const struct ccell *);

/* ctl_store.c */
void cell_read_record(void *);
void cell_write_record(void *, uint64_t base, const struct control_record *);
void cell_read_assignment(void *, const char *service);
void cell_write_assignment(
    void *, const char *service, uint64_t base, char *json);
void ccell_stored(struct ccell *, const struct store *, usec now);

/* ctl_view.c */
void cell_spread_view(void *);

/* ctl_catalogue.c */
void cat_tick(struct service *, usec now);
void cat_stored(struct service *, const struct store *, usec now);
void cat_asked(struct service *, const struct msg *);
void cat_entry(struct service *, const Gspar__CatalogueEntry *, usec now);
void cat_differs(struct service *, const char *host, uint64_t digest);
void cat_free(struct control *);

/* ctl_stop.c */
void stop_begin(struct control *, usec now);
void stop_tick(struct service *, usec now);

/* ctl_status.c */
void question_answer(struct service *, struct question *, usec now);
void question_unref(void *);

#endif
