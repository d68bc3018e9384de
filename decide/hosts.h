/*
 * The hosts that this one knows, by name, in a table that grows with them.
 */
#ifndef HOSTS_H
#define HOSTS_H

#include "conf.h"
#include "hash_index.h"
#include "term.h"

/* A host as the other hosts know it, and what the controller sent to it. */
struct host_entry {
	struct member process;
	char dc[NAME_MAX_GS];
	char tunnel[ADDR_MAX_GS]; /* at which it relays connections; or "" */
	usec last_heard;
	usec listed_at; /* when the controller last listed it; 0 if not */
	usec assumed_up_until;	  /* sent to although it was not heard from */
	uint64_t owners_reported; /* number of the snapshot that it has */
	uint64_t owners_sent;	  /* number last sent to it, and when */
	usec owners_sent_at;
	usec fleet_sent_at;	 /* when all targets were last sent to it */
	usec quarantine_sent_at; /* when the quarantine list was sent */
	int max_hosts;		 /* hosts that it could control */
	int store_reachable;	 /* the store has answered it recently */
	uint64_t site_version;	 /* version of its site configuration */
	uint64_t site_sent;	 /* version last sent to it */
	int site_requested;	 /* it has asked for the configuration */
	int stopping;
};

struct hosts {
	struct host_entry *list;
	int n;
	int capacity;
	struct hash_index by_name;
};

struct host_entry *hosts_find(const struct hosts *, const char *name);
struct host_entry *hosts_add(struct hosts *, const char *name);
void hosts_remove(struct hosts *, int i);
void hosts_free(struct hosts *);

#endif
