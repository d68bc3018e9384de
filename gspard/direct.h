/*
 * The router that sends requests to targets itself: the types and functions
 * that its files share.
 */
#ifndef DIRECT_H
#define DIRECT_H

#include <apr_hash.h>

#include "admission.h"
#include "budget.h"
#include "call.h"
#include "dest.h"
#include "fleet.h"
#include "hash_index.h"
#include "heat.h"
#include "host_count.h"
#include "stop_plan.h"
#include "owners.h"
#include "permit_frame.h"
#include "quarantine.h"
#include "reach.h"
#include "recent.h"
#include "rendezvous.h"
#include "target_ops.h"
#include "transfer.h"

#define RULE_STATS_SIZE 256
#define IDLE_EASY_MAX 32
/* Number of unknown headers of targets that are logged by name. */
#define UNKNOWN_HEADERS_MAX 16
/* Interval at which callers are checked for being connected: targets must not
 * work for more than half a second after a caller has disconnected. */
#define CALLER_CHECK_INTERVAL MS(100)
/* Admission hosts of one pool. */
#define POOL_HOSTS_MAX 64
/* Admission hosts that are asked for one attempt of a request. */
#define PERMIT_ASKS_MAX 3

/* Requests that wait for the same target or service, and how fast they start.
 */
struct wait_queue {
	int waiting;
	usec last_start;
	double start_interval; /* mean while some wait, in microseconds; 0 is
				  unknown */
};

/* The state of a target, kept while the target is listed or a request refers
 * to it. */
