/* Which hosts stand by for the controller of a site, and which are fit to. */
#ifndef STANDBY_H
#define STANDBY_H

#include "term.h"

/* A host that could stand by. */
struct candidate {
	struct member who;
	char dc[NAME_MAX_GS];
	int bears;  /* hosts that it could control; 0 is not known */
	int is_one; /* stands by already */
	int store;  /* the store has answered it just now */
};

int hosts_borne(double cores, double link_mbps);
usec first_wait(int bears);
int strained(int bears, int hosts);
int larger_stands_by(const struct candidate *, int n, int bears, int hosts);
int standbys_pick(const struct candidate *, int n, const char *dc,
    struct member out[STANDBYS]);

#endif
