/*
 * The control service of hosts that send to targets themselves: who controls,
 * which hosts there are, and who owns which keys.
 */
#ifndef KEEPER_H
#define KEEPER_H

#include <curl/curl.h>

#include "behind.h"
#include "gspard.h"
#include "heat.h"
#include "keys.h"
#include "superseded.h"
#include "stop_plan.h"
#include "owners.h"
#include "pace.h"
#include "quarantine.h"
#include "target_ops.h"
#include "term.h"

#define KEEPER_HOSTS 512
#define KEEPER_SERVICES 16
#define ASKED_KEPT 64
/* A host whose reports show that it lacks what it was told is told again after
 * this. */
#define TELL_AGAIN MS(600)
/* Of a range on the wire: on its way, or that and when it is back, in ms. */
#define STATE_MOVING 1u
#define STATE_BACK 2u

/* What the router learnt since its last report. */
struct heat_keys {
	char service[NAME_MAX_GS];
	struct heat heat;
};

struct heat_target {
	char id[NAME_MAX_GS];
	double speed;
	double limit; /* that it names, a second; negative is none */
	int answers;
};

/* Room for what one report tells of requests that crash targets. */
#define QUARANTINE_REPORTED 256

struct quarantine_room {
	Gspar__BrokenSend broken[QUARANTINE_REPORTED];
	Gspar__BrokenSend *broken_list[QUARANTINE_REPORTED];
	uint64_t ended[QUARANTINE_REPORTED];
	uint64_t answered[CRASH_REPORT_MAX];
	Gspar__Quarantined items[QUARANTINE_ENTRIES_MAX];
	Gspar__Quarantined *list[QUARANTINE_ENTRIES_MAX];
};

struct heat_report {
	struct heat_keys *keys;
	int nkeys;
	struct heat_target *targets;
	int ntargets;
	struct crash_report crashes;
};

struct heat_report *heat_report_new(int services);
void heat_report_keys(
    struct heat_report *, const char *service, const struct heat *);
void heat_report_target(struct heat_report *, const char *id, double speed,
    double limit, int answers);
void heat_report_free(void *);

/* A host as the controller and all others know it. */
struct keeper_host {
	struct member who;
	char dc[NAME_MAX_GS];
	usec heard;
	usec named;	 /* by the controller, last; 0 is not in its list */
	usec try_until;	 /* told, though not heard: control is new here */
	uint64_t owners; /* the number that it has */
	uint64_t told;	 /* the number last sent to it, and when */
	usec told_at;
	usec fleet_at;	    /* when it was told all targets */
	usec quarantine_at; /* when it was told what is quarantined */
	int bears;	    /* hosts that it could control */
	int store;	    /* the store has answered it just now */
	uint64_t site;	    /* the configuration that it has */
	uint64_t site_told; /* the one that was sent to it last */
	int site_asked;	    /* it is to be told the one in force here */
	int stopping;
};

struct keeper {
	struct service *s;
	const struct target_ops *ops;
	struct term term;
	uint64_t promise_seq;
	usec asked_at[ASKED_KEPT];
	char controller[NAME_MAX_GS];
	uint64_t controller_term;
	usec heard;   /* the controller, last */
	int strained; /* the controller says that it bears fewer hosts */
	usec next_witness;
	usec next_standbys;
	usec store_seen; /* the store answered about the control record */

	struct keeper_host hosts[KEEPER_HOSTS];
	int nhosts;
	int hosts_changed;
	struct keys *keys[KEEPER_SERVICES];
	int nkeys;
	int acting;
	struct shared *site;
	struct shared *fleet;
	struct superseded fleet_was; /* digests of earlier lists */
	uint64_t told_fleet; /* digest of the controller's; 0 is not told */
	usec differs_since;
	usec next_relist;
	int told_follow;
	int fresh;	  /* the store itself answers here for targets */
	int follows;	  /* the controller says that it follows the store */
	usec fleet_heard; /* last sign of a host that does, and tells */
	usec next_news;
	struct shared *spread; /* the targets that were told to all */
	struct behind behind;  /* a newer configuration is somewhere */
	struct pace site_pace; /* of copies that hosts asked for */
	int site_fits;	       /* it was little enough to be told */
	int site_ask;	       /* the next report, or sign of life, asks */
	char site_from[NAME_MAX_GS]; /* a host that has a newer one */
	struct heat_report *heat;

	/* Requests that crash targets: what was seen, what is quarantined. */
	struct quarantine quarantine;
	struct quarantine_list quarantined;
	struct quarantine_room report_room;
	uint64_t told_quarantine; /* number of the controller's list */
	uint64_t report_term; /* to whose controller crashes were told ... */
	usec report_since;    /* ... and since when */
	uint64_t answered[CRASH_REPORT_MAX]; /* for the next report */
	int nanswered;
	int quarantine_open;  /* the store is asked */
	int quarantine_known; /* its list is known; of a controller */
	uint64_t quarantine_version;
	uint64_t quarantine_stored; /* number of its list */
	usec quarantine_next;

