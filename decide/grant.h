/* The fenced grant of shards to one target, as its dispatcher maintains it. */
#ifndef GRANT_H
#define GRANT_H

#include <stdint.h>

#include "clock.h"

enum grant_phase {
	GRANT_PROBING, /* new duty: the target has not answered yet */
	GRANT_ACTIVE,  /* granted, or about to be granted */
	GRANT_INACTIVE /* nothing granted; no more grants in this epoch */
};

/* Messages to the target: read its clock, grant a set of shards, renew it. */
enum grant_step { STEP_NONE, STEP_CLOCK, STEP_FULL, STEP_RENEW };

struct grant_conf {
	usec length; /* of a grant */
	usec renew;  /* between renewals */
};

/* Sets of shards are numbered; times are of this host's clock unless noted. */
struct grant {
	struct grant_conf conf;
	enum grant_phase phase;
	uint64_t epoch;
	uint64_t seq;
	int64_t boot;	      /* of the target; changes when it restarts */
	int64_t target_clock; /* the target's clock in its last answer */
	usec last_heard;      /* when that answer arrived */
	usec epoch_start;
	usec sent;
	usec last_expiry;     /* latest expiry of all grants sent */
	usec uncertain_until; /* last_expiry when a message was not answered */
	usec sent_expiry;     /* expiry of the last grant sent */
	usec valid_until;     /* expiry of the last grant that was accepted */
	int pending;	      /* a message awaits its answer */
	int up;		      /* the last message was answered */
	uint64_t wanted_set;  /* the set to be granted */
	uint64_t sent_set;
	uint64_t held_set; /* the set that the target has accepted; 0: none */
};

void grant_init(
    struct grant *, const struct grant_conf *, uint64_t epoch, usec now);
void grant_new_epoch(struct grant *, uint64_t epoch, usec now);
enum grant_step grant_next(
    struct grant *, usec now, usec lease_until, int64_t *until_there);
void grant_answered(struct grant *, usec now, enum grant_step, int accepted,
    int64_t target_clock, int64_t boot);
void grant_failed(struct grant *, usec now);
int grant_set_certain(const struct grant *, usec now);
int grant_usable(const struct grant *, usec now);
int grant_maybe_valid(const struct grant *, usec now);

#endif
