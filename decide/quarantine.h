/*
 * Requests that crash the targets that run them.  Hosts tell which contents
 * were under way at a target when its connections broke, and which targets
 * have ended; both together are a crash under each of these contents.  A
 * content with several such runs is on probation: the fleet runs it one at a
 * time.  An answer clears it; another crash quarantines it, and it is sent to
 * no target.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdint.h>

#include "clock.h"

/* A content is on probation once so many of its runs ended with a target. */
#define PROBATION_RUNS 2
/* Crashed targets of a content that are told apart. */
#define QUARANTINE_TARGETS 3
#define QUARANTINE_KEPT 64
#define QUARANTINE_BREAKS 512
#define QUARANTINE_ENDS 256

/* What one host saw for a while. */
#define QUARANTINE_SEEN 64

struct quarantine_seen {
	struct {
		uint64_t digest;
		uint64_t target;
		int on_probation;
	} broken[QUARANTINE_SEEN];
	int nbroken;
	uint64_t ended[QUARANTINE_SEEN];
	int nended;
	uint64_t answered[QUARANTINE_SEEN]; /* contents on probation */
	int nanswered;
};

/* Sends that ended without an answer, and a target that was found ended. */
struct quarantine_break {
	uint64_t digest; /* of the request's content */
	uint64_t target; /* digest of the target's incarnation */
	uint64_t source; /* who told; 0 is this host */
	int sends;
	int on_probation; /* the content was, when the last was sent */
	usec at;
};

struct quarantine_end {
	uint64_t target;
	usec at;
};

struct quarantine_entry {
	uint64_t digest;
	uint64_t targets[QUARANTINE_TARGETS]; /* that crashed under it, last */
	int crashes;			      /* of targets told apart */
	int runs;			      /* that ended so */
	usec last;			      /* crash */
	usec probation_since;		      /* 0 is not on probation */
	usec cleared;			      /* by an answer; 0 is not */
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
	int probation; /* else quarantined */
};

struct quarantine_list {
	struct quarantine_item items[QUARANTINE_KEPT];
	int n;
};

int quarantine_broke(
    struct quarantine *, const struct quarantine_break *, usec now);
int quarantine_broke_here(struct quarantine *, uint64_t digest, uint64_t target,
    int on_probation, usec now);
int quarantine_ended(struct quarantine *, uint64_t target, usec now);
int quarantine_settle(struct quarantine *, usec now);
void quarantine_answered(struct quarantine *, uint64_t digest, usec now);
int quarantine_add(
    struct quarantine *, const struct quarantine_item *, usec now);
void quarantine_told(
    struct quarantine *, const struct quarantine_list *, usec now);
void quarantine_list(
    const struct quarantine *, struct quarantine_list *, usec now);
void quarantine_confirmed(
    const struct quarantine_list *, struct quarantine_list *);
usec quarantine_item_left(const struct quarantine_item *, usec now);
const struct quarantine_item *quarantine_find(
    const struct quarantine_list *, uint64_t digest, usec now);
int probation_is_here(uint64_t digest, int rank, int hosts);
uint64_t quarantine_number(const struct quarantine_list *);

#endif
