/*
 * Sole ownership of the keys of one service, as its controller decides it.
 * Targets know nothing but grants: a range of keys, a fence, and for how long
 * from the arrival of the call.  docs/FLEET.md, "Keys", tells why.
 */
#ifndef KEYS_H
#define KEYS_H

#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "owners.h"
#include "term.h"

/* A target's clock may be slow by one part in fifty: it holds longer. */
#define KEYS_CLOCK_SLOW 1.02
/* What the network, and a sender's own pause, may add to an order's way. */
#define KEYS_WAY MS(150)
/*
 * A connection that was just opened may wait for a slot of a busy target before
 * what was sent on it is read, and the time of a grant counts from then, also
 * where the sender has reset it meanwhile.  Grants given up 0.5 s after they
 * were sent were read 0.3 and 1.4 s later; they are waited for 1.5 s now, and
 * this much more is reckoned with.
 */
#define KEYS_UNREAD MS(500)

#define KEYS_TARGETS 1024
#define KEYS_RANGES 4096
#define KEYS_ORDERS 2048
#define NO_TARGET (-1)

struct keys_conf {
	usec hold;	 /* for which keys are granted */
	usec renew;	 /* between grants of the same keys */
	usec order_wait; /* a grant without an answer is given up by then */
	usec settle;	 /* targets stand still so long before the first plan */
	usec cold_start; /* targets are cold for so long after a start */
	int cold_limited; /* cold ones take few requests */
};

/* How an order ended, where it was not answered with a status. */
#define ORDER_SILENT 0	  /* it may be carried out, at once or later */
#define ORDER_NOT_SENT -1 /* no byte of it left this host */
#define ORDER_UNREAD -2	  /* silent, on a connection opened for it */

/* An order to a target. */
struct key_order {
	uint64_t id;
	int release; /* else a grant */
	uint32_t from;
	uint32_t to; /* inclusive */
	uint64_t fence;
	int hold_ms;
	char handover[NAME_MAX_GS];
	char target[NAME_MAX_GS];
	char addr[FLEET_ADDR];
};

struct key_target {
	char id[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	int used;
	int listed;
	int leaving;
	int evacuated; /* its data centre is */
	int slots;
	usec cold_until;
	int cold_limited; /* takes few requests until then */
	double speed;	  /* time it takes, over what others take */
	usec alive_at;	  /* it answered anybody */
	int unanswered;	  /* orders in a row */
	double limit;	  /* requests a second that it takes ... */
	usec limited;	  /* ... as of this moment; 0 is none */
	/* Of the plan. */
	double heat;
	double cap; /* of its weight, by its limit; 0 is none */
	int lost;
};

enum range_step {
	RANGE_OWNED,   /* or without owner, where owner is NO_TARGET */
	RANGE_PLANNED, /* next is to be in the store first */
	RANGE_GIVING   /* the owner is to let go */
};

/*
 * Keys in a row.  owner, fence, next and next_fence are kept in the store:
 * whoever takes control over reads from them who may hold the keys.
 */
struct key_range {
	uint32_t from;
	uint32_t to; /* inclusive */
	int owner;
	uint64_t fence;
	int next;
	uint64_t next_fence;
	enum range_step step;
	uint64_t fence_by; /* the write that makes the fence known */
	uint64_t plan_by;  /* the write that makes next known */
	int open;	   /* an order is under way */
	int confirmed;	   /* the owner has answered a grant */
	int released;	   /* the owner has answered a release */
	int letting_go;	   /* the owner is granted no more */
	int fresh;	   /* its new owner has not had a grant yet */
	int inherits;	   /* next is a later life of the owner */
	usec renew_at;
	usec granted_until;    /* the owner may hold the keys until then */
	usec granted_before;   /* the same, but for the order under way */
	usec unanswered_until; /* the same by grants without an answer */
	usec moved_at;
	char handover[NAME_MAX_GS];
};

struct keys_out {
	void (*get)(void *, const char *service);
	void (*put)(
	    void *, const char *service, uint64_t base, const char *json);
	void (*order)(void *, const char *service, const struct key_order *);
	void (*event)(void *, const char *service, const char *);
};

/* One order under way. */
struct open_order {
	uint64_t id;
	int target;
	int release;
	uint32_t from;
	uint32_t to;
};

struct keys {
	char service[NAME_MAX_GS];
	struct keys_conf conf;
	const struct keys_out *out;
	void *arg;
	int active;
	int closing; /* control is about to be handed over */
	uint64_t term;

	struct key_target targets[KEYS_TARGETS];
	int ntargets;
	int have_fleet;
	usec fleet_changed;
	int fleet_size;
	struct key_range ranges[KEYS_RANGES];
	int nranges;
	struct open_order orders[KEYS_ORDERS];
	int norders;
	uint64_t order_id;
	uint64_t top_fence;
	uint64_t number; /* rises with each change of who owns what */

	/* The object in the store, and the one write that may be open. */
	int loaded;
	int claimed;
	int get_open;
	usec next_try;
	uint64_t version;
	uint64_t write_seq;  /* of the last write sent */
	uint64_t stored_seq; /* of the last write known to be done */
	int put_open;
	int put_lost;
	char *put_text;
	uint64_t put_base;
	int dirty; /* something waits for a write */
	usec dirty_since;
	int urgent;

	/* What is asked for, by key; decays. */
	float heat[KEYS];
	float estimate[KEYS];
	double gain;
	usec heat_at;
	usec next_plan;
};

void keys_init(struct keys *, const char *service, const struct keys_conf *,
    const struct keys_out *, void *arg);
void keys_free(struct keys *);
void keys_begin(struct keys *, uint64_t term, usec now);
void keys_end(struct keys *);
void keys_fleet(struct keys *, const struct fleet *, usec now);
void keys_cold(struct keys *, usec cold_start, int limited);
void keys_heat(
    struct keys *, const uint16_t *key, int n, double each, usec now);
void keys_limited(struct keys *, const char *target, double limit, usec now);
void keys_learnt(
    struct keys *, const char *target, double speed, int answers, usec now);
void keys_got(struct keys *, usec now, int found, uint64_t version,
    const char *json, size_t n);
void keys_get_failed(struct keys *, usec now);
uint64_t keys_write(const struct keys *);
void keys_put_ended(
    struct keys *, usec now, uint64_t write, enum put_result, uint64_t version);
void keys_ordered(
    struct keys *, usec now, uint64_t id, int status, const char *handover);
void keys_tick(struct keys *, usec now);
int keys_settled(const struct keys *);
void keys_close(struct keys *);
int keys_quiet(const struct keys *);
void keys_view(const struct keys *, struct owner_service *);

/* keys_grant.c */
void keys_range_tick(struct keys *, struct key_range *, usec now);
void keys_grants_tick(struct keys *, usec now);
usec keys_clear_at(const struct key_range *);

/* keys_store.c */
void keys_store_tick(struct keys *, usec now);

/* For keys_store.c and keys_plan.c. */
void keys_dirty(struct keys *, usec now, int urgent);
int keys_target_add(struct keys *, const char *id);

/* keys_plan.c */
void keys_plan(struct keys *, usec now);
int keys_split(struct keys *, int range, uint32_t at);
void keys_give(struct keys *, int range, int target, usec now);
double key_target_weight(const struct key_target *, usec now);

#endif
