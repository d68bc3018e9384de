/*
 * How requests and orders to targets look on the wire.  A table, for the
 * platform has its own form.
 */
#ifndef TARGET_OPS_H
#define TARGET_OPS_H

#include <curl/curl.h>

#include "call.h"
#include "keys.h"
#include "load.h"

/* What came back for one request or order. */
struct reply {
	int status;
	struct str heads; /* to be passed on: lines with CRLF */
	struct str body;
	int too_large;
	char id[128];		    /* of the request it answers, or "" */
	char instance[NAME_MAX_GS]; /* of the target, where it says so */
	char handover[NAME_MAX_GS]; /* of a release */
	int is_signed;		    /* bears the target's signature */
	int not_run;		    /* the target says that it did not run */
	struct load load;
	double limit; /* requests a second that it takes from all hosts
			 together; negative where it names none */
	int closes;   /* the target closes the connection */
};

/* What an answer means. */
enum reply_kind {
	REPLY_ANSWER,  /* the target's own, to be passed on */
	REPLY_FAILURE, /* the same, and says that the target failed */
	REPLY_REFUSED, /* the target did not run it: it is full or leaving */
	REPLY_MISSENT, /* the target does not own the key, or is another */
	REPLY_FOREIGN  /* no answer to this request */
};

struct target_ops {
	/* The headers of a request to a target. */
	struct curl_slist *(*request)(
	    const struct call *, const char *target, int left_ms);
	/* Reads one header line of an answer. */
	void (*head)(struct reply *, const char *line, size_t n);
	/* What the answer to a request is. */
	enum reply_kind (*kind)(const struct reply *, const struct call *);
	/* The header that names the target which is to take a call. */
	void (*expect)(const char *target, char *line, size_t size);
	/* The path and body of an order. */
	const char *(*order)(const struct key_order *, char *body, size_t size);
};

#endif
