/*
 * One host's part of a rate limit that holds for all hosts together.  The hosts
 * do not coordinate: each sends one request in each of its turns, and the turns
 * are spread over the time of day, which all hosts share.
 */
#ifndef RATE_H
#define RATE_H

#include "clock.h"

/* Which host has its turn when. */
struct rate_turns {
	int hosts;
	int rank;   /* of this host, from 0 */
	usec epoch; /* monotonic time at which the time of day was 0 */
};

struct rate {
	double limit; /* requests a second from all hosts; negative if none */
	struct rate_turns turns;
	usec interval;	/* time between this host's turns */
	usec next;	/* its next unused turn, which may have expired */
	usec last_sent; /* when it last sent a request; 0 if never */
};

void rate_init(struct rate *);
void rate_set(struct rate *, double limit, const struct rate_turns *, usec now);
int rate_allows(const struct rate *, usec now);
void rate_sent(struct rate *, usec now);
usec rate_wait(const struct rate *, int ahead, usec now);

#endif
