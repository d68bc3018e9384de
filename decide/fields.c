#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "fields.h"

/* True if n bytes are a token: a method or the name of a header. */
int
fields_token_ok(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!isalnum((unsigned char)p[i]) &&
		    (p[i] == '\0' || strchr("!#$%&'*+-.^_`|~", p[i]) == NULL))
			return (0);
	}
	return (n > 0);
}

/* True if n bytes are a request target without spaces or control characters: a
 * reader of the request line could take the part before one for the whole. */
int
fields_target_ok(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if ((unsigned char)p[i] <= ' ' || p[i] == 0x7f)
			return (0);
	}
	return (n > 0);
}

/* True if a header's value has no control characters but tabs: some readers
 * take a single carriage return for the end of the line. */
int
fields_value_ok(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (((unsigned char)p[i] < ' ' && p[i] != '\t') || p[i] == 0x7f)
			return (0);
	}
	return (1);
}

/* True if n bytes are a header line: a name, a colon right behind it, a value
 * and the line's end. */
int
fields_line_ok(const char *line, size_t n)
{
	const char *colon = memchr(line, ':', n);
	size_t k;

	if (n > 0 && line[n - 1] == '\n')
		n--;
	if (n > 0 && line[n - 1] == '\r')
		n--;
	k = colon == NULL ? n : (size_t)(colon - line);
	return (k < n && fields_token_ok(line, k) &&
	    fields_value_ok(line + k + 1, n - k - 1));
}

/* True if n bytes are the given name, in any case. */
static int
is_name(const char *p, size_t n, const char *name)
{
	return (n == strlen(name) && strncasecmp(p, name, n) == 0);
}

/*
 * True if n bytes begin with the given name, and go on.  The HTTP library joins
 * a line that continues a header without a value to the name.
 */
static int
extends_name(const char *p, size_t n, const char *name)
{
	size_t k = strlen(name);

	return (n > k && strncasecmp(p, name, k) == 0);
}

/* True if n bytes are a number without a sign. */
static int
is_number(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!isdigit((unsigned char)p[i]))
			return (0);
	}
	return (n > 0);
}

/* Adds a header of a request. */
void
fields_add(struct fields *f, const char *name, size_t nname, const char *value,
    size_t nvalue)
{
	if (!fields_token_ok(name, nname) || !fields_value_ok(value, nvalue) ||
	    extends_name(name, nname, "Content-Length") ||
	    extends_name(name, nname, "Transfer-Encoding"))
		f->invalid = 1;
	if (is_name(name, nname, "Content-Length")) {
		f->lengths++;
		f->invalid |= !is_number(value, nvalue);
	} else if (is_name(name, nname, "Transfer-Encoding")) {
		f->codings++;
		f->invalid |= !is_name(value, nvalue, "chunked");
	} else if (is_name(name, nname, "Host"))
		f->hosts++;
}

/*
 * True if the headers mean the same to every reader.  With two lengths, or a
 * length and a coding, another reader may find another end of the body, and
 * take the rest for a request.
 */
int
fields_ok(const struct fields *f)
{
	return (!f->invalid && f->lengths + f->codings <= 1 && f->hosts <= 1);
}
