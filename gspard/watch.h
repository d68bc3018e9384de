/* The service that follows the store: the types and functions that its files
 * share. */
#ifndef WATCH_H
#define WATCH_H

#include "gspard.h"
#include "membership.h"
#include "version.h"

/* Number of invalid entries that are remembered as logged. */
#define INVALID_LOGGED_MAX 64

enum feed_kind { FEED_SITE, FEED_TARGETS, FEED_EVACUATIONS, FEEDS };

/* One kind of object that is followed: a list of all, then watches. */
struct feed {
	const char *kind;
	int listing;	  /* else it watches */
	int listed;	  /* a list has been completed */
	int pending;	  /* a call is in flight */
	uint64_t call_id; /* id of the current call; the outcomes of others are
			  ignored */
	uint64_t base;	  /* revision after which the next watch starts */
	uint64_t list_base; /* revision of the list's first page */
	int prompt;	    /* the next watch does not wait for a change */
	struct str after;   /* last name of the page before, or "" */
	usec next;	    /* earliest time of the next call */
	usec backoff;	    /* retry delay; 0 while the store answers */
};

/* The watch service. */
struct watch {
	struct feed feeds[FEEDS];
	struct membership membership;
	struct evacuations listed; /* in the list that is being read */
	struct shared *site;
	uint64_t evacuations_logged; /* digest of those last logged */
	int fresh;	     /* the targets are as read from the store */
	int from_controller; /* this host gets changes from the controller */
	int received;	     /* a whole list of targets from another host */
	uint64_t as_of;	     /* last told to the control service */
	struct store_era era;
	uint64_t version; /* of the current site configuration */
	uint64_t invalid_logged[INVALID_LOGGED_MAX]; /* digests of entries */
	unsigned ninvalid_logged;
	int stop;
};

/* watch.c */
void watch_publish(
    struct service *, const char *to, enum msg_kind, struct shared *);

void watch_cancel_list(struct feed *);

/* watch_site.c */
void watch_site_found(struct service *, const struct store_item *);
void watch_site_received(struct service *, struct site *);

#endif
