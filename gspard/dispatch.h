/*
 * The dispatcher: for its targets, it is the only host that grants shards,
 * queues requests and sends them.
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <curl/curl.h>

#include "budget.h"
#include "framing.h"
#include "grant.h"
#include "gspard.h"
#include "once.h"
#include "queue.h"
#include "share.h"
#include "silence.h"

#define MAX_TARGETS 512
#define VIEWS_MAX 32
#define TICKETS_MAX 16384
#define JOINED_MAX 8

struct target;

/* The host, connection and correlation id that an answer goes to. */
struct requester {
	char host[NAME_MAX_GS];
	uint64_t conn;
	uint64_t corr;
};

/* One request, from arrival to its answer. */
struct run {
	struct job job;
	struct run *next;
	struct run **link;
	struct target *target;
	Gspar__Frame *frame;
	size_t held;				 /* bytes of the body */
	struct requester requesters[JOINED_MAX]; /* the first, and repeats */
	int nrequesters;
	uint64_t ticket; /* of the once table; 0: none */
	uint64_t id;	 /* of the transfer, for its cancellation */
	usec sent;
	usec arrived;
	CURL *easy;
	struct curl_slist *headers;
	struct framing framing; /* of the answer */
	struct str body;
	int cancelled;
	int resent;    /* sent a second time */
	int refused;   /* the target says that it did not run it */
	char type[96]; /* content type of the answer */
};

/* A short request to a target: grant, clock or cancel. */
struct target_call {
	struct target_call *next;
	struct target_call **link;
	struct target *target;
	enum grant_step step;
	uint64_t epoch;
	usec sent;
	CURL *easy;
	struct framing framing; /* of the answer */
	struct str out;
	struct str in;
};

struct target {
	struct target *next;
	char name[NAME_MAX_GS];
	char cell[CELL_NAME_MAX];
	char service[NAME_MAX_GS];
	char addr[64];
	uint32_t first;	 /* shard of the cell */
	uint32_t shards; /* of the cell; length of the arrays below */
	const struct class *class;
	size_t answer_max;
	struct grant grant;
	struct queue queue;
	struct once once;
	struct silence silence;
	struct budget retry_budget;
	int handing_over; /* its dispatch is handed over */
	int lease_lapsed; /* the host's lease for its cell has lapsed */
	int leaving;
	int limited;   /* its rate applies */
	uint32_t rate; /* thousandths of a request a second */
	struct bucket bucket;
	uint32_t arrived;  /* requests since loads_since */
	uint64_t min_view; /* older views are not used */
	uint64_t view;	   /* the view that the arrays below are of */
	uint64_t *fence;   /* 0: not a shard of this target */
	uint8_t *moving;
	uint32_t nmoving;
	uint8_t *excluded; /* moving, and excluded from the wanted set */
	uint16_t *inflight;
	uint32_t *busy; /* microseconds since loads_since */
	usec loads_since;
	struct run *runs;
	int nruns;
	struct target_call *target_calls;
};

struct dispatch_cell {
	char name[CELL_NAME_MAX];
	usec lease_until;
	uint64_t ack; /* sequence number of the last lease applied */
	struct shared *view;
};

struct dispatch {
	CURLM *multi;
	struct target *targets;
	struct dispatch_cell cells[VIEWS_MAX];
	int ncells;
	struct shared *catalogue;
	uint64_t next_id;
	int report_due; /* a report is due at once */
	usec last_report;
	int stopping; /* until all targets are handed over */
	int stop;
};

/* dispatch.c */
struct dispatch_cell *dispatch_cell(struct dispatch *, const char *name);
const struct entry *dispatch_entry(const struct dispatch *, const char *);

/* target.c */
struct target *target_new(struct service *, const char *name,
    const struct dispatch_cell *, const struct duty *, usec now);
int target_configure(struct dispatch *, struct target *);
void target_free(struct service *, struct target *);
struct target *target_find(struct dispatch *, const char *name);
void target_apply_view(struct target *, const Gspar__View *, uint64_t number);
void target_tick(struct service *, struct target *, usec now);
void target_update_wanted(struct target *);
void target_call_done(
    struct service *, struct target_call *, CURLcode, usec now);
void target_call_cancel(struct service *, struct target *, uint64_t id);

/* run.c */
void run_handle_request(
    struct service *, const struct msg *, Gspar__Frame *, usec now);
void run_cancel(
    struct service *, const char *host, uint64_t conn, uint64_t corr, usec now);
void run_peer_down(struct service *, const char *host, uint64_t conn, usec now);
void run_send_queued(struct service *, struct target *, usec now);
void run_flush(struct service *, struct target *, int code, usec now);
void run_free(struct service *, struct run *);
int run_match_any(const struct job *, void *);
void run_fail(
    struct service *, struct run *, int code, int outcome, uint32_t retry_ms);
void run_answer(struct service *, const struct requester *, Gspar__Answer *);

/* send.c */
void run_done(struct service *, struct run *, CURLcode, usec now);
void run_send(struct service *, struct run *, usec now);
void runs_resend(struct service *, struct target *, usec now);
int may_send(struct service *, const struct target *, usec now);
void limit_conn_age(const struct target *, CURL *, usec now);

#endif
