/*
 * The controller of a cell: leases of hosts, assignment of a dispatching host
 * to each target, and assignment of shards to targets.
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
/* Stands for no host or target where an index is expected. */
#define CELL_NONE (-1)

/* One process of a host, as the controller knows it. */
struct cell_host {
	struct member process;
	char dc[NAME_MAX_GS];
	char addr[64];
	usec last_heard;
	usec lease_end; /* as granter; 0 if none was granted */
	int stopping;
	int in_use; /* 0: the slot is free */
};

/* One target, its dispatcher and what the dispatcher last reported of it. */
struct cell_target {
	struct target_conf conf;
	int service;
	int removed;	/* no longer in the catalogue */
	int dispatcher; /* index of the dispatching host, or CELL_NONE */
	int handover;	/* the dispatcher was asked to hand the target over */
	uint64_t epoch;
	uint64_t min_view; /* grants must be based on this view or later */
	uint64_t duty_seq; /* request whose reply first held the duty */
	int granted;
	int up;
	int leaving;
	int reported;
	int confirmed; /* has accepted a grant of this term */
	struct share share;
	usec grants_lapse_at; /* when all grants of earlier dispatchers have
				 lapsed */
};

/* A write of an assignment that is in progress or of unknown outcome. */
struct cell_write {
	int pending;
	int unknown; /* whether it took effect */
	uint64_t id;
	int *owner;
	uint64_t *fence;
	int *next;
	uint64_t *next_fence;
};

/*
 * The shards of a service in this cell.  owner, fence, next and next_fence
 * mirror the record in the platform.  A shard whose next is set is moving:
 * once its owner has released it, it belongs to next, even if the platform
 * cannot be written at that moment.
 */
struct cell_service {
	char name[NAME_MAX_GS];
	uint32_t first;
	uint32_t shards;
	enum weigh weigh;
	double limit; /* requests per second in this cell; 0: unlimited */
	int *owner;   /* target index or CELL_NONE, per shard of the cell */
	uint64_t *fence;
	int *next; /* target index or CELL_NONE */
	uint64_t *next_fence;
	uint64_t *move_seq; /* first view that announces the move */
	uint8_t *freed;	    /* the owner has released it in this term */
	double *load;	    /* slots busy with the shard, smoothed */
	uint64_t version;
	uint64_t top_fence;
	int known;
	int claimed;
	int get_pending;
	usec next_try;
	struct cell_write write;
	usec budget_at; /* last refill of budget */
	double budget;	/* moves for balance that may start now */
	uint64_t moved;
};

struct cell_times {
	usec host_lease;
	usec renew; /* between two renewals by a host */
};

/* Functions that a cell calls; put takes ownership of json. */
struct cell_callbacks {
	void (*get)(void *, const char *service);
	void (*put)(void *, const char *service, uint64_t base, char *json);
	void (*changed)(void *);
	void (*event)(void *, const char *);
};

struct cell {
	char name[CELL_NAME_MAX];
	struct cell_times times;
	const struct cell_callbacks *cb;
	void *arg;
	int active;
	int settled; /* leases of earlier controllers have lapsed */
	usec placement_wait_until; /* first placement waits for all targets */
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

void cell_init(struct cell *, const char *name, const struct cell_times *,
    const struct cell_callbacks *, void *, uint64_t seed);
void cell_free(struct cell *);
int cell_configure(struct cell *, const struct entry *);
int cell_add_target(struct cell *, int service, const char *name);
void cell_begin(struct cell *, uint64_t term, usec now);
void cell_end(struct cell *);
void cell_get_done(struct cell *, usec now, const char *service, int found,
    uint64_t version, const char *json, size_t n);
void cell_get_failed(struct cell *, const char *service);
void cell_put_done(struct cell *, usec now, const char *service,
    enum put_result, uint64_t version);
void cell_lease_request(
    struct cell *, usec now, const char *host, const Gspar__LeaseAsk *);
int cell_lease_reply(struct cell *, usec now, const char *host,
    const Gspar__LeaseAsk *, Gspar__LeaseGive *, Gspar__Duty *, int max);
void cell_tick(struct cell *, usec now, int settled, int may_dispatch);
int cell_ready(const struct cell *);
int cell_handover_done(const struct cell *);
int cell_available_hosts(const struct cell *, usec now, struct member *,
    int max, const char *except);
int cell_choose_standbys(const struct cell *, usec now, const char *host,
    const char *dc, const struct control_record *,
    struct member out[STANDBYS_MAX]);
int lease_ask_has_target(const Gspar__LeaseAsk *, const char *target);
struct cell_service *cell_service(struct cell *, const char *);
int cell_shard_target(const struct cell_service *, uint32_t n, uint64_t *fence);

#endif
