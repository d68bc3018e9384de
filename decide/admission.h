/*
 * Admission to targets that many hosts send to.  One host, the targets'
 * admission host, gives out the permits to send; requests wait for them where
 * they arrived, and this host orders them.  It answers load that exceeds what
 * the targets can serve: more than a few requests in a target's own queue
 * cannot be overtaken by more urgent ones, nor be refused any more.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "dest.h"
#include "str.h"

#define ADMISSION_TARGETS_MAX 64
#define ADMISSION_ASKS_MAX 256
#define ADMISSION_PERMITS_MAX 512
/* Priorities that are told apart; those below count as the last. */
#define ADMISSION_RANKS 3
/* Classes in which requests are served: see class_of(). */
#define ADMISSION_CLASSES (2 * ADMISSION_RANKS + 2)

/* A target as the index into the table of targets; or any of the service. */
#define ADMISSION_ANY -1

enum admission_verdict {
	ADMISSION_GRANTED,
	ADMISSION_WAITS,
	ADMISSION_REFUSED, /* it could not be served by its deadline */
	ADMISSION_UNKNOWN  /* this host does not admit to such targets */
};

/* A request that asks for a permit. */
struct admission_ask {
	uint64_t host; /* that asks */
	uint64_t id;   /* of the ask there */
	int target;
	int avoid; /* not this target if there is another; or ADMISSION_ANY */
	int rank;
	int no_wait; /* to be refused if it would have to wait */
	usec arrived;
	usec aim_at; /* an answer is in time until then */
	usec deadline;
	usec work; /* time that such a request usually takes */
};

/* A permit that has been given. */
struct admission_permit {
	uint64_t host;
	uint64_t id;
	int target;
	int ahead; /* requests that were to start there before it */
	usec given;
	usec expires;
};

/* Admitted requests per class, as moving sums. */
struct admission_demand {
	double sum[ADMISSION_CLASSES];
	usec at;
};

struct admission_target {
	char id[NAME_MAX_GS];
	struct dest dest;   /* as learnt by all hosts; in flight: the permits */
	int open;	    /* may be sent requests */
	int shared;	    /* given to requests that any target can serve */
	double hold;	    /* mean time that a permit is held, microseconds */
	uint64_t failed_at; /* host that last reported a failure to reach it */
	int urgent_streak;  /* permits that less urgent requests waited for */
	struct admission_demand demand;
};

struct admission {
	struct admission_target targets[ADMISSION_TARGETS_MAX];
	int ntargets;
	struct admission_ask asks[ADMISSION_ASKS_MAX]; /* that wait */
	int nasks;
	struct admission_permit permits[ADMISSION_PERMITS_MAX];
	int npermits;
	struct admission_demand demand; /* of requests for any target */
	double work;			/* mean of all requests */
	usec next_review;
};

/* A verdict on an ask, to be sent to the host that asked. */
struct admission_reply {
	uint64_t host;
	uint64_t id;
	enum admission_verdict verdict;
	int target; /* if granted */
	usec wait;  /* expected, unless granted */
};

void admission_init(struct admission *);
int admission_target(struct admission *, const char *id, int slots);
int admission_find(const struct admission *, const char *id);
void admission_ask(struct admission *, const struct admission_ask *, usec now,
    struct admission_reply *);
void admission_end(struct admission *, uint64_t host, uint64_t id, usec now,
    const struct dest_answer *);
int admission_next(struct admission *, usec now, struct admission_reply *);
int admission_drain(struct admission *, struct admission_reply *);
void admission_sweep(struct admission *);
int admission_limit(int slots);
int admission_called_for(int hosts, int slots);

#endif
