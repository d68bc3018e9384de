/* The fenced grant of one target, as its dispatcher renews it. */
#ifndef GRANT_H
#define GRANT_H

#include <stdint.h>

#include "clock.h"

enum grant_phase {
	GRANT_PROBE,  /* new duty: the target has not answered yet */
	GRANT_ACTIVE, /* granted, or about to be again */
	GRANT_DORMANT /* nothing granted, and nothing will be in this epoch */
};

enum grant_step { STEP_NONE, STEP_CLOCK, STEP_FULL, STEP_RENEW };

struct grant_conf {
	usec length; /* of one grant */
	usec renew;  /* between renewals */
};

struct grant {
	struct grant_conf conf;
	enum grant_phase phase;
	uint64_t epoch;
	uint64_t seq;
	int64_t boot;
	int64_t clock_there;
	usec heard;
	usec began;
	usec sent;
	usec end_here;
	usec doubt_until;
	usec sent_end;
	usec sure_until; /* the target confirmed a grant until then */
	int open;
	int up;
	uint64_t want; /* number of the set of shards wanted */
	uint64_t sent_set;
	uint64_t held; /* number of the set the target confirmed */
};

void grant_init(
    struct grant *, const struct grant_conf *, uint64_t epoch, usec now);
void grant_epoch(struct grant *, uint64_t epoch, usec now);
enum grant_step grant_next(
    struct grant *, usec now, usec lease_until, int64_t *until_there);
void grant_heard(struct grant *, usec now, enum grant_step, int accepted,
    int64_t clock_there, int64_t boot);
void grant_failed(struct grant *, usec now);
int grant_exact(const struct grant *, usec now);
int grant_serves(const struct grant *, usec now);
int grant_live(const struct grant *, usec now);

#endif
