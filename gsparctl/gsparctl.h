/* Declarations shared by the commands of gsparctl. */
#ifndef GSPARCTL_H
#define GSPARCTL_H

#include <jansson.h>

#include "framing.h"
#include "result.h"
#include "str.h"

/* Exit codes; documented in gsparctl(8). */
enum {
	EXIT_OK = 0,
	EXIT_USAGE = 1,
	EXIT_NO_ANSWER = 2,
	EXIT_CONFLICT = 3,
	EXIT_INVALID = 4,
	EXIT_NOT_CONFIRMED = 5,
	EXIT_NOT_FOUND = 6
};

struct options {
	const char *admin;    /* admin address of the host to ask */
	const char *platform; /* the platform's address, for edits */
	int json;
	int wait;
	long base;	   /* version an edit began from; -1 if not given */
	const char *match; /* print only events that contain this */
	const char *args[4];
	int nargs;
};

/* An HTTP response; the status is 0 if there was none. */
struct reply {
	int status;
	unsigned long version;
	struct framing framing;
	struct str body;
};

/* web.c */
void web_call(struct reply *, const char *method, const char *url,
    const char *body, size_t, long base);
json_t *web_json(const char *addr, const char *path);
char *web_escape(const char *);

/* status.c */
int cmd_status(const struct options *);
int cmd_owner(const struct options *);
json_t *get_hosts(const struct options *);

/* timeline.c */
int cmd_timeline(const struct options *);

/* catalogue.c */
int cmd_catalogue(const struct options *);

#endif
