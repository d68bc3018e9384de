/* Parses and validates the request line and headers of callers' requests. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "door_ops.h"

#define PATH_PREFIX "/v1/"
#define TICKET_REST "/ticket"
#define DEADLINE_MAX_MS 600000

/* Returns a header of the request, or NULL. */
static const char *
request_header(const struct call *c, const char *name)
{
	return (MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, name));
}

/* Returns the value of a hexadecimal digit, or -1. */
static int
hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return (c - '0');
	if (c >= 'a' && c <= 'f')
		return (c - 'a' + 10);
	return (c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1);
}

/*
 * Decodes a percent-encoded key of n bytes, so that all encodings of a key give
 * the same shard.  Returns 0, or -1 if it is empty, too long, malformed or
 * contains a control character or a slash.
 */
static int
decode_key(const char *p, size_t n, char *out)
{
	size_t i, k = 0;
	int c;

	for (i = 0; i < n; i++) {
		c = (unsigned char)p[i];
		if (c == '%') {
			if (i + 2 >= n || hex_digit(p[i + 1]) < 0 ||
			    hex_digit(p[i + 2]) < 0)
				return (-1);
			c = hex_digit(p[i + 1]) * 16 + hex_digit(p[i + 2]);
			i += 2;
		}
		if (c < ' ' || c == '/' || c == 0x7f || k == KEY_MAX_GS)
			return (-1);
		out[k++] = (char)c;
	}
	out[k] = '\0';
	return (k == 0 ? -1 : 0);
}

/* Splits the URI into service, key and rest; returns a result code. */
static int
split_uri(struct call *c)
{
	const char *p, *end;
	size_t n;

	if (strncmp(c->uri, PATH_PREFIX, strlen(PATH_PREFIX)) != 0)
		return (GS_NO_SERVICE);
	p = c->uri + strlen(PATH_PREFIX);
	end = p + strcspn(p, "/?");
	n = (size_t)(end - p);
	if (!name_ok(p, n))
		return (GS_NO_SERVICE);
	memcpy(c->service, p, n);
	c->service[n] = '\0';
	if (*end != '/')
		return (GS_BAD_KEY);
	p = end + 1;
	end = p + strcspn(p, "/?");
	if (decode_key(p, (size_t)(end - p), c->key) != 0)
		return (GS_BAD_KEY);
	if (strlen(end) > REST_MAX)
		return (GS_BAD_REQUEST);
	for (p = end; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || (unsigned char)*p >= 0x7f)
			return (GS_BAD_REQUEST);
	}
	name_copy(c->rest, sizeof(c->rest), end);
	c->ticket = strcmp(c->rest, TICKET_REST) == 0;
	return (GS_OK);
}

/* Reads the deadline header; the entry's is the default.  A result code. */
static int
read_deadline(struct call *c, const struct entry *e)
{
	const char *s = request_header(c, "Gspar-Deadline-Ms");
	char *end;
	long n;

	c->left_ms = e->deadline_ms;
	if (s == NULL)
		return (GS_OK);
	errno = 0;
	n = strtol(s, &end, 10);
	if (errno != 0 || end == s || *end != '\0' || n < 1 ||
	    n > DEADLINE_MAX_MS)
		return (GS_BAD_DEADLINE);
	c->left_ms = (int)n;
	return (GS_OK);
}

/* Copies a header if it is printable ASCII and fits; a result code. */
static int
copy_header(const struct call *c, const char *name, char *dst, size_t size)
{
	const char *s = request_header(c, name);
	size_t i;

	dst[0] = '\0';
	if (s == NULL)
		return (GS_OK);
	for (i = 0; s[i] != '\0'; i++) {
		if ((unsigned char)s[i] < ' ' || (unsigned char)s[i] > '~')
			return (GS_BAD_REQUEST);
	}
	return (name_copy(dst, size, s) == 0 ? GS_OK : GS_BAD_REQUEST);
}

/* Returns the catalogue entry of the call's service, or NULL. */
static const struct entry *
service_entry(const struct call *c, const struct catalogue *cat)
{
	int i;

	for (i = 0; i < cat->n; i++) {
		if (strcmp(cat->entries[i]->name, c->service) == 0)
			return (cat->entries[i]);
	}
	return (NULL);
}

/* Parses the head of a request; GS_OK, or the code to refuse it with. */
static int
call_parse(struct call *c, const void *active)
{
	const struct catalogue *cat = active;
	const struct entry *e;
	int code;

	if (strcmp(c->method, "GET") != 0 && strcmp(c->method, "POST") != 0 &&
	    strcmp(c->method, "PUT") != 0)
		return (GS_BAD_METHOD);
	if (cat == NULL)
		return (GS_NO_CATALOGUE);
	if ((code = split_uri(c)) != GS_OK)
		return (code);
	e = service_entry(c, cat);
	if (e == NULL)
		return (GS_NO_SERVICE);
	c->body_max = (size_t)e->body;
	if (c->body_length > c->body_max)
		return (GS_TOO_LARGE);
	if ((code = read_deadline(c, e)) != GS_OK ||
	    (code = copy_header(
		 c, "Idempotency-Key", c->idkey, sizeof(c->idkey))) != GS_OK ||
	    (code = copy_header(
		 c, "Gspar-Caller", c->caller, sizeof(c->caller))) != GS_OK ||
	    (code = copy_header(c, "Content-Type", c->type, sizeof(c->type))) !=
		GS_OK)
		return (code);
	if (!e->class->idempotent && !c->ticket && c->idkey[0] == '\0')
		return (GS_NEED_TICKET);
	return (GS_OK);
}

/* Formats when to retry in whole seconds. */
static void
retry_text(char *buf, size_t size, uint32_t ms)
{
	snprintf(buf, size, "%u", (ms + 999) / 1000);
}

/* Adds the result code and when to retry. */
static void
error_headers(struct MHD_Response *r, int code, uint32_t ms)
{
	char num[16];

	snprintf(num, sizeof(num), "%d", code);
	MHD_add_response_header(r, "Gspar-Error", num);
	if (ms > 0) {
		retry_text(num, sizeof(num), ms);
		MHD_add_response_header(r, "Retry-After", num);
	}
}

/* Adds the content type, the target that answered and its fence. */
static void
target_headers(struct MHD_Response *r, const struct answer *a)
{
	char num[24];

	if (a->type.n > 0)
		MHD_add_response_header(r, "Content-Type", a->type.p);
	if (a->target[0] != '\0') {
		MHD_add_response_header(r, "Gspar-Target", a->target);
		snprintf(
		    num, sizeof(num), "%llu", (unsigned long long)a->fence);
		MHD_add_response_header(r, "Gspar-Fence", num);
	}
}

const struct door_ops native_door = {
    call_parse, retry_text, error_headers, target_headers, 2, "/health"};
