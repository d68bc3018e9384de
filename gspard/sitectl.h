/*
 * The control service of hosts that send to targets directly: the election of
 * the controller, the list of hosts and the ownership of keys.
 */
#ifndef SITECTL_H
#define SITECTL_H

#include <curl/curl.h>

#include "behind.h"
#include "copies.h"
#include "dest.h"
#include "gspard.h"
#include "hearing.h"
#include "heat.h"
#include "hosts.h"
#include "join.h"
#include "keys.h"
#include "order_conns.h"
#include "superseded.h"
#include "stop_plan.h"
#include "owners.h"
#include "pace.h"
#include "quarantine.h"
#include "reach.h"
#include "target_ops.h"
#include "term.h"

#define SITECTL_SERVICES_MAX 16
#define SITECTL_PROMISES_MAX 64
#define SITECTL_REFUSED_MAX 32
/*
 * State of a range on the wire: 0 is served, RANGE_MOVING is moving, and
 * RANGE_MOVING_UNTIL + n is moving and served again in n ms.
 */
#define RANGE_MOVING 1u
#define RANGE_MOVING_UNTIL 2u

/*
 * The router's report: requested keys and target latencies since the last one.
 * Here: the requested keys of one service.
 */
struct reported_keys {
	char service[NAME_MAX_GS];
	struct heat heat;
};

struct reported_target {
	char id[NAME_MAX_GS];
	double latency_ratio;
	double limit; /* requests per second that it allows; negative if none */
	int leaving;  /* announced in an answer */
	int answers;
};

/* Buffers for the crash data of one report. */
#define QUARANTINE_REPORT_MAX 256

struct quarantine_report_buf {
	Gspar__BrokenSend broken[QUARANTINE_REPORT_MAX];
	Gspar__BrokenSend *broken_list[QUARANTINE_REPORT_MAX];
	uint64_t ended[QUARANTINE_REPORT_MAX];
	uint64_t answered[CRASH_REPORT_MAX];
	Gspar__Quarantined items[QUARANTINE_ENTRIES_MAX];
	Gspar__Quarantined *list[QUARANTINE_ENTRIES_MAX];
};

struct router_report {
	struct reported_keys *keys;
	int nkeys;
	struct reported_target *targets;
	int ntargets;
	struct crash_report crashes;
};

struct router_report *router_report_new(int services);
void router_report_keys(
    struct router_report *, const char *service, const struct heat *);
void router_report_target(
    struct router_report *, const char *id, const struct dest *, int answers);
void router_report_free(void *);

struct sitectl {
	struct service *s;
	const struct target_ops *ops;
	struct term term;
	uint64_t promise_seq;
	/* When promise requests were sent, by sequence number. */
	usec promise_requested_at[SITECTL_PROMISES_MAX];
	char controller[NAME_MAX_GS];
	uint64_t controller_term;
	usec controller_heard;	   /* its last heartbeat */
	int controller_overloaded; /* it reports more hosts than it can serve */
	usec next_store_probe;
	usec next_standbys;
	usec store_answered_at; /* last successful call for the record */

	struct hosts hosts;
	uint64_t hosts_digest; /* of the list that the controller sent */
	int peers_changed;     /* since they were published */
	usec next_peers;       /* when they may be published again */
	struct keys *keys[SITECTL_SERVICES_MAX];
	int nkeys;
	int acting; /* this host is the controller */
	struct shared *site;
	struct shared *fleet;
	struct superseded fleet_superseded; /* digests of earlier lists */
	uint64_t controller_fleet; /* the controller's digest; 0 if unknown */
	usec fleet_differs_since;
	usec next_relist;
	struct join join;
	int following;		/* the watch service follows the store */
	int fresh;		/* the store answers this host for targets */
	uint64_t store_as_of;	/* version up to which this host has followed it
				   itself, or ... */
	uint64_t told_as_of;	/* ... has what a controller had that did */
	int controller_follows; /* the controller follows the store */
	usec follower_heard;	/* last heartbeat or relay of a follower */
	usec next_relay;
	struct shared *fleet_sent; /* the targets last broadcast */
	struct copies copies;	   /* of all targets, to hosts without them */
	uint32_t fleet_changes;	   /* broadcast under this term */
	uint64_t fleet_number;	   /* of the last list or change received */
	struct behind behind;	   /* whether a newer configuration exists */
	struct pace site_pace;	   /* of copies that hosts requested */
	int site_pushed;	   /* was small enough to be pushed */
	int site_request; /* request it with the next report or heartbeat */
	/* A host that has a newer configuration. */
	char site_source[NAME_MAX_GS];
	struct router_report *pending_report; /* from the router, to be sent */

	/* Requests that crash targets: what was seen, what is quarantined. */
	struct quarantine quarantine;
	struct quarantine_list quarantined;
	struct quarantine_report_buf report_buf;
	uint64_t controller_quarantine; /* checksum of the controller's list */
	uint64_t report_term; /* term of the controller that gets reports ... */
	usec report_since;    /* ... and since when it does */
	uint64_t answered[CRASH_REPORT_MAX]; /* for the next report */
	int nanswered;
	int quarantine_pending; /* a call to the store is pending */
	int quarantine_known;	/* as controller: the stored list was read */
	uint64_t quarantine_version;
	uint64_t quarantine_stored; /* checksum of the stored list */
	usec quarantine_next_call;

	/* The owners of keys, as last published on this host. */
	struct shared *owners;
	uint64_t number;
	struct host_turn turn; /* as last published; 0 hosts if not yet */
	usec next_heartbeat;
	usec next_owners; /* when changes of owners may be sent again */

