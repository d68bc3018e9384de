#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>

#include "gsparctl.h"

#define CALL_TIMEOUT_MS 2000L
/* Largest body of an answer, in bytes. */
#define ANSWER_MAX (32u * 1024 * 1024)

/* Appends to the body; called by curl. */
static size_t
on_body(char *p, size_t n, size_t m, void *arg)
{
	struct reply *r = arg;

	return (framing_collect(&r->framing, &r->body, p, n * m));
}

/* Takes the object's version from its header. */
static void
read_header(struct reply *r, const char *p, size_t len)
{
	char num[32];

	if (len > 8 && len < sizeof(num) + 8 &&
	    strncasecmp(p, "Version:", 8) == 0) {
		memcpy(num, p + 8, len - 8);
		num[len - 8] = '\0';
		r->version = strtoul(num, NULL, 10);
	}
}

/* Reads the headers of the answer's own head; called by curl. */
static size_t
on_header(char *p, size_t n, size_t m, void *arg)
{
	struct reply *r = arg;
	enum framing_line line = framing_line(&r->framing, p, n * m);

	if (line == FRAMING_FIELD)
		read_header(r, p, n * m);
	return (line == FRAMING_INVALID ? 0 : n * m);
}

/*
 * Sends a request.  r->status is 0 if there was no whole response.  If base is
 * not negative, the request is made conditional on that version of the object.
 * The caller frees r->body.
 */
void
web_call(struct reply *r, const char *method, const char *url, const char *body,
    size_t n, long base)
{
	struct curl_slist *headers = NULL;
	char line[64];
	CURL *c;

	memset(r, 0, sizeof(*r));
	framing_init(&r->framing, ANSWER_MAX, ANSWER_MAX, 0);
	c = curl_easy_init();
	if (c == NULL)
		return;
	if (base >= 0) {
		snprintf(line, sizeof(line), "If-Version: %ld", base);
		headers = curl_slist_append(headers, line);
	}
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_USERAGENT, "gsparctl");
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	if (body != NULL) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)n);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
	}
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, r);
	if (framing_is_whole(&r->framing, curl_easy_perform(c) == CURLE_OK))
		r->status = r->framing.status;
	curl_slist_free_all(headers);
	curl_easy_cleanup(c);
}

/* Gets JSON from a host.  Returns NULL after printing an error. */
json_t *
web_json(const char *addr, const char *path)
{
	struct reply r;
	char url[1024];
	json_t *o = NULL;

	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	web_call(&r, "GET", url, NULL, 0, -1);
	if (r.status == 200)
		o = json_loadb(
		    r.body.p == NULL ? "" : r.body.p, r.body.n, 0, NULL);
	if (o == NULL && r.status == 0)
		fprintf(stderr, "gsparctl: %s does not answer\n", addr);
	else if (o == NULL)
		fprintf(stderr, "gsparctl: %s answered %d to %s: %s\n", addr,
		    r.status, path, r.body.p == NULL ? "" : r.body.p);
	str_free(&r.body);
	return (o);
}

/* Returns text escaped for a URL; the caller frees it. */
char *
web_escape(const char *s)
{
	char *e = curl_easy_escape(NULL, s, 0), *copy;

	copy = strdup(e == NULL ? "" : e);
	curl_free(e);
	return (copy);
}