	/* Who owns what, as published here. */
	struct shared *owners;
	uint64_t number;
	usec next_spread;

	CURLM *multi;
	struct order_call *calls;
	usec acting_since;
	int yielded; /* control was given back, for this host hears too few */
	usec eligible_at;
	int stopping;
	usec giving_since; /* control is given to another; 0 is not */
	int resigned;
	int had_control; /* when it resigned */
	usec leave_by;	 /* a stop gives control up by then */
	int gone;	 /* a stop has nothing more to do */
	int stop;
};

/* keeper.c */
struct keeper_host *keeper_host(struct keeper *, const char *name);
const char *keeper_self(const struct keeper *);
const struct site *keeper_site(const struct keeper *);
const struct fleet *keeper_fleet(const struct keeper *);
int keeper_tells(const struct keeper_host *, usec now);
void keeper_host_seen(struct keeper *, const struct member *, const char *dc,
    int stopping, usec now);
void keeper_peers(struct keeper *);

/* keeper_term.c */
void keeper_term_open(struct keeper *);
int keeper_stands_by(const struct keeper *);
void keeper_name_standbys(struct keeper *, usec now);
void keeper_yield_if_deaf(struct keeper *, usec now);
void keeper_yield_to_larger(struct keeper *, usec now);
void keeper_give_back(struct keeper *, usec now);
void keeper_witness(struct keeper *, usec now);
int keeper_bears(const struct keeper *);
void keeper_record_stored(struct keeper *, const struct store *, usec now);
void keeper_promise_ask(struct keeper *, const struct msg *, usec now);
void keeper_promise(struct keeper *, const struct msg *, usec now);

/* keeper_keys.c */
struct keys *keeper_keys(struct keeper *, const char *service);
void keeper_add_services(struct keeper *, usec now);
void keeper_drop_keys(struct keeper *);
void keeper_keys_stored(struct keeper *, const struct store *, usec now);
enum put_result keeper_put_result(const struct store *);

/* keeper_order.c */
void order_send(struct keeper *, const char *service, const struct key_order *);
void orders_reap(struct keeper *, usec now);
void orders_drop(struct keeper *);

/* keeper_fleet.c */
void fleet_spread(struct keeper *, usec now);
void fleet_compare(struct keeper *, const char *host, uint64_t, usec now);
void fleet_take(struct keeper *, const Gspar__FleetTold *, usec now);
void fleet_missed(struct keeper *, usec now);
void fleet_news(struct keeper *, const Gspar__StoreNews *, usec now);
void fleet_fill_target(
    Gspar__TargetTold *, const struct fleet_target *, usec now);
size_t fleet_fill_evacuations(const struct evacuations *, Gspar__Evacuation *,
    Gspar__Evacuation **, usec now);

/* keeper_relay.c */
int relay_due(const struct keeper *, usec now);
void relay_tick(struct keeper *, usec now);
void relay_take(struct keeper *, const Gspar__StoreNews *, usec now);

/* keeper_spread.c */
uint64_t spread_number(const struct keeper *);
void spread_tick(struct keeper *, usec now);
void spread_farewell(struct keeper *, usec now);
void owners_publish(struct keeper *, struct owners *);
void report_tick(struct keeper *, usec now);
void report_take(
    struct keeper *, const char *host, const Gspar__HostReport *, usec now);

/* keeper_quarantine.c */
#define QUARANTINE_TAG "quarantine"
void quarantine_take_seen(
    struct keeper *, const struct crash_report *, usec now);
void quarantine_refused(struct keeper *, const char *target, usec now);
void quarantine_fill(struct keeper *, Gspar__HostReport *, usec now);
void quarantine_report(
    struct keeper *, struct keeper_host *, const Gspar__HostReport *, usec now);
void quarantine_take(struct keeper *, const Gspar__QuarantineTold *, usec now);
void quarantine_tick(struct keeper *, usec now);
void quarantine_stored(struct keeper *, const struct store *, usec now);

/* keeper_site.c */
void site_begin(struct keeper *);
void site_spread(struct keeper *, const struct site *was, usec now);
void site_report(
    struct keeper *, struct keeper_host *, const Gspar__HostReport *, usec now);
void site_heard(struct keeper *, const Gspar__Owners *, usec now);
void site_tick(struct keeper *, usec now);
void site_take(struct keeper *, const Gspar__SiteTold *);

/* keeper_hear.c */
void spread_take(struct keeper *, const Gspar__Owners *, usec now);

#endif
