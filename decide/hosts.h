/*
 * The hosts that this one knows, by name, in a table that grows with them, and
 * which of the hosts that a controller controls are sent the list of hosts: all
 * of it, or what has changed.
 */
#ifndef HOSTS_H
#define HOSTS_H

#include "conf.h"
#include "hash_index.h"
#include "superseded.h"
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
	uint64_t fleet_reported; /* digest of the targets that it has */
	usec fleet_sent_at;	 /* when all targets were last sent to it */
	usec copies_until;	 /* it sends copies of them until then */
	int link_mbps;		 /* bandwidth of its link; 0 if not known */
	usec quarantine_sent_at; /* when the quarantine list was sent */
	int max_hosts;		 /* hosts that it could control */
	int store_reachable;	 /* the store has answered it recently */
	uint64_t site_version;	 /* version of its site configuration */
	uint64_t site_sent;	 /* version last sent to it */
	int site_requested;	 /* it has asked for the configuration */
	int has_reported;	 /* to this controller */
	uint64_t list_reported;	 /* digest of the list that it has */
	uint64_t list_sent;	 /* digest last sent to it, and when */
	usec list_sent_at;
	int changed; /* since the list was last sent */
	int stopping;
};

struct hosts {
	struct host_entry *list;
	int n;
	int capacity;
	struct hash_index by_name;
	/* The list as sent by this host, as controller. */
	uint64_t digest;
	struct superseded superseded; /* earlier digests */
	char (*gone)[NAME_MAX_GS];    /* removed since it was sent */
	int ngone;
	int changed; /* it differs from what was sent */
};

/* What is sent to a host. */
enum list_update { LIST_NONE, LIST_DIFFERENCE, LIST_WHOLE };

struct host_entry *hosts_find(const struct hosts *, const char *name);
struct host_entry *hosts_add(struct hosts *, const char *name);
void hosts_remove(struct hosts *, int i);
int host_update(struct host_entry *, const struct member *, const char *dc,
    const char *tunnel);
uint64_t hosts_digest_of(const struct hosts *, int listed);
void hosts_list_begin(struct hosts *);
uint64_t hosts_list_renew(struct hosts *, usec now);
enum list_update hosts_list_update(
    const struct hosts *, const struct host_entry *, uint64_t base, usec now);
void hosts_list_sent_to(
    const struct hosts *, struct host_entry *, enum list_update, usec now);
void hosts_list_sent(struct hosts *);
void hosts_free(struct hosts *);

#endif
