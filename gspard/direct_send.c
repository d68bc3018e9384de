/* Attempts: the HTTP transfers that carry requests to targets. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "direct.h"
#include "excess.h"
#include "held.h"

/* Largest body of an answer, and of one whose length is not stated, which may
 * have no end, in bytes; larger ones are refused. */
#define ANSWER_MAX (48u * 1024 * 1024)
#define OPEN_ANSWER_MAX (16u * 1024 * 1024)
/* Limit on all bodies that are being received, in bytes. */
#define ANSWERS_MAX (48u * 1024 * 1024)
/* A target that does not accept a connection within this time is unreachable:
 * a connection takes one round trip and about 1 ms. */
#define CONNECT_MS 300
/* Connections that were idle for longer are not reused: targets close them
 * after some seconds, and a request sent at that moment is lost.  The lower
 * limit is for requests that are not idempotent. */
#define IDLE_MAX_S 4L
#define IDLE_MAX_ONCE_S 2L
/* The same as parts of the time that a target says to keep idle connections,
 * where requests of many hosts come to it: each host's are far apart. */
#define IDLE_PART 0.8
#define IDLE_PART_ONCE 0.4
/* Time allowed for the answer's way back, so that a target gives up before its
 * caller does. */
#define RETURN_MS 3

/* Returns a transfer handle, a cached one if there is any. */
static CURL *
easy_get(struct direct *d)
{
	if (d->nidle_easy > 0)
		return (d->idle_easy[--d->nidle_easy]);
	return (curl_easy_init());
}

/* Frees an attempt.  One in flight loses its connection, which tells the target
 * to stop. */
static void
attempt_free(struct direct *d, struct attempt *a)
{
	curl_multi_remove_handle(d->multi, a->t.easy);
	if (d->nidle_easy < IDLE_EASY_MAX) {
		curl_easy_reset(a->t.easy);
		d->idle_easy[d->nidle_easy++] = a->t.easy;
	} else
		curl_easy_cleanup(a->t.easy);
	transfer_free(&a->t);
	free(a);
}

