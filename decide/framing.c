#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "fields.h"
#include "framing.h"

/* Prepares for an answer with a body of at most body_max bytes, or open_max if
 * its length is not stated; to_head is true for the answer to a HEAD request.
 */
void
framing_init(struct framing *f, size_t body_max, size_t open_max, int to_head)
{
	memset(f, 0, sizeof(*f));
	f->state = FRAMING_AT_STATUS;
	f->body_max = body_max;
	f->open_max = open_max;
	f->to_head = to_head;
}

/* Records that the bytes are no answer. */
static enum framing_line
invalid(struct framing *f)
{
	f->state = FRAMING_BROKEN;
	return (FRAMING_INVALID);
}

/*
 * Parses a status line; returns its status, or -1 if it is invalid.  101 is
 * invalid too: no request asks to change the protocol.
 */
static int
parse_status(const char *line, size_t n)
{
	static const char version[] = "HTTP/1.";
	const size_t k = sizeof(version) - 1; /* of the minor version */
	int status;

	if (n < k + 6 || memcmp(line, version, k) != 0 ||
	    !isdigit((unsigned char)line[k]) || line[k + 1] != ' ' ||
	    !isdigit((unsigned char)line[k + 2]) ||
	    !isdigit((unsigned char)line[k + 3]) ||
	    !isdigit((unsigned char)line[k + 4]) ||
	    memchr(" \r\n", line[k + 5], 3) == NULL)
		return (-1);
	status = (line[k + 2] - '0') * 100 + (line[k + 3] - '0') * 10 +
	    line[k + 4] - '0';
	return (status < 100 || status > 599 || status == 101 ? -1 : status);
}

/* Begins an answer with its status line. */
static enum framing_line
begin(struct framing *f, const char *line, size_t n)
{
	f->status = parse_status(line, n);
	if (f->status < 0)
		return (invalid(f));
	f->state = FRAMING_IN_HEAD;
	f->chunked = f->has_length = 0;
	f->length = 0;
	return (FRAMING_IGNORED);
}

/* Returns the value of the line if it is the named header, else NULL; sets its
 * length, without blanks around it. */
static const char *
value_of(const char *line, size_t n, const char *name, size_t *size)
{
	const char *p = header_line_value(line, n, name, size);

	while (p != NULL && *size > 0 &&
	    (p[*size - 1] == ' ' || p[*size - 1] == '\t'))
		(*size)--;
	return (p);
}

/* Parses a Content-Length; 0, or -1 if it is invalid or contradicts an earlier
 * one. */
static int
parse_length(struct framing *f, const char *value, size_t n)
{
	uint64_t length = 0;
	size_t i;

	if (n == 0)
		return (-1);
	for (i = 0; i < n; i++) {
		if (!isdigit((unsigned char)value[i]) ||
		    length > (UINT64_MAX - 9) / 10)
			return (-1);
		length = length * 10 + (uint64_t)(value[i] - '0');
	}
	if (f->has_length && f->length != length)
		return (-1);
	f->has_length = 1;
	f->length = length;
	return (0);
}

/*
 * Handles a header.  A line that another reader may take for a different header
 * is invalid: one that continues the line before, and one with a blank or a
 * control character in its name.  To leave such a line out would leave the
 * answer without what its sender meant by it, such as the length of its body.
 * The only transfer coding is that in chunks: no request accepts another.
 */
static enum framing_line
field(struct framing *f, const char *line, size_t n)
{
	const char *value;
	size_t size;

	if (!fields_line_ok(line, n))
		return (invalid(f));
	value = value_of(line, n, "Content-Length", &size);
	if (value != NULL && parse_length(f, value, size) != 0)
		return (invalid(f));
	value = value_of(line, n, "Transfer-Encoding", &size);
	if (value != NULL) {
		if (f->chunked || size != strlen("chunked") ||
		    strncasecmp(value, "chunked", size) != 0)
			return (invalid(f));
		f->chunked = 1;
	}
	return (f->status < 200 ? FRAMING_IGNORED : FRAMING_FIELD);
}

/* True if the answer has no body, whatever its headers say. */
static int
has_no_body(const struct framing *f)
{
	return (f->to_head || f->status == 204 || f->status == 304);
}

/* Handles the empty line that ends a head. */
static enum framing_line
end_head(struct framing *f)
{
	if (f->status < 200) {
		f->state = FRAMING_AT_STATUS;
		return (FRAMING_IGNORED);
	}
	/* Two lengths at once are a sign of an attack on whoever reads the
	 * other one. */
	if (f->chunked && f->has_length)
		return (invalid(f));
	f->state = FRAMING_IN_BODY;
	if (!has_no_body(f) && f->has_length && f->length > f->body_max)
		f->too_large = 1;
	return (f->too_large ? FRAMING_INVALID : FRAMING_HEAD_END);
}

/* Follows a header line of n bytes, with its line end; returns what it is. */
enum framing_line
framing_line(struct framing *f, const char *line, size_t n)
{
	f->head_size += n;
	if (f->state == FRAMING_BROKEN || n == 0 ||
	    f->head_size > FRAMING_HEAD_MAX)
		return (invalid(f));
	if (f->state == FRAMING_IN_BODY)
		return (FRAMING_IGNORED);
	if (f->state == FRAMING_AT_STATUS)
		return (begin(f, line, n));
	if (line[0] == '\r' || line[0] == '\n')
		return (end_head(f));
	return (field(f, line, n));
}

/* Counts n bytes of the body; 0, or -1 if the answer is to be read no further.
 */
int
framing_body(struct framing *f, size_t n)
{
	size_t max = f->has_length ? f->body_max : f->open_max;

	if (f->state != FRAMING_IN_BODY || f->too_large)
		return (-1);
	if (n > max - f->body_size) {
		f->too_large = 1;
		return (-1);
	}
	f->body_size += n;
	return (0);
}

/* Appends n bytes of the body; returns n, or 0 if the answer is to be read no
 * further or memory runs out. */
size_t
framing_collect(struct framing *f, struct str *body, const char *p, size_t n)
{
	return (framing_body(f, n) == 0 && str_add(body, p, n) == 0 ? n : 0);
}

/*
 * Returns true if the answer is whole.  ended is true if its reader got an end
 * without an error: the last chunk, the stated length, or the orderly end of
 * the connection, which ends an answer without a length.  A reader may also
 * report such an end within the head, where no length is known yet.
 */
int
framing_is_whole(const struct framing *f, int ended)
{
	if (!ended || f->state != FRAMING_IN_BODY || f->too_large)
		return (0);
	return (has_no_body(f) || !f->has_length || f->body_size == f->length);
}
