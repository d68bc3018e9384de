/* The router that sends to targets itself: its parts and what they share. */
#ifndef DIRECT_H
#define DIRECT_H

#include <apr_hash.h>

#include "budget.h"
#include "call.h"
#include "dest.h"
#include "fleet.h"
#include "heat.h"
#include "stop_plan.h"
#include "owners.h"
#include "quarantine.h"
#include "recent.h"
#include "target_ops.h"
#include "transfer.h"

#define LEARNT_SIZE 256
#define EASY_KEPT 32
/* Between looks whether a caller is still there: targets must not go on for
 * more than half a second after a caller left. */
#define FLOW_LOOK_EVERY MS(100)

/* Requests that wait for the same thing: how fast they get on. */
struct line {
	int waiting;
	usec last_start;
	double gap; /* between starts while some waited; 0 is not known */
};

/* A target, as long as its entry or a request is there. */
struct target_state {
	struct target_state *next;
	char id[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	char service[NAME_MAX_GS];
	struct dest dest;
	struct line line;
	int listed;
	int answers;  /* since the last report */
	int users;    /* requests that name it */
	int replaced; /* another target answers at its address */
	uint64_t digest;
	int ended; /* found so, and told; an answer says otherwise */
};

/* What is kept of a service across versions of the configuration. */
struct svc {
	char name[NAME_MAX_GS];
	int keyed;
	struct budget again;
	double work; /* usual time of all its requests, microseconds */
	struct line line;
	struct heat heat;
};

/* What was learnt of the requests of one rule. */
struct learnt {
	uint64_t hash;
	uint64_t count;
	double work; /* usual time at a target, microseconds */
};

struct pending;

/* One send to a target. */
struct attempt {
	struct transfer t;
	struct target_state *target;
	int on_probation; /* the content was, when it was sent */
	usec sent;
};

struct pending {
	struct pending *next;
	struct pending *prev;
	struct call *call;
	const struct rule *rule;
	struct learnt *learnt;
	struct svc *svc;
	uint64_t digest; /* of its content */
	usec arrived;
	usec deadline;
	usec not_before; /* of the next try */
	usec next_look;
	usec parked; /* since when its key has had no owner; 0 is not */
	uint64_t
	    missent;  /* owners' number under which it was sent wrongly ... */
	int missents; /* ... and how often */
	int waiting;
	int ran; /* targets that may have run it */
	int tries;
	struct target_state *last;
	struct line *line; /* where it waits */
	struct attempt *at;
};

struct direct {
	struct service *s;
	const struct target_ops *ops;
	CURLM *multi;
	apr_pool_t *pool;
	apr_hash_t *by_id;
	struct target_state *targets;
	struct shared *site;
	struct shared *owners;
	struct shared *quarantine;
	struct recent recent;	     /* contents that were answered */
	struct crash_report crashes; /* since the last report */
	struct recent tried; /* contents that ran on probation, unanswered */
	struct stop_plan
	    *stop_plan; /* this host stops; NULL where it does not */
	struct dest_conf conf;
	struct svc svcs[SITE_SERVICES_MAX];
	int nsvcs;
	struct learnt learnt[LEARNT_SIZE];
	struct pending *first;
	struct pending *last;
	CURL *kept[EASY_KEPT];
	int nkept;
	int have_fleet;
	int counted; /* it is known how many hosts there are */
	int rank;    /* of this host among all */
	int ready;
	usec next_heat;
	usec next_limits;
	uint64_t seed;
	int stop;
};

/* direct_flow.c */
void flow_send(struct direct *, struct pending *, usec now);
void flow_pump(struct direct *, usec now);
void flow_end(struct direct *, struct pending *, int code, usec wait, usec now);
void flow_finish(struct direct *, struct pending *, usec now);

/* direct_outcome.c */
void flow_ended(struct direct *, struct pending *, CURLcode, usec now);
void flow_expire(struct direct *, struct pending *, usec now);
void flow_left(struct direct *, struct pending *, usec now);

/* direct_crash.c */
void crash_broke(struct direct *, const struct pending *,
    const struct target_state *, usec now);
void crash_ended(struct direct *, struct target_state *);
void crash_sent(struct direct *, struct pending *, usec now);
void crash_unanswered(struct direct *, const struct pending *, usec now);
void crash_answered(struct direct *, uint64_t digest, usec now);
void crash_listed(struct direct *, usec now);
int crash_may_run(
    struct direct *, const struct pending *, usec *wait, usec now);

/* direct_send.c */
int attempt_start(
    struct direct *, struct pending *, struct target_state *, usec now);
void attempt_drop(struct direct *, struct pending *);
void attempts_reap(struct direct *, usec now);

/* direct_pick.c */
void targets_take(struct direct *, const struct fleet *, usec now);
void targets_sweep(struct direct *);
void targets_limits(struct direct *, usec now);
struct target_state *target_state_find(struct direct *, const char *id);
struct svc *svc_of(struct direct *, const char *name);
struct learnt *learnt_of(struct direct *, const struct rule *);
struct target_state *pick_any(
    struct direct *, const struct pending *, usec now);

#endif