/* Sets the method, target and body of the HTTP request. */
static void
set_request(struct attempt *a, const struct call *c)
{
	curl_easy_setopt(a->t.easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(a->t.easy, CURLOPT_REQUEST_TARGET, c->uri);
	if (c->body.n > 0) {
		curl_easy_setopt(a->t.easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)c->body.n);
		curl_easy_setopt(a->t.easy, CURLOPT_POSTFIELDS, c->body.p);
	} else if (strcmp(c->method, "POST") == 0 ||
	    strcmp(c->method, "PUT") == 0) {
		curl_easy_setopt(a->t.easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(a->t.easy, CURLOPT_POSTFIELDS, "");
	}
	if (strcmp(c->method, "HEAD") == 0)
		curl_easy_setopt(a->t.easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(a->t.easy, CURLOPT_CUSTOMREQUEST, c->method);
}

/* Returns the part of the time that a target keeps idle connections after which
 * a request does not use one. */
static usec
idle_max(usec keep_alive, int idempotent)
{
	double part = idempotent ? IDLE_PART : IDLE_PART_ONCE;
	usec least = (idempotent ? IDLE_MAX_S : IDLE_MAX_ONCE_S) * US_PER_SEC;
	usec max = (usec)(part * (double)keep_alive);

	return (max > least ? max : least);
}

/*
 * Limits how long the connection that a request uses may have been idle.
 * libcurl applies the limit of each transfer to all cached connections: where
 * they are to be kept for long, all transfers have the same, and a request that
 * must not use an old one opens its own.
 */
static void
limit_idle(const struct direct *d, struct attempt *a, const struct pending *p,
    usec now)
{
	const struct target_state *s = a->target;
	int idempotent = p->rule->idempotent;

	if (d->npools == 0) {
		curl_easy_setopt(a->t.easy, CURLOPT_MAXAGE_CONN,
		    idempotent ? IDLE_MAX_S : IDLE_MAX_ONCE_S);
		return;
	}
	curl_easy_setopt(a->t.easy, CURLOPT_MAXAGE_CONN,
	    (long)(idle_max(d->keep_alive, 1) / US_PER_SEC));
	if (now - s->answered_at > idle_max(s->keep_alive, idempotent))
		curl_easy_setopt(a->t.easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Sets the address, timeouts and connection reuse of the transfer. */
static void
set_transfer(
    struct direct *d, struct attempt *a, const struct pending *p, usec now)
{
	char url[FLEET_ADDR + 16];
	long ms = (long)((p->deadline - now) / 1000);

	snprintf(url, sizeof(url), "http://%s/", a->target->addr);
	transfer_set_options(&a->t, url, ms < CONNECT_MS ? ms + 1 : CONNECT_MS,
	    kernel_conf(d->s->kernel)->source);
	if (d->path.via[0] != '\0') {
		transfer_set_tunnel(&a->t, d->path.addr);
		a->via = 1;
		count_add(C_SENT_VIA, 1);
	}
	curl_easy_setopt(a->t.easy, CURLOPT_PRIVATE, p);
	limit_idle(d, a, p, now);
	/*
	 * A retry after a broken connection uses a new one, as the cached ones
	 * may have died together.  A retry after a refusal does not: a target
	 * with a long queue resets new connections, and the outcome would
	 * change from "not run" to "may have run".  With 8 hosts and 29 targets
	 * under heavy load this rule avoids about one failure in twenty; with
	 * 12 hosts and 35 targets it makes no difference.  While the way to the
	 * targets is doubted, a request that must not run twice uses a new one
	 * too: if it cannot be connected, it is known not to have run.  So does
	 * one without an id: only the first answer on a connection is known to
	 * be its own.
	 */
	if (p->ran > 0 || (!p->rule->idempotent && d->doubted_at != 0) ||
	    p->call->id[0] == '\0')
		curl_easy_setopt(a->t.easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Starts an attempt of a request; 0, or -1 if memory is exhausted. */
int
attempt_start(
    struct direct *d, struct pending *p, struct target_state *target, usec now)
{
	struct attempt *a;
	usec left = p->deadline - now;

	a = calloc(1, sizeof(*a));
	if (a == NULL || (a->t.easy = easy_get(d)) == NULL) {
		free(a);
		return (-1);
	}
	a->target = target;
	a->sent = now;
	transfer_init(&a->t, d->ops, ANSWER_MAX, OPEN_ANSWER_MAX,
	    strcmp(p->call->method, "HEAD") == 0);
	a->t.call = p->call;
	a->t.held = &d->answer_bytes;
	a->t.addr = hash_name(target->addr);
	a->t.sends = &p->sends;
	a->t.headers = d->ops->request(
	    p->call, target->id, (int)(left / 1000) - RETURN_MS);
	set_transfer(d, a, p, now);
	set_request(a, p->call);
	a->path_number = d->path_number;
	p->attempt = a;
	dest_sent(&target->dest, now);
	count_add(C_SENT, 1);
	curl_multi_add_handle(d->multi, a->t.easy);
	return (0);
}

/* Frees a request's attempt, if any; aborts one in flight. */
void
attempt_drop(struct direct *d, struct pending *p)
{
	struct attempt *a = p->attempt;

	if (a == NULL)
		return;
	p->attempt = NULL;
	attempt_free(d, a);
}

/* Handles all transfers that have ended. */
void
attempts_reap(struct direct *d, usec now)
{
	struct pending *p;
	CURLMsg *m;
	CURLcode res;
	long opened;
	int left;

	while ((m = curl_multi_info_read(d->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		opened = 0;
		curl_easy_getinfo(
		    m->easy_handle, CURLINFO_NUM_CONNECTS, &opened);
		count_add(C_TARGET_CONNS, (uint64_t)opened);
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &p);
		curl_easy_getinfo(m->easy_handle, CURLINFO_HTTP_CONNECTCODE,
		    &p->attempt->tunnel_status);
		res = transfer_end(&p->attempt->t, m->data.result);
		flow_attempt_done(d, p, res, now);
	}
}

/* Returns the request with the largest answer that is being received, of those
 * for which memory is short; NULL if there is none. */
static struct pending *
largest_answer(const struct direct *d)
{
	struct excess e = {0, 0, NULL};
	struct pending *p;
	size_t size;

	for (p = d->first; p != NULL; p = p->next) {
		size = p->attempt == NULL ? 0 : p->attempt->t.framing.body_size;
		if (held_is_over(size) || d->answer_bytes > ANSWERS_MAX)
			excess_add(&e, size, size, p);
	}
	return (excess_choose(&e, 0));
}

/* Gives up answers until the bodies of the others fit in memory. */
void
attempts_limit(struct direct *d, usec now)
{
	struct pending *p;

	while (!door_make_room(d->s->kernel, now) ||
	    d->answer_bytes > ANSWERS_MAX) {
		p = largest_answer(d);
		if (p == NULL)
			return;
		flow_attempt_done(d, p, CURLE_WRITE_ERROR, now);
	}
}
