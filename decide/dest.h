/*
 * One host's estimate of the state of a target that several hosts send to, and
 * the choice of whether and where to send the next request.
 */
#ifndef DEST_H
#define DEST_H

#include "load.h"
#include "rate.h"

struct dest_conf {
	int hosts; /* number of hosts that send to the same targets */
};

struct dest {
	int slots;
	int leaving;
	int same_dc;	   /* in this host's data centre */
	usec closed_from;  /* gets no new requests from then on; 0 if never */
	usec leaving_from; /* the same, as it has announced that it leaves */
	usec cold_until;
	double cold_rate; /* limit while it is cold; 0 if none */
	double limit;	  /* its own, in requests a second; negative if none */
	int inflight;	  /* requests of this host in flight there */
	double others_inflight; /* those of other hosts, as of `load_at` */
	struct load load;	/* last reported */
	usec load_at;		/* time of that report; 0 if none yet */
	int latency_samples;	/* so far */
	double latency_ratio;	/* latency, relative to a usual target */
	double failure_rate;	/* moving average of failed requests, 0 to 1 */
	int unanswered_streak;	/* requests in a row without an answer */
	usec backoff_until;
	usec paused_until; /* the target wants no requests before */
	struct rate rate;  /* this host's turns, by both limits */
};

/* How a request to a target ended. */
enum dest_end {
	DEST_ANSWERED,
	DEST_FAILED,	/* answered, but the target failed */
	DEST_REFUSED,	/* the target was full: the request did not run */
	DEST_NOT_OWNER, /* not the owner of the key: the request did not run */
	DEST_UNREACHED, /* no connection */
	DEST_BROKEN,	/* the connection ended without a whole answer */
	DEST_TIMED_OUT,
	DEST_NOT_SENT /* ended before it left this host */
};

/* The end of one request, with what is learnt from it. */
struct dest_answer {
	enum dest_end end;
	usec took;
	usec expected; /* time that such a request usually takes */
	struct load load;
};

void dest_init(struct dest *, int slots);
void dest_sent(struct dest *, usec now);
void dest_ended(struct dest *, usec now, const struct dest_answer *);
double dest_limit(const struct dest *, usec now);
void dest_apply_limit(struct dest *, const struct rate_turns *, usec now);
double dest_load(const struct dest *, usec now);
int dest_announce_leave(struct dest *, usec from);
int dest_left(const struct dest *, usec now);
int dest_closed(const struct dest *, usec now);
void dest_pause(struct dest *, usec until);
int dest_paused(const struct dest *, usec now);
void dest_forget_failures(struct dest *);
usec dest_wait(const struct dest *, usec now);
int dest_usable(const struct dest *, usec now);
int dest_can_send(const struct dest *, usec now, const struct dest_conf *);
double dest_cost(const struct dest *, usec now, usec work, usec others_work);

#endif
