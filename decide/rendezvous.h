/*
 * Rendezvous hashing: hosts that know the same list choose the same one of them
 * for a key, and a host that is lost changes the choice only for its own keys.
 */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "str.h"

/* A host that can be chosen. */
struct rendezvous_host {
	char name[NAME_MAX_GS];
	char dc[NAME_MAX_GS];
	char addr[FLEET_ADDR];
	uint64_t digest; /* of its name */
	usec silent_until;
	int silent_streak; /* unanswered messages in a row */
};

int rendezvous_top(const struct rendezvous_host *, int n, const char *dc,
    uint64_t key, int *top, int max);
int rendezvous_pick(const struct rendezvous_host *, const int *set, int n,
    uint64_t key, usec now);
void rendezvous_silent(struct rendezvous_host *, usec now);
void rendezvous_heard(struct rendezvous_host *);

#endif
