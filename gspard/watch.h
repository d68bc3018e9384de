/* The service that follows the store: what its parts share. */
#ifndef WATCH_H
#define WATCH_H

#include "gspard.h"
#include "membership.h"

/* Entries that make no sense, of which it is known that they were logged. */
#define FOREIGN_KEPT 64

enum feed_kind { FEED_SITE, FEED_TARGETS, FEED_EVACUATIONS, FEEDS };

/* One kind of object that is followed. */
struct feed {
	const char *kind;
	int listing; /* else watching */
	int listed;  /* once, at least */
	int open;
	uint64_t call; /* the one that counts; others were given up */
	uint64_t base;
	uint64_t list_base;
	char after[NAME_MAX_GS];
	usec next;
	usec backoff;
};

struct watch {
	struct feed feeds[FEEDS];
	struct membership membership;
	struct evacuations listed; /* while a list of them is read */
	struct shared *site;
	uint64_t logged_evacuations; /* digest */
	int fresh;	  /* the store answered last time for targets */
	int told;	  /* the controller follows the store for this host */
	uint64_t version; /* of the site in force */
	uint64_t foreign[FOREIGN_KEPT]; /* entries that made no sense */
	unsigned nforeign;
	int stop;
};

/* watch.c */
void watch_publish(
    struct service *, const char *to, enum msg_kind, struct shared *);

void watch_stop_list(struct feed *);

/* watch_site.c */
void watch_site_found(struct service *, const struct found *);
void watch_site_told(struct service *, struct site *);

#endif
