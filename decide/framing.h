/*
 * The framing of an answer in HTTP/1.1 (RFC 9112, sections 2, 6 and 8): follows
 * the lines and the body that a reader delivers, and decides whether the answer
 * is whole.
 */
#ifndef FRAMING_H
#define FRAMING_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Limit on all header lines of an answer in bytes: those of interim answers, of
 * its own head, and those that follow its body. */
#define FRAMING_HEAD_MAX 65536

/* What a line is. */
enum framing_line {
	FRAMING_FIELD,	  /* a header of the answer's own head */
	FRAMING_HEAD_END, /* ends that head; the body follows */
	FRAMING_IGNORED,  /* any other line of an answer */
	FRAMING_INVALID	  /* the bytes are no answer, or are too many */
};

enum framing_state {
	FRAMING_AT_STATUS, /* a status line is due */
	FRAMING_IN_HEAD,
	FRAMING_IN_BODY,
	FRAMING_BROKEN
};

struct framing {
	enum framing_state state;
	int to_head;	  /* answers a HEAD request, so it has no body */
	size_t body_max;  /* limit on the body in bytes ... */
	size_t open_max;  /* ... if its length was not stated */
	int status;	  /* of the answer that was begun last; 0 if none */
	int chunked;	  /* the body is sent in chunks */
	int has_length;	  /* its length was stated ... */
	uint64_t length;  /* ... in bytes */
	size_t head_size; /* bytes of header lines so far */
	size_t body_size; /* bytes of the body so far */
	int too_large;	  /* the body is over its limit */
};

void framing_init(
    struct framing *, size_t body_max, size_t open_max, int to_head);
enum framing_line framing_line(struct framing *, const char *line, size_t n);
int framing_body(struct framing *, size_t n);
size_t framing_collect(
    struct framing *, struct str *body, const char *p, size_t n);
int framing_is_whole(const struct framing *, int ended);

#endif
