/* A small HTTP server for the stand-ins, with one thread per connection. */
#ifndef WEB_H
#define WEB_H

#include <time.h>

#include <microhttpd.h>

#include "str.h"

/* Maximum of headers that web_add_header can add to an answer. */
#define WEB_HEADERS_MAX 6
/* Maximum of callers that web_cut can cut off. */
#define WEB_CUT_MAX 64

/* How callers are cut off. */
enum web_cut {
	WEB_CUT_SILENT, /* nothing from them arrives */
	WEB_CUT_RESET,	/* their connections are reset, new ones are closed */
	WEB_CUT_NEW	/* only new ones are closed */
};

struct web_request {
	struct MHD_Connection *conn;
	int request_number; /* number on its connection, from 1; 0 if unknown */
	const char *method;
	const char *path;
	struct str body;
};

struct web_answer {
	int status;
	struct str body;
	char version[32];
	const char *header_name;
	const char *header_value;
	struct {
		const char *name;
		char value[128];
	} headers[WEB_HEADERS_MAX];
	int nheaders;
	/* Close the connection without an answer. */
	int drop;
	/* If not 0, end the body after this many bytes, before its
	 * Content-Length. */
	size_t truncate_at;
	/* If not empty, `raw` is sent in place of the answer, then `rest` after
	 * a pause, once or again and again until the caller closes the
	 * connection. */
	struct str raw;
	int pause_ms;
	struct str rest;
	int repeat;
};

typedef void (*web_handler)(const struct web_request *, struct web_answer *);

struct MHD_Daemon *web_start(const char *addr, web_handler);
void web_cut(struct MHD_Daemon *, const char *from, enum web_cut);
int web_run_pair(int argc, char **argv, const char *doc, web_handler data,
    web_handler control);
const char *web_arg(const struct web_request *, const char *);
const char *web_header(const struct web_request *, const char *);
void web_send_extra(const struct web_request *, const char *answer);
void web_break_head(struct web_answer *);
void web_alter_head(
    struct web_answer *, const char *status, const char *header);
void web_halt_body(struct web_answer *, int pause_ms);
void web_repeat(struct web_answer *, const char *how);
void web_add_header(struct web_answer *, const char *name, const char *value);
long web_parse_number(const char *, long);
void web_deadline(struct timespec *, long ms);

#endif
