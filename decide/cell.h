/*
 * What the controller of a cell decides: hosts' leases, which host dispatches
 * for which target, and which target owns which shard.
 */
#ifndef CELL_H
#define CELL_H

#include <stdint.h>

#include "clock.h"
#include "entry.h"
#include "gspar.pb-c.h"
#include "place.h"
#include "share.h"
#include "str.h"
#include "term.h"

#define CELL_SERVICES 16
#define CELL_TARGETS 512
#define CELL_HOSTS 128
#define NOBODY (-1)

struct cell_host {
	struct member who;
	char dc[NAME_MAX_GS];
	char addr[64];
	usec heard;
	usec lease_end; /* as granter; 0 is none given */
	int stopping;
	int seen;
};

struct cell_target {
	struct target_conf conf;
	int service;
	int gone;   /* no longer in the catalogue */
	int disp;   /* index of the dispatching host, or NOBODY */
	int handed; /* told to hand its dispatch over */
	uint64_t epoch;
	uint64_t min_view;
	uint64_t given_seq;
	int granted;
	int up;
	int leaving;
	int reported;
	int confirmed; /* answered its dispatcher's grant in this term */
	struct share share;
	usec clear_at; /* grants of earlier dispatchers have lapsed by then */
};

/* One write of an assignment that may be open or of unknown outcome. */
struct cell_write {
	int open;
	int lost;
	uint64_t id;
	int *owner;
	uint64_t *fence;
	int *next;
	uint64_t *next_fence;
};

/*
 * The shards of a service in this cell.  owner, fence, next and next_fence
 * are as the platform holds them.  A shard with a next is on its way: once
 * its owner has let go it is the next's, whether or not the platform can be
 * written at that moment.
 */
struct cell_service {
	char name[NAME_MAX_GS];
	uint32_t first;
	uint32_t shards;
	enum weigh weigh;
	double limit; /* requests a second in this cell; 0 is none */
	int *owner;   /* target index or NOBODY, per shard of the cell */
	uint64_t *fence;
	int *next; /* target index or NOBODY */
	uint64_t *next_fence;
	uint64_t *flag_seq; /* first view that tells of the move */
	uint8_t *freed;	    /* the owner has let go, in this term */
	double *load;
	uint64_t version;
	uint64_t top_fence;
	int known;
	int claimed;
	int get_open;
	usec next_try;
	struct cell_write write;
	usec budget_at;
	double budget;
	uint64_t moved;
};

struct cell_conf_times {
	usec host_lease;
	usec renew;
};

struct cell_out {
	void (*get)(void *, const char *service);
	void (*put)(void *, const char *service, uint64_t base, char *json);
	void (*changed)(void *);
	void (*event)(void *, const char *);
};

struct cell {
	char name[CELL_NAME];
	struct cell_conf_times times;
	const struct cell_out *out;
	void *arg;
	int active;
	int settled;	    /* leases of earlier controllers have lapsed */
	usec patient_until; /* first placement waits for targets till then */
	uint64_t term;
	uint64_t view_seq;
	uint64_t epochs;
	uint64_t seed;
	struct cell_host hosts[CELL_HOSTS];
	int nhosts;
	struct cell_target targets[CELL_TARGETS];
	int ntargets;
	struct cell_service services[CELL_SERVICES];
	int nservices;
};

void cell_init(struct cell *, const char *name, const struct cell_conf_times *,
    const struct cell_out *, void *, uint64_t seed);
void cell_free(struct cell *);
int cell_configure(struct cell *, const struct entry *);
int cell_add_target(struct cell *, int service, const char *name);
void cell_begin(struct cell *, uint64_t term, usec now);
void cell_end(struct cell *);
void cell_got(struct cell *, usec now, const char *service, int found,
    uint64_t version, const char *json, size_t n);
void cell_get_failed(struct cell *, const char *service);
void cell_put_ended(struct cell *, usec now, const char *service,
    enum put_result, uint64_t version);
void cell_asked(
    struct cell *, usec now, const char *host, const Gspar__LeaseAsk *);
int cell_give(struct cell *, usec now, const char *host,
    const Gspar__LeaseAsk *, Gspar__LeaseGive *, Gspar__Duty *, int max);
void cell_tick(struct cell *, usec now, int settled, int may_dispatch);
int cell_ready(const struct cell *);
int cell_handed_over(const struct cell *);
int cell_live_hosts(
    const struct cell *, usec now, struct member *, int max, const char *but);
int cell_standbys(const struct cell *, usec now, const char *host,
    const char *dc, const struct record *, struct member out[STANDBYS]);
int ask_speaks_of(const Gspar__LeaseAsk *, const char *target);
struct cell_service *cell_service(struct cell *, const char *);
int cell_serves(const struct cell_service *, uint32_t n, uint64_t *fence);

#endif
