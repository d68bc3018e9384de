/*
 * Membership: the targets that this host knows, from the platform's store or
 * from the controller, and how far missing entries are trusted.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include <stdint.h>

#include "fleet.h"
#include "hash_index.h"

/* Entries that lapsed in a store outage are back this long after its end: the
 * platform's operators give about two seconds. */
#define LAPSE_GRACE MS(2000)
/* How long a target that is gone stays in the list, so that its keys can be
 * moved. */
#define GONE_RETENTION MS(20000)

struct membership_target {
	struct fleet_target t;
	usec missing_since;  /* entry removed while in doubt; else 0 */
	usec gone_since;     /* 0 if not gone */
	int leave_announced; /* the target announced that it leaves, which is
				final */
	int seen;	     /* in the list that is being read */
};

struct membership {
	struct membership_target *list;
	int n;
	int capacity;
	struct hash_index by_target; /* all incarnations of one are alike */
	struct evacuations evacuations;
	usec heartbeat;	    /* interval at which targets renew their entries */
	usec failing_since; /* the store; 0 while it answers */
	usec doubt_until;   /* entries removed before this may have lapsed */
	int changed;	    /* since the last snapshot; the user clears it */
};

void membership_free(struct membership *);
void membership_store_failed(struct membership *, usec now);
void membership_store_answered(struct membership *, usec now);
void membership_store_restored(struct membership *, usec now);
void membership_entry_put(
    struct membership *, const struct fleet_target *, usec now);
void membership_entry_removed(
    struct membership *, const char *target, usec now);
void membership_leave_announced(struct membership *, const char *id);
void membership_entry_invalid(
    struct membership *, const char *target, usec now);
void membership_list_begin(struct membership *);
void membership_list_end(struct membership *, usec now);
void membership_mass_removal(struct membership *, int removed, usec now);
void membership_tick(struct membership *, usec now);
int membership_has_doubts(const struct membership *);
void membership_adopt(struct membership *, const struct fleet *, usec now);
struct fleet *membership_snapshot(struct membership *);

#endif
