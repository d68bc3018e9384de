/* The native store: versions in headers, values as raw bodies. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "store.h"

/* Encodes a call for the HTTP client. */
static void
native_request(const struct store *st, const char *addr, struct store_http *h)
{
	static const char *const url_formats[] = {
	    [STORE_GET] = "http://%s/v1/objects/%s",
	    [STORE_PUT] = "http://%s/v1/objects/%s",
	    [STORE_LIST] = "http://%s/v1/list/%s",
	    [STORE_HOSTS] = "http://%s/v1/hosts",
	    [STORE_WATCH] = "http://%s/v1/list/%s",
	    [STORE_DELETE] = "http://%s/v1/objects/%s",
	};
	char url[sizeof(st->path) + ADDR_MAX_GS + 32];
	int n;

	n = snprintf(url, sizeof(url), url_formats[st->op], addr, st->path);
	str_set(&h->url, url, (size_t)n);
	h->method = st->op == STORE_PUT ? "PUT" : "GET";
	if (st->op != STORE_PUT)
		return;
	snprintf(h->header, sizeof(h->header), "If-Version: %llu",
	    (unsigned long long)st->base);
	str_set(&h->body, st->body.p, st->body.n);
}

/* Reads the version from a header line of the response. */
static void
native_header(struct store *st, const char *p, size_t n)
{
	char line[64];

	if (n <= 8 || n >= sizeof(line) || strncasecmp(p, "Version:", 8) != 0)
		return;
	memcpy(line, p + 8, n - 8);
	line[n - 8] = '\0';
	st->version = strtoull(line, NULL, 10);
}

/* Maps the HTTP status to a result. */
static void
native_response(struct store *st)
{
	switch (st->status) {
	case 200:
		st->result = STORE_DONE;
		break;
	case 404:
		st->result = STORE_NOT_FOUND;
		break;
	case 412:
		st->result = STORE_CONFLICT;
		break;
	default:
		st->result = STORE_REFUSED;
		break;
	}
}

const struct store_form native_form = {
    native_request, native_header, native_response};
