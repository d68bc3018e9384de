/* A small HTTP server for the stand-ins, with one thread per connection. */
#ifndef WEB_H
#define WEB_H

#include <time.h>

#include <microhttpd.h>

#include "str.h"

/* Maximum of headers that web_add can add to an answer. */
#define WEB_HEADS 6

struct web_req {
	struct MHD_Connection *conn;
	int nth; /* number on its connection, from 1; 0 if unknown */
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
	/* Close the connection without an answer. */
	int drop;
	/* If not 0, end the body after so many bytes, before its
	 * Content-Length. */
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
