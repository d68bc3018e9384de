/* A caller's request, from the door through the router and back. */
#ifndef CALL_H
#define CALL_H

#include <microhttpd.h>

#include "gspard.h"
#include "site.h"

#define KEY_MAX_GS 512
#define REST_MAX 1024

struct answer {
	int code;
	int outcome;
	uint32_t retry_ms;
	int status;
	struct str type;
	struct str body;
	struct str heads; /* of the target, to be passed on: lines with CRLF */
	char target[NAME_MAX_GS];
	uint64_t fence;
};

struct call {
	struct call *next; /* in the list of slow.c */
	struct call **link;
	usec read_by;
	int say;
	struct MHD_Connection *conn;
	int fd;
	int ended; /* the connection is closed for reading, by us */
	char *uri;
	int started;
	int refused; /* a result code found before the body was read */
	int too_large;
	int submitted;
	int answered;
	size_t body_max;
	char method[16];
	char service[NAME_MAX_GS];
	char key[KEY_MAX_GS + 1];
	char rest[REST_MAX + 1];
	char idkey[128];
	char caller[128];
	char type[128];
	struct str body;
	int ticket;
	int left_ms;
	/* Read by the platform's form only. */
	struct shared *site; /* holds the rule */
	const struct rule *rule;
	struct str heads; /* to be passed on: lines with CRLF */
	char id[128];	  /* of the request, by its caller */
	int key_number;	  /* of a keyed service; -1 is none */
	struct answer answer;
};

/* door.c: ends a call; the router does not touch it afterwards. */
void call_end(struct call *);
int call_gone(const struct call *);
int door_inflight(void);
int door_connections(struct kernel *);
void door_shut(struct kernel *);
void door_end_idle(struct kernel *);
void door_bar(struct kernel *);

#endif