	CURLM *multi;
	struct order_call *calls;
	struct order_conns order_conns;
	uint64_t order_id;	/* of the last order sent */
	struct reach_path path; /* the way to the targets */
	/* Targets that refused a connection since the path was doubted. */
	char refused[SITECTL_REFUSED_MAX][NAME_MAX_GS];
	int nrefused;
	usec acting_since;
	int yielded; /* released control; not a candidate until eligible_at */
	usec eligible_at;
	int stopping;
	usec handover_since; /* when releasing control began; 0 if not */
	int resigned;
	int had_control; /* when it resigned */
	usec stop_by;	 /* control is given up by then during a stop */
	int stopped;	 /* the orderly stop is complete */
	int stop;
};

/* sitectl.c */
const char *sitectl_self(const struct sitectl *);
const struct site *sitectl_site(const struct sitectl *);
const struct fleet *sitectl_fleet(const struct sitectl *);
int sitectl_host_up(
    const struct sitectl *, const struct host_entry *, usec now);
void sitectl_host_seen(struct sitectl *, const struct member *, const char *dc,
    const char *tunnel, int stopping, usec now);
void sitectl_publish_peers(struct sitectl *, usec now);

/* sitectl_term.c */
void sitectl_term_init(struct sitectl *);
int sitectl_is_standby(const struct sitectl *);
void sitectl_choose_standbys(struct sitectl *, usec now);
void sitectl_yield_if_isolated(struct sitectl *, usec now);
void sitectl_yield_to_larger(struct sitectl *, usec now);
void sitectl_release_control(struct sitectl *, usec now);
void sitectl_probe_store(struct sitectl *, usec now);
int sitectl_capacity(const struct sitectl *);
void sitectl_record_done(struct sitectl *, const struct store *, usec now);
void sitectl_promise_request(struct sitectl *, const struct msg *, usec now);
void sitectl_promise_reply(struct sitectl *, const struct msg *, usec now);

/* sitectl_keys.c */
struct keys *sitectl_keys(struct sitectl *, const char *service);
void sitectl_add_services(struct sitectl *, usec now);
void sitectl_drop_keys(struct sitectl *);
void sitectl_keys_done(struct sitectl *, const struct store *, usec now);
enum put_result sitectl_put_result(const struct store *);

/* sitectl_order.c */
void order_send(
    struct sitectl *, const char *service, const struct key_order *);
void orders_reap(struct sitectl *, usec now);
void orders_cancel(struct sitectl *);
void orders_set_path(struct sitectl *, const struct reach_path *, usec now);

/* sitectl_fleet.c */
void fleet_broadcast(struct sitectl *, usec now);
void fleet_check_host(struct sitectl *, struct host_entry *, usec now);
void fleet_copy(struct sitectl *, const Gspar__CopyFleet *, usec now);
void fleet_receive(struct sitectl *, const Gspar__FleetTold *, usec now);
int fleet_leave_announced(struct sitectl *, const char *id);
void fleet_relist_if_stale(struct sitectl *, usec now);
void fleet_receive_relay(struct sitectl *, const Gspar__StoreNews *, usec now);
void fleet_fill_target(
    Gspar__TargetTold *, const struct fleet_target *, usec now);
size_t fleet_fill_evacuations(const struct evacuations *, Gspar__Evacuation *,
    Gspar__Evacuation **, usec now);

/* sitectl_relay.c */
int relay_due(const struct sitectl *, usec now);
void relay_tick(struct sitectl *, usec now);
void relay_receive(struct sitectl *, const Gspar__StoreNews *, usec now);

/* sitectl_hosts.c */
struct host_list;
struct host_list *host_list_new(struct sitectl *, usec now);
void host_list_free(struct sitectl *, struct host_list *);
void host_list_fill(struct sitectl *, struct host_list *, struct host_entry *,
    Gspar__Owners *, usec now);
void host_list_receive(struct sitectl *, const Gspar__Owners *, usec now);
void host_list_receive_addr(
    struct sitectl *, const Gspar__HostAddr *, usec now);

/* sitectl_broadcast.c */
uint64_t owners_number(const struct sitectl *);
void broadcast_tick(struct sitectl *, usec now);
void broadcast_resignation(struct sitectl *, usec now);
void owners_publish(struct sitectl *, struct owners *);
void host_count_publish(struct sitectl *, int hosts);

/* sitectl_report.c */
void report_add_leaving(struct sitectl *, const struct router_report *);
void report_at_once(struct sitectl *, usec now);
void report_tick(struct sitectl *, usec now);
void report_receive(
    struct sitectl *, const char *host, const Gspar__HostReport *, usec now);

/* sitectl_quarantine.c */
#define QUARANTINE_TAG "quarantine"
void quarantine_add_seen(
    struct sitectl *, const struct crash_report *, usec now);
void quarantine_conn_refused(struct sitectl *, const char *target, usec now);
void quarantine_fill_report(struct sitectl *, Gspar__HostReport *, usec now);
void quarantine_receive_report(
    struct sitectl *, struct host_entry *, const Gspar__HostReport *, usec now);
void quarantine_receive(
    struct sitectl *, const Gspar__QuarantineTold *, usec now);
void quarantine_tick(struct sitectl *, usec now);
void quarantine_store_done(struct sitectl *, const struct store *, usec now);

/* sitectl_config.c */
void site_control_began(struct sitectl *);
void site_broadcast(struct sitectl *, const struct site *was, usec now);
void site_receive_report(
    struct sitectl *, struct host_entry *, const Gspar__HostReport *, usec now);
void site_receive_heartbeat(struct sitectl *, const Gspar__Owners *, usec now);
void site_tick(struct sitectl *, usec now);
void site_receive(struct sitectl *, const Gspar__SiteTold *);

/* sitectl_receive.c */
void broadcast_receive(struct sitectl *, const Gspar__Owners *, usec now);

#endif
