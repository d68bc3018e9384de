/* A caller's request, from the door through the router and back. */
#ifndef CALL_H
#define CALL_H

#include <microhttpd.h>

#include "gspard.h"

#define KEY_MAX_GS 512
#define REST_MAX 1024

struct answer {
	int code;
	int outcome;
	uint32_t retry_ms;
	int status;
	struct str type;
	struct str body;
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
	char *uri;
	int started;
	int refused; /* a result code found before the body was read */
	int too_large;
	int submitted;
	int answered;
	size_t body_max;
	char method[8];
	char service[NAME_MAX_GS];
	char key[KEY_MAX_GS + 1];
	char rest[REST_MAX + 1];
	char idkey[128];
	char caller[128];
	char type[128];
	struct str body;
	int ticket;
	int left_ms;
	struct answer answer;
};

/* door.c: ends a call; the router does not touch it afterwards. */
void call_end(struct call *);
int call_gone(const struct call *);
int call_parse(struct call *, const struct catalogue *);
int door_inflight(void);
void door_shut(struct kernel *);
void door_bar(struct kernel *);

#endif
