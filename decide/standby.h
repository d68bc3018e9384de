/* Choice of a controller's standbys by size and data centre. */
#ifndef STANDBY_H
#define STANDBY_H

#include "term.h"

/* A host that could be a standby. */
struct candidate {
	struct member process;
	char dc[NAME_MAX_GS];
	int max_hosts;	/* hosts that it could control; 0 if not known */
	int is_standby; /* is a standby now */
	int store;	/* the store has answered it recently */
};

int host_capacity(double cores, double link_mbps);
usec bootstrap_delay(int max_hosts);
int is_overloaded(int max_hosts, int hosts);
int can_relay(int max_hosts, int hosts);
int larger_standby_ready(
    const struct candidate *, int n, int max_hosts, int hosts);
int standbys_pick(const struct candidate *, int n, const char *dc,
    struct member out[STANDBYS_MAX]);

#endif
