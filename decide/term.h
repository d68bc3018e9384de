/*
 * Election of the controller of a cell: the control lease, kept in a record of
 * the platform, the promises of the standbys, and takeover. See docs/DESIGN.md,
 * "Control".
 */
#ifndef TERM_H
#define TERM_H

#include <stdint.h>

#include "clock.h"
#include "str.h"
#include "version.h"

#define STANDBYS_MAX 2

/*
 * A host's process. A restarted one has another boot number and counts as
 * another member, as it has lost its state.
 */
struct member {
	char host[NAME_MAX_GS];
	uint64_t boot;
	char addr[64]; /* address for other hosts; may be empty */
};

/* The control record of a cell, as stored in the platform. */
struct control_record {
	uint64_t term;
	uint64_t write_id;
	uint64_t era; /* of the store, as known to the writer */
	struct member holder;
	struct member standby[STANDBYS_MAX];
	int nstandby;
};

/*
 * What a standby promises: not to take control for a control lease, or, if it
 * is shutting down, for term_conf.final_promise.
 */
enum promise_kind { PROMISE_NONE, PROMISE_LEASE, PROMISE_FINAL };

enum term_role { TERM_FOLLOWER, TERM_ACQUIRING, TERM_HOLDER };

/* Outcome of a write; PUT_UNKNOWN is unknown, it may still take effect. */
enum put_result { PUT_DONE, PUT_CONFLICT, PUT_UNKNOWN };

struct term_conf {
	struct member self;
	usec lease;	 /* control lease */
	usec host_lease; /* leases that a controller grants to hosts */
	usec renew;	 /* interval between renewals */
	/*
	 * The holder announces the record's version (term_version_announced),
	 * so that standbys that receive it need not read the record.
	 */
	int version_announced;
	/*
	 * Duration of the promise of a standby that shuts down; 0 is a control
	 * lease.
	 */
	usec final_promise;
	/*
	 * Extra delay before this host takes control of a cell that has no
	 * control record.
	 */
	usec bootstrap_delay;
};

struct promise {
	struct member process;
	usec requested_at;
	usec until;
};

/* Functions that term calls for I/O and events. */
struct term_callbacks {
	void (*get)(void *);
	void (*put)(void *, uint64_t base, const struct control_record *);
	void (*request_promise)(void *, const struct member *, uint64_t term);
	void (*event)(void *, const char *);
};

struct term {
	struct term_conf conf;
	const struct term_callbacks *cb;
	void *arg;
	enum term_role role;
	int eligible;
	int resigned;
	int leaving; /* shutting down: never takes control again */

	struct store_era era;
	int restored; /* the era has risen in this process's life */

	/* The record as last read; version 0 means that there is none. */
	int known;
	int stale; /* the store may have lost a later record */
	struct control_record rec;
	uint64_t version;
	usec first_seen;
	usec last_seen;
	int get_pending;
	usec next_get;

	/* The one write that may be pending or of unknown outcome. */
	int put_pending;
	int put_unknown; /* whether it took effect is unknown until a read */
	struct control_record put_rec;
	uint64_t base_version;
	usec put_sent;
	usec next_put;

	/* State of the holder. */
	int rewrite;	/* the store has lost its record: write it again */
	int from_stale; /* control was taken from a stale record */
	usec lease_until;
	struct promise promises[2 * STANDBYS_MAX];
	int npromises;
	usec next_request;
	usec old_leases_lapse_at;
	usec dispatch_at;
	struct control_record previous_record;
	int need_withdrawal;
	struct member wanted[STANDBYS_MAX];
	int nwanted;

	/* State of a standby. */
	uint64_t announced_version;
	usec announced_at;
	usec late_request_at;
	usec promised_until;
	usec last_request_at;
	uint64_t highest_term;
	/* Set by the caller while no controller renews this host's leases. */
	int no_controller;
	uint64_t seed;
};

void term_init(struct term *, const struct term_conf *,
    const struct term_callbacks *, void *, uint64_t seed);
void term_tick(struct term *, usec now);
int term_store_era(struct term *, usec now, uint64_t era);
void term_heard(struct term *, uint64_t term);
void term_get_done(struct term *, usec now, int found, uint64_t version,
    const struct control_record *);
void term_get_failed(struct term *, usec now);
void term_put_done(struct term *, usec now, enum put_result, uint64_t version);
enum promise_kind term_promise_request(
    struct term *, usec now, uint64_t term, uint64_t boot);
void term_holder_late(struct term *, usec now);
int term_renewal_late(const struct term *, usec now);
void term_version_announced(struct term *, usec now, uint64_t version);
void term_superseded(struct term *, usec now, uint64_t term);
void term_promise_reply(struct term *, usec now, const struct member *,
    uint64_t term, enum promise_kind, usec requested_at);
void term_holder_follows(
    struct term *, usec now, const struct member *, uint64_t term);
void term_set_standbys(struct term *, const struct member *, int);
void term_process_seen(struct term *, usec now, const struct member *);
void term_resign(struct term *, usec now);
void term_rejoin(struct term *);
void term_leave(struct term *, usec now);
int term_may_renew(const struct term *, usec now);
int term_old_leases_lapsed(const struct term *, usec now);
int term_may_dispatch(const struct term *, usec now);

#endif
