/*
 * Whether this host reaches the targets itself and, if it does not, through
 * which other host it does.  Decided from connections alone that this host
 * opens to probe: what answers say of targets that are slow, full or lost is
 * not evidence of the path to them.
 */
#ifndef REACH_H
#define REACH_H

#include "clock.h"
#include "fleet.h"
#include "str.h"

/* Targets that are probed in a round, and hosts that are tried. */
#define REACH_TARGETS_MAX 4
#define REACH_TRIES_MAX 6
#define REACH_FAILURES_MAX 16

/* Another host that relays connections to targets. */
struct reach_host {
	char name[NAME_MAX_GS];
	char addr[FLEET_ADDR]; /* at which it relays */
	char dc[NAME_MAX_GS];
};

/* A host through which a target was not reached. */
struct reach_failure {
	char name[NAME_MAX_GS];
	usec at;
};

/* The way to the targets, as published to other services. */
struct reach_path {
	char via[NAME_MAX_GS]; /* the host that relays; "" if this host reaches
				  them itself, or nobody does */
	char addr[FLEET_ADDR]; /* at which it relays */
	int unreachable; /* no target was reached, nor through another host */
	int doubted;	 /* an attempt has failed since this was decided */
};

/* What to do next. */
enum reach_action {
	REACH_WAIT,
	REACH_PROBE_TARGET, /* open a connection to a target */
	REACH_TRY_HOST	    /* open one through a host */
};

/* What a round of probes is for. */
enum reach_round {
	REACH_IDLE,   /* there is none */
	REACH_CHECK,  /* is this host cut off from the targets? */
	REACH_SEARCH, /* the relaying host failed: which other can replace it?
		       */
	REACH_RETURN  /* does this host reach the targets again? */
};

struct reach {
	char dc[NAME_MAX_GS]; /* of this host */
	uint64_t seed;	      /* of this host, to spread hosts over others */
	const struct reach_host *hosts; /* the caller's */
	int nhosts;
	struct reach_failure failures[REACH_FAILURES_MAX]; /* the last ones */
	unsigned nfailures;
	struct reach_path path;
	int via_failed;
	int returns;	   /* successful rounds in a row of REACH_RETURN */
	uint64_t verdicts; /* number of rounds that have ended */
	/* The current round. */
	enum reach_round round;
	uint64_t round_number;
	usec round_began;
	usec next_round; /* not before */
	int probed;	 /* targets probed, reached and failed to be reached */
	int reached;
	int unreached;
	char tried[REACH_TRIES_MAX][NAME_MAX_GS]; /* hosts */
	int ntried;
	int ntried_near;
	int ntries_failed;
	usec next_try;
	char found[NAME_MAX_GS]; /* host through which a target was reached */
};

void reach_init(struct reach *, const char *dc, uint64_t seed);
void reach_set_hosts(struct reach *, const struct reach_host *, int n);
void reach_doubt(struct reach *);
void reach_via_failed(struct reach *, const char *host, usec now);
enum reach_action reach_next(
    struct reach *, usec now, const struct reach_host **host);
void reach_target_done(struct reach *, int reached);
void reach_host_done(struct reach *, const char *host, int reached, usec now);
usec reach_timeout(const struct reach *, usec now);
int reach_choose_targets(
    const struct fleet *, uint64_t seed, int *chosen, int max);

#endif
