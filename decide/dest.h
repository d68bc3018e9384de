/*
 * What one host believes of a target that it and other hosts send to, and
 * whether and where to send the next request.
 */
#ifndef DEST_H
#define DEST_H

#include "load.h"
#include "rate.h"

struct dest_conf {
	int hosts; /* that send to the same targets */
};

struct dest {
	int slots;
	int leaving;
	int near;	  /* in this host's data centre */
	usec closed_from; /* gets no new work then; 0 is never */
	usec cold_until;
	double
	    cold_rate; /* that it takes from all hosts while cold; 0 is any */
	double limit;  /* that it names itself; negative is none */
	int mine;      /* requests of this host under way there */
	double others; /* of all others, as of heard */
	struct load load; /* that it last told */
	usec heard;	  /* when that was */
	int samples;	  /* from which speed was learnt */
	double speed;	  /* time it takes, over what others take */
	double fails;	  /* share of its answers that are failures */
	int strikes;	  /* in a row without an answer */
	usec shunned_until;
	struct rate rate; /* by both, as of the last look */
};

/* What an answer, or its lack, says of the target. */
enum dest_end {
	DEST_ANSWERED,
	DEST_FAILED,  /* answered with a failure of its own */
	DEST_REFUSED, /* full: it did not run */
	DEST_MISSENT, /* not the owner of the key: it did not run */
	DEST_UNREACHED,
	DEST_BROKE, /* the connection ended without a whole answer */
	DEST_TIMED_OUT
};

/* An answer as the rules need it. */
struct dest_answer {
	enum dest_end end;
	usec took;
	usec expected; /* such requests take at a usual target */
	struct load load;
};

void dest_init(struct dest *, int slots);
void dest_sent(struct dest *, usec now);
void dest_ended(struct dest *, usec now, const struct dest_answer *);
double dest_limit(const struct dest *, usec now);
void dest_look(struct dest *, const struct rate_turns *, usec now);
double dest_load(const struct dest *, usec now);
int dest_closed(const struct dest *, usec now);
int dest_usable(const struct dest *, usec now);
int dest_room(const struct dest *, usec now, const struct dest_conf *);
double dest_cost(const struct dest *, usec now, usec work, usec others_work);

#endif
