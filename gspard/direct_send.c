/* One send of a request to a target: the HTTP transfer and what it tells. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "direct.h"
#include "sockopt.h"

/* An answer's body beyond this is not held in memory. */
#define ANSWER_MAX (48u * 1024 * 1024)
/* A target that does not take a connection in this time is not there: a new
 * one takes about 1 ms and the way to and fro. */
#define CONNECT_MS 300
/* Kept connections idle for longer are not used: targets close them after
 * some seconds, and what is sent just then is lost. */
#define IDLE_S 4L
#define IDLE_ONCE_S 2L
/* What the way back takes, so that a target gives up before the caller. */
#define WAY_MS 3

/* Collects the answer's body. */
static size_t
on_body(char *p, size_t size, size_t n, void *arg)
{
	struct attempt *a = arg;

	if (a->reply.body.n + size * n > a->reply.body_max) {
		a->reply.too_large = 1;
		return (0);
	}
	return (str_add(&a->reply.body, p, size * n) == 0 ? size * n : 0);
}

/* Passes a header line on to the target's form. */
static size_t
on_head(char *p, size_t size, size_t n, void *arg)
{
	struct attempt *a = arg;

	a->ops->head(&a->reply, p, size * n);
	return (size * n);
}

/*
 * Called just before the request goes out, and once more if the HTTP client
 * wants to send it again because a kept connection died unanswered.  The
 * target may have run the first: a reservation would be made twice.  So the
 * second is refused, and whether to send again is decided here alone.
 */
static int
on_send(void *arg, char *ip, char *local, int port, int local_port)
{
	struct attempt *a = arg;

	if (a->begun) {
		a->resent = 1;
		return (CURL_PREREQFUNC_ABORT);
	}
	a->begun = 1;
	return (CURL_PREREQFUNC_OK);
}

/* A transfer handle, used again where one is free. */
static CURL *
easy_get(struct direct *d)
{
	if (d->nkept > 0)
		return (d->kept[--d->nkept]);
	return (curl_easy_init());
}

/* Frees an attempt; an open one is cut, which tells the target to stop. */
static void
attempt_free(struct direct *d, struct attempt *a)
{
	curl_multi_remove_handle(d->multi, a->easy);
	if (d->nkept < EASY_KEPT) {
		curl_easy_reset(a->easy);
		d->kept[d->nkept++] = a->easy;
	} else
		curl_easy_cleanup(a->easy);
	curl_slist_free_all(a->heads);
	str_free(&a->reply.heads);
	str_free(&a->reply.body);
	free(a);
}

/* Sets what the transfer sends. */
static void
set_request(struct attempt *a, const struct call *c)
{
	char url[FLEET_ADDR + 16];

	snprintf(url, sizeof(url), "http://%s/", a->spot->addr);
	curl_easy_setopt(a->easy, CURLOPT_URL, url);
	curl_easy_setopt(a->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(a->easy, CURLOPT_REQUEST_TARGET, c->uri);
	if (c->body.n > 0) {
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)c->body.n);
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, c->body.p);
	} else if (strcmp(c->method, "POST") == 0 ||
	    strcmp(c->method, "PUT") == 0) {
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS, "");
	}
	if (strcmp(c->method, "HEAD") == 0)
		curl_easy_setopt(a->easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(a->easy, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->heads);
}

/* Sets how the transfer goes. */
static void
set_transfer(struct attempt *a, const struct pending *p, usec left)
{
	long ms = (long)(left / 1000);

	curl_easy_setopt(a->easy, CURLOPT_PRIVATE, p);
	curl_easy_setopt(a->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(a->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(a->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(a->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(a->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    ms < CONNECT_MS ? ms + 1 : CONNECT_MS);
	curl_easy_setopt(a->easy, CURLOPT_MAXAGE_CONN,
	    p->rule->idempotent ? IDLE_S : IDLE_ONCE_S);
	curl_easy_setopt(a->easy, CURLOPT_SOCKOPTFUNCTION, sockopt_alive);
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, on_head);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(a->easy, CURLOPT_PREREQDATA, a);
	/* What failed once is sent on a new connection: the kept ones may have
	 * died together. */
	if (p->tries > 0)
		curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Sends a request to a target; 0, or -1 without memory. */
int
attempt_start(struct direct *d, struct pending *p, struct spot *spot, usec now)
{
	struct attempt *a;
	usec left = p->deadline - now;

	a = calloc(1, sizeof(*a));
	if (a == NULL || (a->easy = easy_get(d)) == NULL) {
		free(a);
		return (-1);
	}
	a->spot = spot;
	a->sent = now;
	a->ops = d->ops;
	a->reply.running = -1;
	a->reply.body_max = ANSWER_MAX;
	a->heads =
	    d->ops->request(p->call, spot->id, (int)(left / 1000) - WAY_MS);
	set_request(a, p->call);
	set_transfer(a, p, left);
	p->at = a;
	dest_sent(&spot->dest);
	count_add(C_SENT, 1);
	curl_multi_add_handle(d->multi, a->easy);
	return (0);
}

/* Takes an attempt off its request; one under way is cut. */
void
attempt_drop(struct direct *d, struct pending *p)
{
	struct attempt *a = p->at;

	if (a == NULL)
		return;
	p->at = NULL;
	attempt_free(d, a);
}

/* Takes all transfers that ended. */
void
attempts_reap(struct direct *d, usec now)
{
	struct pending *p;
	CURLMsg *m;
	CURLcode res;
	long status;
	int left;

	while ((m = curl_multi_info_read(d->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		res = m->data.result;
		status = 0;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &p);
		curl_easy_getinfo(
		    m->easy_handle, CURLINFO_RESPONSE_CODE, &status);
		p->at->reply.status = (int)status;
		direct_ended(d, p, res, now);
	}
}
