/*
 * Assigns the keys of one service to targets, so that no two targets hold a key
 * at once.  Runs at the controller.  A target only knows its grants: a range of
 * keys, a fence, and a hold time that counts from the arrival of the call.  See
 * docs/FLEET.md, "Keys".
 */
#ifndef KEYS_H
#define KEYS_H

#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "hash_index.h"
#include "owners.h"
#include "term.h"
#include "version.h"

/* A target's clock may run up to 2% slow, and the target hold keys longer. */
#define KEYS_CLOCK_DRIFT 1.02
/* Longest delay of an order by the network or by a pause of its sender. */
#define KEYS_NETWORK_DELAY MS(150)
/*
 * A grant that is sent on a new connection may wait for a slot of a busy target
 * before it is read, and its hold time counts from then, even if the sender has
 * reset the connection meanwhile.  Grants that were given up after 0.5 s were
 * read 0.3 and 1.4 s after that, so they are waited for 1.5 s, and their hold
 * time is assumed to begin up to this much later.
 */
#define KEYS_READ_DELAY MS(500)

/*
 * Targets that own keys of a service at most.  Each costs its controller a
 * grant a second, and those beyond are spare: they get keys when an owner is
 * lost or leaves.
 */
#define KEYS_OWNERS_MAX 1024
/* A list of more ranges may not fit into an object of the store, of 1 MB. */
#define KEYS_RANGES_MAX 11000
#define NO_TARGET (-1)

struct keys_conf {
	usec hold;	    /* hold time of a grant */
	usec renew;	    /* interval between grants of the same keys */
	usec order_timeout; /* a grant without a reply is given up by then */
	usec settle_time;   /* fleet unchanged before the first plan */
	usec cold_start;    /* targets are cold for this long after a start */
	int cold_limited;   /* cold targets have a rate limit */
};

/* Outcome of an order that got no HTTP status. */
#define ORDER_NO_REPLY 0  /* may be carried out, now or later */
#define ORDER_NOT_SENT -1 /* no byte of it left this host */
/* No reply on a connection opened for it. */
#define ORDER_NO_REPLY_NEW_CONN -2

/* A grant or a release of keys, sent to a target. */
struct key_order {
	uint64_t id;
	int release; /* not a grant */
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
	int hold_ms;
	char handover[NAME_MAX_GS];
	char target[NAME_MAX_GS];
	char addr[FLEET_ADDR];
};

/* What is looked at for each target of a list comes first. */
struct key_target {
	int used;
	int listed;
	int leaving;
	int evacuated; /* its data centre is evacuated */
	int slots;
	int cold_limited; /* has a rate limit while it is cold */
	usec cold_until;
	usec last_reply; /* last reply to any host */
	char id[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	double latency_ratio;	/* response time relative to other targets */
	int unanswered_streak;	/* consecutive orders without a reply */
	double rate_limit;	/* requests per second that it accepts ... */
	usec limit_reported_at; /* ... as of this time; 0 if never reported */
	/* Set by each planning round. */
	double load;
	double weight_cap; /* of its weight, from its limit; 0 if none */
	int owns;	   /* ranges that it owns or is to own */
	int chosen;	   /* to own keys at first */
	int unavailable;
};

enum range_phase {
	RANGE_OWNED,	/* no move; no owner if owner is NO_TARGET */
	RANGE_PLANNED,	/* a move waits until the store has next */
	RANGE_RELEASING /* the owner is to release the keys */
};

/*
 * A range of keys.  owner, fence, next and next_fence are kept in the store,
 * from which the next controller reads who may hold the keys.
 */
struct key_range {
	uint32_t from;
	uint32_t to; /* inclusive */
	int owner;
	uint64_t fence;
	int next;
	uint64_t next_fence;
	enum range_phase phase;
	uint64_t fence_write; /* the write that stores the fence */
	uint64_t plan_write;  /* the write that stores next */
	int order_pending;    /* an order is pending */
	int confirmed;	      /* the owner has accepted a grant */
	int released;	      /* the owner has accepted a release */
	int releasing;	      /* the owner gets no further grants */
	int awaiting_grant;   /* no grant to the new owner has ended yet */
	int owner_restarted;  /* next is a later incarnation of the owner */
	usec next_order_at;
	usec granted_until;	  /* the owner may hold the keys until then */
	usec prior_granted_until; /* the same without the pending order */
	usec unanswered_until;	  /* the same by grants without a reply */
	usec moved_at;
	char handover[NAME_MAX_GS];
};

struct keys_callbacks {
	void (*get)(void *, const char *service);
	void (*put)(
	    void *, const char *service, uint64_t base, const char *json);
	void (*order)(void *, const char *service, const struct key_order *);
	void (*event)(void *, const char *service, const char *);
};

/* A pending order. */
struct pending_order {
	uint64_t id; /* 0 if the entry is unused */
	int target;
	int release;
	uint32_t from;
	uint32_t to;
};

struct keys {
	char service[NAME_MAX_GS];
	struct keys_conf conf;
	const struct keys_callbacks *cb;
	void *arg;
	int active;
	int handing_over; /* control is being handed over */
	uint64_t term;

