/*
 * The wire format of requests and orders to targets, as a table of functions
 * that each kind of platform fills in.
 */
#ifndef TARGET_OPS_H
#define TARGET_OPS_H

#include <curl/curl.h>

#include "call.h"
#include "keys.h"
#include "load.h"

/* The answer to one request or order. */
struct reply {
	int status;
	struct str headers; /* forwarded to the caller: lines with CRLF */
	struct str body;
	char id[128];		    /* of the request it answers, or "" */
	char instance[NAME_MAX_GS]; /* of the target, or "" */
	char handover[NAME_MAX_GS]; /* of a release */
	int is_signed;		    /* has the target's signature */
	int not_run;		    /* the target states that it did not run */
	struct load load;
	double limit;	  /* of the target, in requests a second from all hosts;
			     negative if it names none */
	int leaving;	  /* the target states that it is leaving */
	usec retry_after; /* the target wants no requests for so long */
	usec keep_alive; /* it keeps an idle connection so long; 0 if unknown */
	char unknown_header[32]; /* name of the last one not known, or "" */
	int closes;		 /* the target closes the connection */
};

/* What an answer means. */
enum reply_kind {
	REPLY_ANSWER,	 /* to be forwarded to the caller */
	REPLY_FAILURE,	 /* the same, and the target failed */
	REPLY_REFUSED,	 /* did not run: the target is full or leaving */
	REPLY_NOT_OWNER, /* did not run: another target, or not the key's owner
			  */
	REPLY_FOREIGN	 /* not an answer to this request */
};

/* One kind of target. */
struct target_ops {
	/* Returns the headers of a request; left_ms is the time until its
	 * deadline.  The caller frees them. */
	struct curl_slist *(*request)(
	    const struct call *, const char *target, int left_ms);
	/* Parses one header line of an answer. */
	void (*head)(struct reply *, const char *line, size_t n);
	/* Classifies an answer to a request by what it states. */
	enum reply_kind (*kind)(const struct reply *);
	/* Formats the header that names the target for which a call is meant.
	 */
	void (*expect)(const char *target, char *line, size_t size);
	/* Formats the header that bears an id, which the answer echoes. */
	void (*id)(const char *id, char *line, size_t size);
	/* Returns the path of an order and formats its body. */
	const char *(*order)(const struct key_order *, char *body, size_t size);
};

#endif
