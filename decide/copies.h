/*
 * Which host sends a copy of the list of targets to a host that lacks it, so
 * that the copies of a large fleet do not all cross the controller's link.
 */
#ifndef COPIES_H
#define COPIES_H

#include <stddef.h>

#include "hosts.h"

enum copy_source {
	COPY_NONE, /* none now: wait for a copy, or for a host to send one */
	COPY_OWN,  /* from the controller itself */
	COPY_HOST  /* from another host */
};

/* Data centres in which a search for a host that can send is remembered. */
#define COPIES_DCS_MAX 8

/* The list, and when the controller's link is free for another copy. */
struct copies {
	uint64_t digest;
	size_t bytes;
	double link_mbps; /* of the controller; 0 if not known */
	usec free_at;
	/* Where no host could send a copy, and when to look again. */
	struct {
		char dc[NAME_MAX_GS];
		usec again;
	} none[COPIES_DCS_MAX];
	unsigned nnone;
};

usec copy_time(size_t bytes, double link_mbps);
enum copy_source copies_choose(struct copies *, struct hosts *,
    struct host_entry *to, usec now, struct host_entry **from);

#endif