	struct key_target *targets;
	int ntargets;
	int targets_size;
	int unused_from;	 /* entries before this one are used */
	struct hash_index by_id; /* of targets that are used */
	int owners;		 /* targets that own keys or are to */
	int spare;		 /* targets that may not, as last known */
	int have_fleet;
	usec fleet_changed;
	usec doubted_until; /* whether orders reach any target is not known */
	int fleet_size;
	struct key_range *ranges;
	int nranges;
	int ranges_size;
	struct pending_order *orders; /* by id modulo orders_size */
	int norders;
	int orders_size; /* a power of two, or 0 */
	uint64_t order_id;
	uint64_t top_fence;
	uint64_t number; /* rises with each change of the owners */

	struct store_era era;
	int restored; /* the era has risen since this controller began */

	/* The object in the store, and the one write that may be pending. */
	int stale;   /* as last read: the store may have lost later owners */
	int rewrite; /* the store has lost the owners: write them again */
	int loaded;
	int claimed;
	int get_pending;
	usec next_try;
	uint64_t version;
	uint64_t write_seq;  /* of the last write sent */
	uint64_t stored_seq; /* of the last write known to be stored */
	int put_pending;
	int put_unknown; /* whether the write took effect is unknown */
	char *put_text;
	uint64_t base_version;
	int dirty; /* a change is not written yet */
	usec dirty_since;
	int urgent;

	/* Requests for each key, decaying; all are scaled by gain. */
	float load[KEYS];
	float estimate[KEYS];
	double gain;
	usec gain_updated_at;
	usec next_plan;
};

int keys_init(struct keys *, const char *service, const struct keys_conf *,
    const struct keys_callbacks *, void *arg);
void keys_free(struct keys *);
void keys_begin(struct keys *, uint64_t term, usec now);
void keys_end(struct keys *);
void keys_set_fleet(struct keys *, const struct fleet *, usec now);
void keys_set_cold_start(struct keys *, usec cold_start, int limited);
void keys_add_load(
    struct keys *, const uint16_t *key, int n, double each, usec now);
void keys_set_rate_limit(
    struct keys *, const char *target, double rate_limit, usec now);
void keys_add_latency(struct keys *, const char *target, double latency_ratio,
    int replies, usec now);
void keys_store_era(struct keys *, usec now, uint64_t era);
void keys_get_done(struct keys *, usec now, int found, uint64_t version,
    const char *json, size_t n);
void keys_get_failed(struct keys *, usec now);
uint64_t keys_write_id(const struct keys *);
void keys_put_done(
    struct keys *, usec now, uint64_t write, enum put_result, uint64_t version);
void keys_order_done(
    struct keys *, usec now, uint64_t id, int status, const char *handover);
void keys_doubt_orders(struct keys *, usec now);
void keys_settle_orders(struct keys *, int forget);
void keys_tick(struct keys *, usec now);
int keys_ready(const struct keys *);
void keys_begin_handover(struct keys *);
int keys_handover_ready(const struct keys *);
void keys_fill_owners(const struct keys *, struct owner_service *);

/* keys_grant.c */
void keys_orders_drop(struct keys *);
int keys_orders_refer(const struct keys *, int target);
void keys_range_tick(struct keys *, struct key_range *, usec now);
void keys_grants_tick(struct keys *, usec now);
usec keys_grants_lapse_at(const struct key_range *);

/* keys_store.c */
void keys_store_tick(struct keys *, usec now);

/* For keys_store.c and keys_plan.c. */
void keys_mark_dirty(struct keys *, usec now, int urgent);
int keys_target_add(struct keys *, const char *id);
int keys_ranges_reserve(struct keys *, int n);

/* keys_plan.c */
void keys_plan(struct keys *, usec now);
int keys_split_range(struct keys *, int range, uint32_t at);
void keys_plan_move(struct keys *, int range, int target, usec now);
double keys_target_weight(const struct key_target *, usec now);

#endif
