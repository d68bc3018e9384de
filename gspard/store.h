/*
 * Calls to the platform's store.  How they look on the wire is a table, for
 * there is more than one kind of store; who calls does not see which.
 */
#ifndef STORE_H
#define STORE_H

#include <jansson.h>

#include "gspard.h"

/* A call as the HTTP client needs it. */
struct store_http {
	const char *method;
	char url[CELL_NAME_MAX + 400];
	char head[64];	 /* one more header line, or "" */
	struct str body; /* freed by the client */
};

/* One kind of store. */
struct store_form {
	/* Fills in the call. */
	void (*request)(
	    const struct store *, const char *addr, struct store_http *);
	/* Reads one header line of an answer. */
	void (*head)(struct store *, const char *line, size_t n);
	/* Reads the answer, whose status and body stand in the call. */
	void (*answer)(struct store *);
};

extern const struct store_form native_form;

#endif
