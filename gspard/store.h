/*
 * Encoding of calls to the platform's store.  There is more than one kind of
 * store; a table of functions hides the kind from the callers.
 */
#ifndef STORE_H
#define STORE_H

#include <jansson.h>

#include "gspard.h"

/* A call as the HTTP client needs it. */
struct store_http {
	const char *method;
	struct str url;	 /* freed by the client, as is the body */
	char header[64]; /* an additional header line, or "" */
	struct str body;
};

/* Functions for one kind of store. */
struct store_form {
	/* Encodes a call for the HTTP client. */
	void (*request)(
	    const struct store *, const char *addr, struct store_http *);
	/* Reads one header line of a response. */
	void (*header)(struct store *, const char *line, size_t n);
	/* Sets the result from the response's status and body in the call. */
	void (*response)(struct store *);
};

extern const struct store_form native_form;

#endif
