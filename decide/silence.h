/*
 * Detection of connections to a target that are dead while the target is alive.
 */
#ifndef SILENCE_H
#define SILENCE_H

#include "clock.h"

#define CONN_NEW_ONLY (-1)

struct silence {
	int missed;	     /* the last probe was not answered */
	usec suspect_before; /* older connections are not used */
	usec answered;	     /* when the latest answered request was sent */
};

void silence_probe_missed(struct silence *);
int silence_probe_answered(struct silence *, usec sent);
long silence_conn_age(const struct silence *, usec now);
void silence_request_answered(struct silence *, usec sent);
int silence_suspects(const struct silence *, usec now, usec sent, usec typical);

#endif
