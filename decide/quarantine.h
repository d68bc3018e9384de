/*
 * Detection of requests that crash the targets that run them.  Hosts report
 * which contents were in flight at a target when its connections broke, and
 * which targets have ended; the two together count as a crash for each of these
 * contents.  A content with several such runs is put on probation: the fleet
 * runs it one at a time.  An answer clears it; another crash quarantines it,
 * and then it is sent to no target.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdint.h>

#include "clock.h"

/*
 * A content is put on probation after this many runs at targets that crashed.
 */
#define PROBATION_RUNS 2
/* Crashed targets that are remembered for a content.  So many quarantine it at
 * the end of the grace period. */
#define QUARANTINE_TARGETS_MAX 3
#define QUARANTINE_ENTRIES_MAX 64
#define QUARANTINE_BREAKS_MAX 512
#define QUARANTINE_ENDS_MAX 256

/* What one host has seen since its last report. */
#define CRASH_REPORT_MAX 64

struct crash_report {
	struct {
		uint64_t digest;
		uint64_t target;
		int on_probation;
	} broken[CRASH_REPORT_MAX];
	int nbroken;
	uint64_t ended[CRASH_REPORT_MAX];
	int nended;
	uint64_t answered[CRASH_REPORT_MAX]; /* contents on probation */
	int nanswered;
};

/* Sends of a content to a target that ended without an answer. */
struct quarantine_break {
	uint64_t digest; /* of the request's content */
	uint64_t target; /* digest of the target's incarnation */
	uint64_t source; /* digest of the host that reports; 0 is this host */
	int sends;
	int on_probation; /* the content's state when the last was sent */
	usec at;
};

/* A target that was found to have ended. */
struct quarantine_end {
	uint64_t target;
	usec at;
};

/* A content, with the crashes that are attributed to it. */
struct quarantine_entry {
	uint64_t digest;
	uint64_t targets[QUARANTINE_TARGETS_MAX]; /* crashed last, a ring */
	int crashes;				  /* of different targets */
	int runs;				  /* at targets that crashed */
	usec last_crash;			  /* time of the last crash */
	usec probation_since;			  /* 0 if not on probation */
	usec cleared; /* when an answer cleared it; 0 if never */
	usec until;   /* end of the quarantine; 0 if not quarantined */
};

struct quarantine {
	struct quarantine_break breaks[QUARANTINE_BREAKS_MAX];
	unsigned nbreaks; /* recorded so far; the array is a ring */
	struct quarantine_end ends[QUARANTINE_ENDS_MAX];
	unsigned nends; /* recorded so far; the array is a ring */
	struct quarantine_entry entries[QUARANTINE_ENTRIES_MAX];
	int nentries;
};

/* A listed content, as hosts send it to each other. */
struct quarantine_item {
	uint64_t digest;
	usec until;
	int probation; /* else quarantined */
};

struct quarantine_list {
	struct quarantine_item items[QUARANTINE_ENTRIES_MAX];
	int n;
};

int quarantine_add_break(
    struct quarantine *, const struct quarantine_break *, usec now);
int quarantine_add_own_break(struct quarantine *, uint64_t digest,
    uint64_t target, int on_probation, usec now);
int quarantine_add_end(struct quarantine *, uint64_t target, usec now);
int quarantine_confirm_due(struct quarantine *, usec now);
int quarantine_clear(struct quarantine *, uint64_t digest, usec now);
int quarantine_add_item(
    struct quarantine *, const struct quarantine_item *, usec now);
int quarantine_adopt(
    struct quarantine *, const struct quarantine_list *, usec now);
void quarantine_list(
    const struct quarantine *, struct quarantine_list *, usec now);
void quarantine_confirmed(
    const struct quarantine_list *, struct quarantine_list *);
usec quarantine_item_left(const struct quarantine_item *, usec now);
const struct quarantine_item *quarantine_find(
    const struct quarantine_list *, uint64_t digest, usec now);
int quarantine_runs_here(uint64_t digest, int rank, int hosts);
uint64_t quarantine_checksum(const struct quarantine_list *);

#endif