struct target_state {
	struct target_state *next;
	char id[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	const char *service; /* of intern() */
	const char *dc;	     /* of intern() */
	struct dest dest;
	struct wait_queue queue;
	usec keep_alive;  /* it keeps idle connections so long; 0 if unknown */
	usec answered_at; /* when its last answer came */
	int pool;	  /* index of the pool that it belongs to, or -1 */
	int mine;	  /* this host is its admission host */
	int admitted;	  /* in the table of targets that this host admits to */
	int listed;	  /* in the current list of targets */
	int answers;	  /* since the last report */
	int users;	  /* pending requests last sent to it */
	int replaced;	  /* another target answers at its address */
	int is_noted;	  /* something may be due at it, see target_note() */
	struct target_state *next_noted;
	uint64_t digest;
	int ended; /* its end was reported; cleared by an answer */
};

/* The state of a service, kept across versions of the configuration. */
struct service_state {
	char name[NAME_MAX_GS];
	int keyed;
	struct budget retry_budget;
	double avg_time; /* moving average of its requests, in microseconds */
	struct wait_queue queue;
	struct heat heat;
	struct admission *admission; /* to its targets by this host, or NULL */
};

/* An admission host of a pool, and the wait that it told last. */
struct pool_host {
	int host;  /* index into the hosts */
	int order; /* in which this host prefers them, from 0 */
	usec wait;
	usec told;
};

/* The targets of a service in a data centre: each is admitted to by one of
 * these hosts. */
struct admission_pool {
	const char *service; /* of intern() */
	const char *dc;	     /* of intern() */
	int ntargets;
	int is_member; /* this host is one of its admission hosts */
	struct pool_host hosts[POOL_HOSTS_MAX];
	int nhosts;
};

enum permit_state {
	PERMIT_NONE,
	PERMIT_ASKED,
	PERMIT_WAITING, /* the admission host has said to wait */
	PERMIT_GIVEN,
	PERMIT_DENIED
};

/* The permit of a request's next or present attempt. */
struct permit {
	enum permit_state state;
	uint64_t id;
	int pool; /* asked, and its admission host by digest of the name */
	uint64_t host;
	usec sent;  /* when the ask was sent last */
	usec heard; /* when the last reply came */
	usec wait;  /* that it told */
	int asks;   /* admission hosts asked for this attempt */
	uint64_t asked[PERMIT_ASKS_MAX];
	int without;		  /* this attempt does without a permit */
	char target[NAME_MAX_GS]; /* asked for, or permitted */
	char avoid[NAME_MAX_GS];
};

/* Statistics of the requests of one rule. */
struct rule_stats {
	uint64_t hash;
	uint64_t count;	 /* of requests, to spread them over its backends */
	double avg_time; /* moving average at targets, in microseconds */
};

struct pending;

/* One attempt of a request: a send to one target. */
struct attempt {
	struct transfer t;
	struct target_state *target;
	int on_probation;   /* its content was on probation when it was sent */
	int via;	    /* sent through another host */
	long tunnel_status; /* that host's answer to the request for a tunnel;
			       0 if none */
	uint64_t path_number; /* of the way by which it was sent */
	usec sent;
};

/* A request that has not been answered. */
struct pending {
	struct pending *next;
	struct pending *prev;
	struct call *call;
	const struct rule *rule;
	struct rule_stats *stats;
	struct service_state *svc;
	uint64_t digest; /* of the content */
	usec arrived;
	usec deadline;
	usec not_before; /* earliest time of the next attempt */
	usec next_caller_check;
	usec parked_since; /* since when it waits for its key to have an owner,
			      or 0 */
	uint64_t not_owner_number; /* number of the owners by which it was sent
				      to a target that does not own the key,
				      and how often */
	int not_owner_count;
	int awaits_path; /* waits until the way to the targets is known */
	int waiting;	 /* in its queue */
	int ran;	 /* attempts that may have run */
	int tries;
	struct sends sends;		  /* of its attempts */
	struct target_state *last_target; /* that it was sent to */
	struct wait_queue *queue; /* that it waits in, or waited in last */
	struct attempt *attempt;  /* in flight; else NULL */
	struct permit permit;
};

/* The router service. */
struct direct {
	struct service *s;
	const struct target_ops *ops;
	CURLM *multi;
	apr_pool_t *pool;
	apr_hash_t *by_id;
	struct target_state *targets;
	struct target_state *noted;
	struct shared *fleet;	     /* that the targets were updated from */
	struct shared *targets_site; /* the same */
	struct shared *site;
	struct shared *owners;
	struct shared *quarantine;
	struct recent recent_answers;	    /* contents that got an answer */
	struct crash_report crashes;	    /* since the last report */
	struct recent probation_unanswered; /* contents sent on probation
					       without an answer */
	struct stop_plan *stop_plan; /* NULL unless this host is stopping */
	struct dest_conf conf;
	struct service_state svcs[SITE_SERVICES_MAX];
	int nsvcs;
	struct rule_stats rule_stats[RULE_STATS_SIZE];
	struct pending *first;
	struct pending *last;
	size_t answer_bytes; /* of all bodies that are being received */
	CURL *idle_easy[IDLE_EASY_MAX];
	int nidle_easy;
	uint64_t unknown_headers[UNKNOWN_HEADERS_MAX]; /* hashes of names */
	int nunknown_headers;
	struct reach_path path; /* the way to the targets */
	uint64_t path_number;	/* rises with each change of it */
	usec doubted_at;	/* since when it is doubted; 0 if it is not */
	usec next_doubt;	/* when that may be told again */
	usec next_cut_off_send; /* when a request may be sent though no target
				   can be reached */
	usec path_lost_at; /* when the relaying host failed; 0 if it works */
	usec last_answer;  /* of any target by this way; 0 if none yet */
	usec last_answer_before; /* the same by an earlier way */
	int have_fleet;
	int hosts_known; /* the number of hosts is known */
	int rank;	 /* of this host among all hosts, from 0 */
	struct host_count host_count;
	int ready;
	usec last_report;
	usec next_retry_use;
	usec next_limits;
	/* Admission to targets; see direct_pool.c. */
	int permit_fd; /* datagrams between hosts; -1 if not open */
	struct rendezvous_host *hosts;
	int nhosts;
	int self;		      /* this host among them, or -1 */
	struct hash_index host_index; /* of hosts, by digest */
	struct admission_pool *pools;
	int npools;
	int pools_changed;
	usec next_pools;
	uint64_t permit_id; /* of the last ask */
	usec keep_alive;    /* the longest that a target has stated */
	usec next_admission_update;
	uint64_t seed;
	int stop;
};

/* direct_flow.c */
void flow_send(struct direct *, struct pending *, struct target_state *,
    struct wait_queue *, usec now);
void flow_wait(struct pending *, struct wait_queue *);
void flow_route(struct direct *, struct pending *, usec now);
void flow_pump(struct direct *, usec now);
enum log_limit log_limit_of(const struct pending *);
void flow_fail(
    struct direct *, struct pending *, int code, usec wait, usec now);
void flow_finish(struct direct *, struct pending *, usec now);

/* direct_outcome.c */
void flow_attempt_done(struct direct *, struct pending *, CURLcode, usec now);
void flow_attempt_ended(
    struct direct *, struct pending *, const struct dest_answer *, usec now);
void flow_expire(struct direct *, struct pending *, usec now);
void flow_caller_gone(struct direct *, struct pending *, usec now);

/* direct_crash.c */
void crash_add_break(struct direct *, const struct pending *,
    const struct target_state *, usec now);
void crash_add_end(struct direct *, struct target_state *);
void crash_mark_sent(struct direct *, struct pending *, usec now);
void crash_add_unanswered(struct direct *, const struct pending *, usec now);
void crash_add_answer(struct direct *, uint64_t digest, usec now);
void crash_list_changed(struct direct *, usec now);
int crash_may_run(
    struct direct *, const struct pending *, usec *wait, usec now);

/* Retries of an attempt; direct_outcome.c */
int may_retry(const struct pending *, usec now);
void retry(struct direct *, struct pending *, usec now);

/* direct_retry.c */
void retry_budgets_update(struct direct *, usec now);

/* direct_path.c */
int path_is_doubted(const struct direct *, usec now);
int path_is_cut_off(struct direct *, usec now);
int path_must_wait(const struct direct *, const struct pending *, usec now);
void path_attempt_failed(
    struct direct *, const struct attempt *, int host_relays, usec now);
void path_received(struct direct *, const struct reach_path *, usec now);
void path_answered(struct direct *, const struct attempt *, usec now);
void path_check_attempt(struct direct *, struct pending *, usec now);

/* direct_pool.c */
int pools_open(struct direct *);
void pools_close(struct direct *);
void pools_set_hosts(struct direct *, const struct peers *);
void pools_update(struct direct *, usec now);
int pool_service_known(const struct direct *, const char *service);
int pool_host_index(const struct direct *, uint64_t digest);
int pool_host_of_target(
    const struct direct *, const struct target_state *, usec now);
int pool_is_open(const struct direct *, const struct pending *,
    const struct target_state *owner, usec now);
int pool_pick(
    struct direct *, const struct pending *, usec now, int *pool, int *others);
void pool_told(struct direct *, const struct permit *, usec wait, usec now);

/* direct_permit.c */
int permit_route(
    struct direct *, struct pending *, struct target_state *owner, usec now);
void permit_reply(struct direct *, const struct permit_msg *, usec now);
void permit_drop(struct direct *, struct pending *, usec now);
void permit_attempt_ended(
    struct direct *, struct pending *, const struct dest_answer *, usec now);

/* direct_admit.c */
void admit_receive(struct direct *, usec now);
void admit_post(struct direct *, int host, struct permit_msg *, usec now);
void admit_tick(struct direct *, usec now);
void admit_update(struct direct *, usec now);

/* direct_send.c */
int attempt_start(
    struct direct *, struct pending *, struct target_state *, usec now);
void attempt_drop(struct direct *, struct pending *);
void attempts_reap(struct direct *, usec now);
void attempts_limit(struct direct *, usec now);

/* direct_targets.c */
void targets_update(
    struct direct *, const struct fleet *was, const struct fleet *, usec now);
void targets_sweep(struct direct *);
void targets_update_limits(struct direct *, usec now);
void target_note(struct direct *, struct target_state *);
void targets_drop_notes(struct direct *, usec now);
usec target_grace(const struct direct *, const char *service, usec bound);
struct target_state *target_state_find(struct direct *, const char *id);

/* direct_pick.c */
struct service_state *service_state_get(struct direct *, const char *name);
struct rule_stats *rule_stats_get(struct direct *, const struct rule *);
struct target_state *pick_target(
    struct direct *, const struct pending *, usec now);

#endif
