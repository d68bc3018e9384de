/*
 * Which heads of requests, and header lines of answers, can be passed on as
 * they were understood (RFC 9110, 5.1 and 5.5; RFC 9112, 2.2, 3.2, 5.1
 * and 6.3).
 */
#ifndef FIELDS_H
#define FIELDS_H

#include <stddef.h>

/* What the headers of one request have shown. */
struct fields {
	int lengths; /* number of Content-Length headers */
	int codings; /* number of Transfer-Encoding headers */
	int hosts;   /* number of Host headers */
	int invalid;
};

int fields_token_ok(const char *, size_t n);
int fields_value_ok(const char *, size_t n);
int fields_line_ok(const char *, size_t n);
int fields_target_ok(const char *, size_t n);
void fields_add(struct fields *, const char *name, size_t nname,
    const char *value, size_t nvalue);
int fields_ok(const struct fields *);

#endif
