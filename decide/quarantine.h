/*
 * Requests that crash the targets that run them.  Hosts tell which contents
 * were under way at a target when its connections broke, and which targets
 * have ended; both together are a crash under each of these contents.  One
 * under which several targets have crashed is quarantined: sent to none.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdint.h>

#include "clock.h"

/* A content is quarantined once so many targets have crashed under it. */
#define QUARANTINE_CRASHES 3
#define QUARANTINE_KEPT 64
#define QUARANTINE_BREAKS 512
#define QUARANTINE_ENDS 256

/* What one host saw for a while. */
#define QUARANTINE_SEEN 64

struct quarantine_seen {
	struct {
		uint64_t digest;
		uint64_t target;
	} broken[QUARANTINE_SEEN];
	int nbroken;
	uint64_t ended[QUARANTINE_SEEN];
	int nended;
};

/* A send that ended without an answer, and a target that was found ended. */
struct quarantine_break {
	uint64_t digest; /* of the request's content */
	uint64_t target; /* digest of the target's incarnation */
	usec at;
};

struct quarantine_end {
	uint64_t target;
	usec at;
};

struct quarantine_entry {
	uint64_t digest;
	uint64_t targets[QUARANTINE_CRASHES]; /* that crashed under it */
	int crashes;
	usec last;  /* crash */
	usec until; /* quarantined until then; 0 is not */
};

struct quarantine {
	struct quarantine_break breaks[QUARANTINE_BREAKS];
	unsigned nbreaks; /* ever */
	struct quarantine_end ends[QUARANTINE_ENDS];
	unsigned nends; /* ever */
	struct quarantine_entry entries[QUARANTINE_KEPT];
	int nentries;
};

/* What is quarantined, as hosts tell each other. */
struct quarantine_item {
	uint64_t digest;
	usec until;
};

struct quarantine_list {
	struct quarantine_item items[QUARANTINE_KEPT];
	int n;
};

int quarantine_broke(
    struct quarantine *, uint64_t digest, uint64_t target, usec now);
int quarantine_ended(struct quarantine *, uint64_t target, usec now);
int quarantine_add(struct quarantine *, uint64_t digest, usec left, usec now);
void quarantine_list(
    const struct quarantine *, struct quarantine_list *, usec now);
usec quarantine_item_left(const struct quarantine_item *, usec now);
usec quarantine_left(const struct quarantine_list *, uint64_t digest, usec now);
uint64_t quarantine_number(const struct quarantine_list *);

#endif
