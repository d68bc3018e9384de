/* A tiny HTTP server for the stand-ins: one thread a connection. */
#ifndef WEB_H
#define WEB_H

#include <time.h>

#include <microhttpd.h>

#include "str.h"

/* Headers that one answer may have beside the two above. */
#define WEB_HEADS 6

struct web_req {
	struct MHD_Connection *conn;
	int nth; /* on its connection; 1 is the first */
	const char *method;
	const char *path;
	struct str body;
};

struct web_ans {
	int status;
	struct str body;
	char version[32];
	const char *head_name;
	const char *head_value;
	struct {
		const char *name;
		char value[128];
	} heads[WEB_HEADS];
	int nheads;
	/* Closes the connection without an answer. */
	int drop;
	/* Ends the body after this many bytes, below the announced length. */
	size_t cut_at;
};

typedef void (*web_fn)(const struct web_req *, struct web_ans *);

struct MHD_Daemon *web_start(const char *addr, web_fn);
int web_pair(
    int argc, char **argv, const char *doc, web_fn data, web_fn control);
const char *web_arg(const struct web_req *, const char *);
const char *web_head(const struct web_req *, const char *);
void web_add(struct web_ans *, const char *name, const char *value);
long web_num(const char *, long);
void web_until(struct timespec *, long ms);

#endif
